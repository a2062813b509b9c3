/// @file
/// Random numbers seeded from std::random_device.
#pragma once

#include <random>

#include "core/random.h"

namespace cobaltgauge::daemon {

class SystemRandom : public core::Random {
 public:
  SystemRandom() : engine_(std::random_device{}()) {}
  std::uint64_t below(std::uint64_t bound) override { return engine_() % bound; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cobaltgauge::daemon
