/// @file
/// Value types of the core: identifiers, flow keys and packet summaries. They depend on no sockets,
/// clocks or external libraries.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <span>
#include <string>

namespace cobaltgauge::core {

/// Time since an arbitrary epoch of a monotonic clock that includes suspended time. It is passed
/// in by the caller; the core never reads a clock.
using Time = std::chrono::microseconds;
using Duration = std::chrono::microseconds;

/// An IPv4 or IPv6 address. IPv4 occupies the first four bytes; the rest are zero.
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

/// Transport protocols of services; the values are IANA protocol numbers.
enum class Protocol : std::uint8_t { kTcp = 6, kUdp = 17 };

/// The five-tuple that identifies a flow.
struct FlowKey {
  Protocol protocol = Protocol::kUdp;
  Endpoint source;
  Endpoint destination;

  auto operator<=>(const FlowKey&) const = default;
};

/// Position of a packet in its flow according to the transport header. Always kUnknown for UDP.
enum class PacketKind : std::uint8_t { kUnknown, kOpening, kContinuing, kClosing };

/// Identifies a backend in a field that both ends of a flow echo in every packet.
enum class SteeringToken : std::uint32_t {};
inline constexpr SteeringToken kNoToken{0};

/// The packet fields that the core uses.
struct PacketSummary {
  FlowKey flow;
  PacketKind kind = PacketKind::kUnknown;
  std::uint32_t length = 0;  ///< Inner packet length in bytes.
  // The fields below are set only for packet formats that carry a token.
  SteeringToken token = kNoToken;
  std::uint32_t openingRetransmission = 0;   ///< Number of earlier copies from the client.
  std::uint32_t acknowledgement = 0;         ///< Last acknowledgement number of the client.
  std::uint32_t sequence = 0;                ///< Sequence number of the first data byte.
  std::uint32_t dataLength = 0;              ///< Data length in bytes.
  std::span<const std::uint8_t> bytes = {};  ///< The packet; valid only during the call.
};

/// Keyed 64-bit hash of a flow key. Never zero.
enum class FlowFingerprint : std::uint64_t {};
/// Hash of a service name; stable across configuration versions.
enum class ServiceId : std::uint32_t {};
/// Hash of (service, endpoint, incarnation); differs between incarnations of one host.
enum class BackendId : std::uint64_t {};
/// Hash of a region name; zero if unknown.
enum class RegionId : std::uint32_t {};
/// Hash of a zone name; zero if unknown.
enum class ZoneId : std::uint32_t {};
/// Hash of a daemon name.
enum class MemberId : std::uint64_t {};

inline constexpr BackendId kNoBackend{0};
inline constexpr MemberId kNoMember{0};
inline constexpr RegionId kNoRegion{0};
inline constexpr ZoneId kNoZone{0};

/// Version number of an accepted configuration; increases monotonically. Zero means none.
using ConfigurationVersion = std::uint64_t;

}  // namespace cobaltgauge::core
