/// @file
/// Weighted Maglev lookup table (Eisenbud et al., "Maglev: A Fast and Reliable Software Network
/// Load Balancer", NSDI 2016, section 3.4). The table depends only on its input, so daemons
/// with the same configuration build the same table.
#pragma once

#include <cstdint>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// One backend that receives new flows, with its weight.
struct WeightedBackend {
  BackendId id = kNoBackend;
  std::uint32_t weight = 0;  ///< Relative share; zero: no bucket.
};

/// Builds a table of kBucketCount entries.
/// @param backends in any order; the order does not affect the result.
/// @return the backend of each bucket; all kNoBackend if every weight is zero.
std::vector<BackendId> buildMaglevTable(std::vector<WeightedBackend> backends);

}  // namespace cobaltgauge::core
