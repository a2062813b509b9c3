/// @file
/// Source of randomness injected into the core, so that tests and the simulator own it.
#pragma once

#include <cstdint>

namespace cobaltgauge::core {

class Random {
 public:
  virtual ~Random() = default;

  /// @return a uniform value in [0, bound); `bound` is at least one.
  virtual std::uint64_t below(std::uint64_t bound) = 0;
};

}  // namespace cobaltgauge::core
