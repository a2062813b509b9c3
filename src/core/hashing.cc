#include "core/hashing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Sizes of the hashed forms: address, IP version and port; protocol and two endpoints.
constexpr std::size_t kEndpointBytes = 19;
constexpr std::size_t kFlowBytes = 1 + 2 * kEndpointBytes;

std::uint8_t* writeEndpoint(std::uint8_t* out, const Endpoint& endpoint) {
  std::memcpy(out, endpoint.address.bytes.data(), endpoint.address.bytes.size());
  out[16] = endpoint.address.isV6 ? 1 : 0;
  out[17] = static_cast<std::uint8_t>(endpoint.port >> 8U);
  out[18] = static_cast<std::uint8_t>(endpoint.port & 0xffU);
  return out + kEndpointBytes;
}

}  // namespace

std::uint64_t hashName(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

std::uint64_t mixHash(std::uint64_t left, std::uint64_t right) {
  const std::array<std::uint64_t, 2> words{left, right};
  return XXH3_64bits(words.data(), sizeof(words));
}

ServiceId serviceIdOf(std::string_view serviceName) {
  return ServiceId{static_cast<std::uint32_t>(hashName(serviceName))};
}

RegionId regionIdOf(std::string_view regionName) {
  return RegionId{static_cast<std::uint32_t>(hashName(regionName)) | 1U};
}

ZoneId zoneIdOf(std::string_view zoneName) {
  return ZoneId{static_cast<std::uint32_t>(hashName(zoneName)) | 1U};
}

MemberId memberIdOf(std::string_view memberName) { return MemberId{hashName(memberName) | 1U}; }

BackendId backendIdOf(ServiceId service, const Endpoint& endpoint, std::uint32_t incarnation) {
  std::array<std::uint8_t, kEndpointBytes> bytes{};
  writeEndpoint(bytes.data(), endpoint);
  const std::uint64_t seed = (static_cast<std::uint64_t>(service) << 32U) | incarnation;
  return BackendId{XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed) | 1U};
}

FlowFingerprint fingerprintOf(const FlowKey& flow, std::uint64_t seed) {
  std::array<std::uint8_t, kFlowBytes> bytes{};
  bytes[0] = static_cast<std::uint8_t>(flow.protocol);
  writeEndpoint(writeEndpoint(bytes.data() + 1, flow.source), flow.destination);
  return FlowFingerprint{XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed) | 1U};
}

std::size_t bucketOf(FlowFingerprint fingerprint) {
  // Uses the high bits because the lowest bit is always set.
  return static_cast<std::size_t>(static_cast<std::uint64_t>(fingerprint) >> 32U) % kBucketCount;
}

std::size_t shardOf(std::size_t bucket) { return bucket / kBucketsPerShard; }

}  // namespace cobaltgauge::core
