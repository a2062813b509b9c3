/// @file
/// Text of the JSON admin pages.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace cobaltgauge::daemon {

/// @return the page as indented text with a line end. Bytes that are not valid UTF-8, which names
///     from outside the process may contain, are replaced.
template <typename Json>
std::string renderJson(const Json& page) {
  return page.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

}  // namespace cobaltgauge::daemon
