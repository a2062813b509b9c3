/// @file
/// Hash functions of the core (XXH3). Every daemon derives the same identifiers.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/types.h"

namespace cobaltgauge::core {

/// Hashes a name to 64 bits; used for identifiers that must be the same on all daemons.
std::uint64_t hashName(std::string_view name);

/// Combines two 64-bit values into one hash; used for rendezvous hashing.
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

/// @return the identifier of the service with this name.
ServiceId serviceIdOf(std::string_view serviceName);

/// @return the identifier of the region with this name.
RegionId regionIdOf(std::string_view regionName);

/// @return the identifier of the zone with this name.
ZoneId zoneIdOf(std::string_view zoneName);

/// @return the identifier of the daemon with this name.
MemberId memberIdOf(std::string_view memberName);

/// @return the identifier of one incarnation of a backend of a service.
BackendId backendIdOf(ServiceId service, const Endpoint& endpoint, std::uint32_t incarnation);

/// Hashes a flow key with a seed that all daemons share, so that clients cannot choose flows that
/// map to one bucket. The key includes the destination, so that two services have no flow key in
/// common.
FlowFingerprint fingerprintOf(const FlowKey& flow, std::uint64_t seed);

/// @return the bucket index in [0, kBucketCount) of a flow within its service.
std::size_t bucketOf(FlowFingerprint fingerprint);

/// @return the shard index in [0, kShardCount) of a bucket.
std::size_t shardOf(std::size_t bucket);

}  // namespace cobaltgauge::core
