/// @file
/// A backend that may be selected for new flows.
#pragma once

#include <cstdint>

#include "core/placement_weights.h"
#include "core/types.h"

namespace cobaltgauge::core {

struct PlacementCandidate
{
  BackendId id = kNoBackend;
  ServiceId service{ 0 };
  std::uint32_t capacity = 1; ///< Concurrent requests (slots).
  std::uint32_t weight = kDefaultPlacementWeight;
  Time warmUntil{}; ///< End of the warm-up.
  RegionId region = kNoRegion;
  ZoneId zone = kNoZone;
  /// A later registration is at its address; see AddressClaim::kContested.
  bool isContested = false;
};

} // namespace cobaltgauge::core
