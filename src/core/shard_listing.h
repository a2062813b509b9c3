/// @file
/// The recorded flows of one shard in short form: what an ingress daemon must know to forward the
/// other flows of the shard by the table, without asking the home.
#pragma once

#include <cstdint>
#include <vector>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// A recorded flow within its shard: eight bits of bucket and sixteen of fingerprint. Two flows of
/// one bucket share it once in 65,536; the flow that is not recorded then asks the home needlessly.
using CompactFlowId = std::uint32_t;

/// Sorted short flows of one shard.
using ShardListing = std::vector<CompactFlowId>;

inline CompactFlowId compactFlowIdOf(FlowFingerprint fingerprint) {
  constexpr unsigned kFingerprintBits = 16;
  constexpr unsigned kUnusedBits = 48;  // Neither bucket nor table position use the bits above.
  const auto index = static_cast<CompactFlowId>(bucketOf(fingerprint) % kBucketsPerShard);
  const auto high =
      static_cast<CompactFlowId>(static_cast<std::uint64_t>(fingerprint) >> kUnusedBits);
  return (index << kFingerprintBits) | high;
}

}  // namespace cobaltgauge::core
