/// @file
/// Inner IPv4/IPv6 packets: what the core must know of them, and the answers that refuse them.
/// Headers are read and written by libtins.
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
  kMalformed,  ///< Too short, bad lengths or not an IP packet.
  kFragment,   ///< A fragment: it has no ports, so it cannot be routed with its flow.
  kProtocol,   ///< Neither TCP nor UDP.
};

const char* toString(InnerError error);

/// A parsed UDP packet; `payload` is copied.
struct UdpPacket {
  core::FlowKey flow;
  Bytes payload;
};

/// Reads inner packets; keeps the reason of the last failure.
class InnerPacketReader {
 public:
  /// @param protocolType Ethertype that the Geneve header names.
  std::optional<core::PacketSummary> summarize(std::uint16_t protocolType, ByteView packet);

  /// Reads a whole UDP packet with its payload.
  std::optional<UdpPacket> readUdp(std::uint16_t protocolType, ByteView packet);

  InnerError lastError() const { return lastError_; }

 private:
  InnerError lastError_ = InnerError::kNone;
};

/// Builds an IP packet with a UDP payload, with lengths and checksums.
Bytes buildUdpPacket(const core::FlowKey& flow, ByteView payload);

/// Builds the TCP reset that answers a SYN (RFC 9293, section 3.10.7.1).
/// @return nothing where `packet` is no TCP segment.
std::optional<Bytes> buildTcpReset(std::uint16_t protocolType, ByteView packet);

/// @return the flow of packets in the other direction.
core::FlowKey reversed(const core::FlowKey& flow);

/// @return the Ethertype for a flow's address family.
std::uint16_t etherTypeOf(const core::FlowKey& flow);

}  // namespace cobaltgauge::net
