/// @file
/// Plain value types shared by the whole decision core: identities, flow keys and packet summaries.
/// Nothing here depends on sockets, clocks or any library of the edges.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace cobaltgauge::core {

/// Time since an arbitrary epoch of a clock that never goes back and counts suspended time.
/// Always passed in by the caller; the core never reads a clock.
using Time = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

/// An IPv4 or IPv6 address. IPv4 occupies the first four bytes, the rest are zero.
struct IpAddress {
  std::array<std::uint8_t, 16> bytes{};
  bool isV6 = false;

  auto operator<=>(const IpAddress&) const = default;
};

/// An address and a transport port, in host byte order.
struct Endpoint {
  IpAddress address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// Transport protocols that a service may use; values are the IANA protocol numbers.
enum class Protocol : std::uint8_t { kTcp = 6, kUdp = 17 };

/// The five-tuple that identifies a flow.
struct FlowKey {
  Protocol protocol = Protocol::kUdp;
  Endpoint source;
  Endpoint destination;

  auto operator<=>(const FlowKey&) const = default;
};

/// What the transport header says about a packet's place in its flow. UDP always gives kUnknown.
enum class PacketKind : std::uint8_t { kUnknown, kOpening, kContinuing, kClosing };

/// Names a back end in a field that both ends of a flow return in every packet.
enum class SteeringToken : std::uint32_t {};
inline constexpr SteeringToken kNoToken{0};

/// All that the core needs to know of a packet.
struct PacketSummary {
  FlowKey flow;
  PacketKind kind = PacketKind::kUnknown;
  std::uint32_t length = 0;  ///< Inner packet length in bytes.
  // Only packets whose format carries a token have the fields below.
  SteeringToken token = kNoToken;
  std::uint32_t openingRetransmission = 0;  ///< How often the caller has sent this opening before.
  std::uint32_t acknowledgement = 0;        ///< Bytes of the back end that the caller has received.
  std::uint32_t sequence = 0;               ///< Of the first byte of data.
  std::uint32_t dataLength = 0;             ///< Bytes of data.
};

/// Keyed 64-bit hash of a flow key. Zero is never a fingerprint.
enum class FlowFingerprint : std::uint64_t {};
/// Hash of a service's name; stable across configuration versions.
enum class ServiceId : std::uint32_t {};
/// Hash of (service, endpoint, incarnation). Two incarnations of one host never share it.
enum class BackendId : std::uint64_t {};
/// Hash of a region's name; zero where it is not known.
enum class RegionId : std::uint32_t {};
/// Hash of a zone's name; zero where it is not known.
enum class ZoneId : std::uint32_t {};
/// Hash of a daemon's name.
enum class MemberId : std::uint64_t {};

inline constexpr BackendId kNoBackend{0};
inline constexpr MemberId kNoMember{0};
inline constexpr RegionId kNoRegion{0};
inline constexpr ZoneId kNoZone{0};

/// Number of an accepted configuration; versions only rise. Zero means "none yet".
using ConfigurationVersion = std::uint64_t;

}  // namespace cobaltgauge::core
