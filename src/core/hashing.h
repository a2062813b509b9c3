/// @file
/// The core's hash functions, all xxHash (XXH3/XXH64), so that every daemon derives equal
/// identities.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/types.h"

namespace cobaltgauge::core {

/// Hashes a name to 64 bits; used for identities that all daemons must derive alike.
std::uint64_t hashName(std::string_view name);

/// Mixes two 64-bit values; the basis of rendezvous hashing.
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

/// @return the identity of the service with this name.
ServiceId serviceIdOf(std::string_view serviceName);

/// @return the identity of the region with this name.
RegionId regionIdOf(std::string_view regionName);

/// @return the identity of the zone with this name.
ZoneId zoneIdOf(std::string_view zoneName);

/// @return the identity of the daemon with this name.
MemberId memberIdOf(std::string_view memberName);

/// @return the identity of one incarnation of a back end of one service.
BackendId backendIdOf(ServiceId service, const Endpoint& endpoint, std::uint32_t incarnation);

/// Hashes a flow key with the cluster's seed, so that outsiders cannot aim flows at one bucket.
/// The destination is part of the key: flows of two services never share a fingerprint by design.
FlowFingerprint fingerprintOf(const FlowKey& flow, std::uint64_t seed);

/// @return the bucket index in [0, kBucketCount) of a flow within its service.
std::size_t bucketOf(FlowFingerprint fingerprint);

/// @return the shard index in [0, kShardCount) of a bucket.
std::size_t shardOf(std::size_t bucket);

}  // namespace cobaltgauge::core
