/// @file
/// Seeded pseudo-random number generator for simulations and tests.
#pragma once

#include <random>

#include "core/random.h"
#include "core/types.h"

namespace cobaltgauge::sim {

class SeededRandom : public core::Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t below(std::uint64_t bound) override { return engine_() % bound; }
  std::uint64_t next() { return engine_(); }
  /// @return true with a probability of `permille` / 1000.
  bool chance(std::uint64_t permille) { return below(1000) < permille; }
  /// @return a uniformly distributed duration in [min, max].
  core::Duration between(core::Duration min, core::Duration max) {
    const auto span = static_cast<std::uint64_t>((max - min).count());
    return min + core::Duration(static_cast<std::int64_t>(below(span + 1)));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cobaltgauge::sim
