/// @file
/// Generator of command sequences for stateful tests.
#pragma once

#include <rapidcheck.h>

#include <utility>
#include <vector>

namespace cobaltgauge::tests {

/// The number of a command and of a choice among its variants; any pair is valid.
using Command = std::pair<unsigned, unsigned>;

/// @return a generator of sequences of up to `maxCommands` commands.
inline rc::Gen<std::vector<Command>> makeCommands(int maxCommands) {
  const auto command = rc::gen::resize(
      rc::kNominalSize, rc::gen::pair(rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 10000U)));
  return rc::gen::resize(maxCommands, rc::gen::container<std::vector<Command>>(command));
}

}  // namespace cobaltgauge::tests
