#include "net/inner_packet.h"

#include <tins/ip.h>
#include <tins/ipv6.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <algorithm>
#include <memory>

namespace cobaltgauge::net {
namespace {

constexpr std::size_t kMinIpv4Bytes = 20;
constexpr std::uint8_t kTimeToLive = 64;

core::IpAddress fromTins(const Tins::IPv4Address& address) {
  core::IpAddress result;
  const std::uint32_t value = address;  // Network byte order in memory.
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(&value);
  std::copy_n(bytes, sizeof(value), result.bytes.begin());
  return result;
}

core::IpAddress fromTins(const Tins::IPv6Address& address) {
  core::IpAddress result;
  result.isV6 = true;
  std::copy(address.begin(), address.end(), result.bytes.begin());
  return result;
}

Tins::IPv4Address toTinsV4(const core::IpAddress& address) {
  std::uint32_t value = 0;
  std::copy_n(address.bytes.begin(), sizeof(value), reinterpret_cast<std::uint8_t*>(&value));
  return Tins::IPv4Address(value);
}

Tins::IPv6Address toTinsV6(const core::IpAddress& address) {
  return Tins::IPv6Address(address.bytes.data());
}

/// An inner packet parsed by libtins. `tcp` and `udp` point into `network`.
struct ParsedPacket {
  std::unique_ptr<Tins::PDU> network;
  core::FlowKey flow;
  const Tins::TCP* tcp = nullptr;
  const Tins::UDP* udp = nullptr;
};

bool isFragment(const Tins::PDU& network) {
  if (const auto* ip = network.find_pdu<Tins::IP>()) {
    return ip->is_fragmented();
  }
  const auto& ip = network.rfind_pdu<Tins::IPv6>();
  return ip.search_header(Tins::IPv6::FRAGMENT) != nullptr;
}

/// Parses the packet. Catches the exceptions that libtins throws on malformed input.
std::optional<ParsedPacket> parse(std::uint16_t protocolType, ByteView packet, InnerError& error) {
  error = InnerError::kMalformed;
  if (packet.size() < kMinIpv4Bytes) {
    return std::nullopt;
  }
  const std::uint8_t version = packet[0] >> 4U;
  const auto size = static_cast<std::uint32_t>(packet.size());
  ParsedPacket parsed;
  try {
    if (protocolType == kEtherTypeIpv4 && version == 4) {
      auto ip = std::make_unique<Tins::IP>(packet.data(), size);
      parsed.flow.source.address = fromTins(ip->src_addr());
      parsed.flow.destination.address = fromTins(ip->dst_addr());
      parsed.network = std::move(ip);
    } else if (protocolType == kEtherTypeIpv6 && version == 6) {
      auto ip = std::make_unique<Tins::IPv6>(packet.data(), size);
      parsed.flow.source.address = fromTins(ip->src_addr());
      parsed.flow.destination.address = fromTins(ip->dst_addr());
      parsed.network = std::move(ip);
    } else {
      return std::nullopt;
    }
    if (isFragment(*parsed.network)) {
      error = InnerError::kFragment;
      return std::nullopt;
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  parsed.tcp = parsed.network->find_pdu<Tins::TCP>();
  parsed.udp = parsed.network->find_pdu<Tins::UDP>();
  if (parsed.tcp != nullptr) {
    parsed.flow.protocol = core::Protocol::kTcp;
    parsed.flow.source.port = parsed.tcp->sport();
    parsed.flow.destination.port = parsed.tcp->dport();
  } else if (parsed.udp != nullptr) {
    parsed.flow.protocol = core::Protocol::kUdp;
    parsed.flow.source.port = parsed.udp->sport();
    parsed.flow.destination.port = parsed.udp->dport();
  } else {
    error = InnerError::kProtocol;
    return std::nullopt;
  }
  error = InnerError::kNone;
  return parsed;
}

core::PacketKind kindOf(const ParsedPacket& parsed) {
  if (parsed.tcp == nullptr) {
    return core::PacketKind::kUnknown;
  }
  const auto flags = parsed.tcp->flags();
  if ((flags & (Tins::TCP::FIN | Tins::TCP::RST)) != 0) {
    return core::PacketKind::kClosing;
  }
  const bool synOnly = (flags & Tins::TCP::SYN) != 0 && (flags & Tins::TCP::ACK) == 0;
  return synOnly ? core::PacketKind::kOpening : core::PacketKind::kContinuing;
}

template <typename Transport>
Bytes wrapInIp(const core::FlowKey& flow, const Transport& transport) {
  if (flow.source.address.isV6) {
    Tins::IPv6 ip(toTinsV6(flow.destination.address), toTinsV6(flow.source.address));
    ip.hop_limit(kTimeToLive);
    return (ip / transport).serialize();
  }
  Tins::IP ip(toTinsV4(flow.destination.address), toTinsV4(flow.source.address));
  ip.ttl(kTimeToLive);
  return (ip / transport).serialize();
}

}  // namespace

const char* toString(InnerError error) {
  switch (error) {
    case InnerError::kNone:
      return "none";
    case InnerError::kMalformed:
      return "malformed";
    case InnerError::kFragment:
      return "fragment";
    case InnerError::kProtocol:
      return "protocol";
  }
  return "invalid";
}

std::optional<core::PacketSummary> InnerPacketReader::summarize(std::uint16_t protocolType,
                                                                ByteView packet) {
  const std::optional<ParsedPacket> parsed = parse(protocolType, packet, lastError_);
  if (!parsed) {
    return std::nullopt;
  }
  return core::PacketSummary{parsed->flow, kindOf(*parsed),
                             static_cast<std::uint32_t>(packet.size())};
}

std::optional<UdpPacket> InnerPacketReader::readUdp(std::uint16_t protocolType, ByteView packet) {
  const std::optional<ParsedPacket> parsed = parse(protocolType, packet, lastError_);
  if (!parsed) {
    return std::nullopt;
  }
  if (parsed->udp == nullptr) {
    lastError_ = InnerError::kProtocol;
    return std::nullopt;
  }
  UdpPacket result{parsed->flow, {}};
  if (const auto* raw = parsed->udp->find_pdu<Tins::RawPDU>()) {
    result.payload = raw->payload();
  }
  return result;
}

core::FlowKey reversed(const core::FlowKey& flow) {
  return {flow.protocol, flow.destination, flow.source};
}

std::uint16_t etherTypeOf(const core::FlowKey& flow) {
  return flow.source.address.isV6 ? kEtherTypeIpv6 : kEtherTypeIpv4;
}

Bytes buildUdpPacket(const core::FlowKey& flow, ByteView payload) {
  const Tins::UDP udp(flow.destination.port, flow.source.port);
  const Tins::RawPDU raw(payload.data(), static_cast<std::uint32_t>(payload.size()));
  return wrapInIp(flow, udp / raw);
}

std::optional<Bytes> buildTcpReset(std::uint16_t protocolType, ByteView packet) {
  InnerError error = InnerError::kNone;
  const std::optional<ParsedPacket> parsed = parse(protocolType, packet, error);
  if (!parsed || parsed->tcp == nullptr) {
    return std::nullopt;
  }
  const core::FlowKey replyFlow = reversed(parsed->flow);
  Tins::TCP reset(replyFlow.destination.port, replyFlow.source.port);
  reset.flags(Tins::TCP::RST | Tins::TCP::ACK);
  reset.seq(0);
  reset.ack_seq(parsed->tcp->seq() + 1);
  return wrapInIp(replyFlow, reset);
}

}  // namespace cobaltgauge::net
