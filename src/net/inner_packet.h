/// @file
/// Parses inner IPv4/IPv6 packets for the core and builds replies to them. Uses libtins.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/types.h"
#include "net/geneve.h"

namespace cobaltgauge::net {

using Bytes = std::vector<std::uint8_t>;

/// Why an inner packet cannot be routed.
enum class InnerError : std::uint8_t {
  kNone,
  kMalformed,  ///< Truncated, inconsistent lengths or not an IP packet.
  kFragment,   ///< Fragments cannot be routed because most have no ports.
  kProtocol,   ///< Neither TCP nor UDP.
};

const char* toString(InnerError error);

/// A parsed UDP packet; owns a copy of the payload.
struct UdpPacket {
  core::FlowKey flow;
  Bytes payload;
};

/// Parses inner packets and keeps the error of the last one.
class InnerPacketReader {
 public:
  /// @param protocolType Ethertype from the Geneve header.
  std::optional<core::PacketSummary> summarize(std::uint16_t protocolType, ByteView packet);

  /// Parses a UDP packet with its payload.
  std::optional<UdpPacket> readUdp(std::uint16_t protocolType, ByteView packet);

  InnerError lastError() const { return lastError_; }

 private:
  InnerError lastError_ = InnerError::kNone;
};

/// Builds an IP packet with a UDP datagram, including lengths and checksums.
Bytes buildUdpPacket(const core::FlowKey& flow, ByteView payload);

/// Builds the TCP reset that answers a SYN (RFC 9293, section 3.10.7.1).
/// @return nullopt if `packet` is not a TCP segment.
std::optional<Bytes> buildTcpReset(std::uint16_t protocolType, ByteView packet);

/// @return the flow with source and destination exchanged.
core::FlowKey reversed(const core::FlowKey& flow);

/// @return the Ethertype for a flow's address family.
std::uint16_t etherTypeOf(const core::FlowKey& flow);

}  // namespace cobaltgauge::net
