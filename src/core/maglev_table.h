/// @file
/// Weighted Maglev lookup table (Eisenbud et al., "Maglev: A Fast and Reliable Software Network
/// Load Balancer", NSDI 2016, section 3.4). The table is a pure function of its input, so daemons
/// that hold the same configuration agree on it without exchanging it.
#pragma once

#include <cstdint>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// One back end that takes new flows, with its share.
struct WeightedBackend {
  BackendId id = kNoBackend;
  std::uint32_t weight = 0;  ///< Relative share; zero takes no bucket.
};

/// Builds a table of kBucketCount entries.
/// @param backends in any order; the result does not depend on the order.
/// @return the back end of each bucket; all kNoBackend where no back end has weight.
std::vector<BackendId> buildMaglevTable(std::vector<WeightedBackend> backends);

}  // namespace cobaltgauge::core
