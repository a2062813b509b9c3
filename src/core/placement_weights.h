/// @file
/// Interface to the operator's policy program, which assigns weights to backends for new flows.
#pragma once

#include <cstdint>

#include "core/registration.h"

namespace cobaltgauge::core {

inline constexpr std::uint32_t kDefaultPlacementWeight = 100;

class PlacementWeights {
 public:
  virtual ~PlacementWeights() = default;

  /// @return the weight of a backend. New flows are distributed in proportion to the weights; a
  /// backend of weight zero gets none.
  virtual std::uint32_t weightOf(const Registration& registration) = 0;
};

/// Assigns the same weight to all backends.
class EqualWeights : public PlacementWeights {
 public:
  std::uint32_t weightOf(const Registration&) override { return kDefaultPlacementWeight; }
};

}  // namespace cobaltgauge::core
