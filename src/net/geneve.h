/// @file
/// Geneve encapsulation (RFC 8926): the subset used by the data path.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>

#include "core/types.h"

namespace cobaltgauge::net {

using ByteView = std::span<const std::uint8_t>;

inline constexpr std::size_t kGeneveHeaderBytes = 8;
/// Protocol types of the payload (Ethertypes).
inline constexpr std::uint16_t kEtherTypeIpv4 = 0x0800;
inline constexpr std::uint16_t kEtherTypeIpv6 = 0x86dd;
/// Option class from the experimental range of RFC 8926, section 7.
inline constexpr std::uint16_t kOptionClass = 0xff01;
/// Type of the routing option. The critical bit is set, so a backend that does not support the
/// option must drop the packet.
inline constexpr std::uint8_t kRoutingOptionType = 0x81;
inline constexpr std::size_t kRoutingOptionBytes = 4 + 16;
inline constexpr std::size_t kRoutedHeaderBytes = kGeneveHeaderBytes + kRoutingOptionBytes;

/// The service, backend incarnation and configuration version that a packet was routed by. A host
/// that was reassigned to another service uses it to reject misrouted packets.
struct RoutingOption {
  core::ServiceId service{0};
  std::uint32_t incarnation = 0;
  core::ConfigurationVersion version = 0;

  bool operator==(const RoutingOption&) const = default;
};

/// A decoded Geneve packet; `payload` points into the datagram.
struct GenevePacket {
  std::uint32_t vni = 0;
  std::uint16_t protocolType = 0;
  std::optional<RoutingOption> routing;
  ByteView payload;
};

/// Why a datagram is not an acceptable Geneve packet.
enum class GeneveError : std::uint8_t {
  kNone,
  kShort,            ///< Shorter than its header or its option length.
  kVersion,          ///< The version is not zero.
  kControlPacket,    ///< The O bit is set.
  kProtocolType,     ///< Neither IPv4 nor IPv6.
  kUnknownCritical,  ///< An unknown option with the critical bit set.
  kMalformedOption,
};

const char* toString(GeneveError error);

/// Decodes datagrams and keeps the error of the last one.
class GeneveDecoder {
 public:
  std::optional<GenevePacket> decode(ByteView datagram);
  GeneveError lastError() const { return lastError_; }

 private:
  std::optional<GenevePacket> fail(GeneveError error);
  bool decodeOptions(ByteView options, GenevePacket& packet);

  GeneveError lastError_ = GeneveError::kNone;
};

/// Encodes a header without options.
std::array<std::uint8_t, kGeneveHeaderBytes> encodeHeader(std::uint32_t vni,
                                                          std::uint16_t protocolType);

/// Encodes a header with the routing option.
std::array<std::uint8_t, kRoutedHeaderBytes> encodeRoutedHeader(std::uint32_t vni,
                                                                std::uint16_t protocolType,
                                                                const RoutingOption& routing);

}  // namespace cobaltgauge::net
