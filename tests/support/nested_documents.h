/// @file
/// Deeply nested documents of the encodings that the decoders read.
#pragma once

#include <cstddef>
#include <string>

namespace cobaltgauge::tests {

/// @return a JSON list in a list, `levels` deep.
inline std::string nestedLists(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

/// @return a JSON table in a table, `levels` deep.
inline std::string nestedTables(std::size_t levels) {
  std::string text;
  for (std::size_t i = 1; i < levels; ++i) {
    text += "{\"a\":";
  }
  return text + "{}" + std::string(levels - 1, '}');
}

/// @return a MessagePack list in a list, `levels` deep.
inline std::string nestedMsgpackLists(std::size_t levels) {
  return std::string(levels - 1, '\x91') + '\x90';
}

}  // namespace cobaltgauge::tests
