/// @file
/// Compact list of the recorded flows of one shard. An ingress daemon that has it forwards all
/// other flows of the shard by the table, without involving the home.
#pragma once

#include <cstdint>
#include <vector>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Identifier of a flow within its shard: 8 bits of bucket index and 16 bits of fingerprint. A flow
/// that collides with a recorded one is forwarded to the home, which is correct but slower.
using CompactFlowId = std::uint32_t;

/// Sorted flow identifiers of one shard.
using ShardListing = std::vector<CompactFlowId>;

inline CompactFlowId compactFlowIdOf(FlowFingerprint fingerprint) {
  constexpr unsigned kFingerprintBits = 16;
  constexpr unsigned kUnusedBits = 48;  // The bucket is derived from lower bits.
  const auto index = static_cast<CompactFlowId>(bucketOf(fingerprint) % kBucketsPerShard);
  const auto high =
      static_cast<CompactFlowId>(static_cast<std::uint64_t>(fingerprint) >> kUnusedBits);
  return (index << kFingerprintBits) | high;
}

}  // namespace cobaltgauge::core
