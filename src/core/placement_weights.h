/// @file
/// Seam to the operator's policy program, which weighs back ends for new flows.
#pragma once

#include <cstdint>

#include "core/registration.h"

namespace cobaltgauge::core {

inline constexpr std::uint32_t kDefaultPlacementWeight = 100;

class PlacementWeights {
 public:
  virtual ~PlacementWeights() = default;

  /// @return the weight of a back end; a back end of twice the weight gets twice the flows, and one
  /// of weight zero gets none.
  virtual std::uint32_t weightOf(const Registration& registration) = 0;
};

/// Weighs all back ends alike.
class EqualWeights : public PlacementWeights {
 public:
  std::uint32_t weightOf(const Registration&) override { return kDefaultPlacementWeight; }
};

}  // namespace cobaltgauge::core
