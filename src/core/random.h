/// @file
/// Random number source of the core, injected so that tests and the simulator can control it.
#pragma once

#include <cstdint>

namespace cobaltgauge::core {

class Random {
 public:
  virtual ~Random() = default;

  /// @return a uniformly distributed value in [0, bound). @param bound at least one.
  virtual std::uint64_t below(std::uint64_t bound) = 0;
};

}  // namespace cobaltgauge::core
