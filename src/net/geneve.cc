#include "net/geneve.h"

#include <algorithm>

namespace cobaltgauge::net {
namespace {

/// Unit of the option length fields (RFC 8926, sections 3.4 and 3.5).
constexpr std::size_t kWordBytes = 4;
constexpr std::uint8_t kControlBit = 0x80;
constexpr std::uint8_t kCriticalHeaderBit = 0x40;
constexpr std::uint8_t kCriticalTypeBit = 0x80;

std::uint64_t readBigEndian(ByteView bytes, std::size_t offset, std::size_t count) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < count; ++i) {
    value = (value << 8U) | bytes[offset + i];
  }
  return value;
}

void writeBigEndian(std::uint8_t* out, std::uint64_t value, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    out[count - 1 - i] = static_cast<std::uint8_t>(value >> (8U * i));
  }
}

void writeHeader(std::uint8_t* out, std::uint32_t vni, std::uint16_t protocolType,
                 std::size_t optionBytes, bool critical) {
  out[0] = static_cast<std::uint8_t>(optionBytes / kWordBytes);
  out[1] = critical ? kCriticalHeaderBit : 0;
  writeBigEndian(out + 2, protocolType, 2);
  writeBigEndian(out + 4, vni, 3);
  out[7] = 0;
}

}  // namespace

const char* toString(GeneveError error) {
  switch (error) {
    case GeneveError::kNone:
      return "none";
    case GeneveError::kShort:
      return "short";
    case GeneveError::kVersion:
      return "version";
    case GeneveError::kControlPacket:
      return "control_packet";
    case GeneveError::kProtocolType:
      return "protocol_type";
    case GeneveError::kUnknownCritical:
      return "unknown_critical";
    case GeneveError::kMalformedOption:
      return "malformed_option";
  }
  return "invalid";
}

std::optional<GenevePacket> GeneveDecoder::fail(GeneveError error) {
  lastError_ = error;
  return std::nullopt;
}

std::optional<GenevePacket> GeneveDecoder::decode(ByteView datagram) {
  if (datagram.size() < kGeneveHeaderBytes) {
    return fail(GeneveError::kShort);
  }
  if ((datagram[0] >> 6U) != 0) {
    return fail(GeneveError::kVersion);
  }
  if ((datagram[1] & kControlBit) != 0) {
    return fail(GeneveError::kControlPacket);
  }
  const std::size_t optionBytes = (datagram[0] & 0x3fU) * kWordBytes;
  if (datagram.size() < kGeneveHeaderBytes + optionBytes) {
    return fail(GeneveError::kShort);
  }
  GenevePacket packet;
  packet.protocolType = static_cast<std::uint16_t>(readBigEndian(datagram, 2, 2));
  packet.vni = static_cast<std::uint32_t>(readBigEndian(datagram, 4, 3));
  if (packet.protocolType != kEtherTypeIpv4 && packet.protocolType != kEtherTypeIpv6) {
    return fail(GeneveError::kProtocolType);
  }
  if (!decodeOptions(datagram.subspan(kGeneveHeaderBytes, optionBytes), packet)) {
    return std::nullopt;
  }
  packet.payload = datagram.subspan(kGeneveHeaderBytes + optionBytes);
  lastError_ = GeneveError::kNone;
  return packet;
}

bool GeneveDecoder::decodeOptions(ByteView options, GenevePacket& packet) {
  while (!options.empty()) {
    const std::size_t dataBytes = (options[3] & 0x1fU) * kWordBytes;
    if (options.size() < kWordBytes + dataBytes) {
      lastError_ = GeneveError::kMalformedOption;
      return false;
    }
    const auto optionClass = static_cast<std::uint16_t>(readBigEndian(options, 0, 2));
    const std::uint8_t type = options[2];
    if (optionClass == kOptionClass && type == kRoutingOptionType) {
      if (dataBytes != kRoutingOptionBytes - kWordBytes) {
        lastError_ = GeneveError::kMalformedOption;
        return false;
      }
      packet.routing = RoutingOption{
          core::ServiceId{static_cast<std::uint32_t>(readBigEndian(options, 4, 4))},
          static_cast<std::uint32_t>(readBigEndian(options, 8, 4)), readBigEndian(options, 12, 8)};
    } else if ((type & kCriticalTypeBit) != 0) {
      lastError_ = GeneveError::kUnknownCritical;
      return false;
    }
    options = options.subspan(kWordBytes + dataBytes);
  }
  return true;
}

std::array<std::uint8_t, kGeneveHeaderBytes> encodeHeader(std::uint32_t vni,
                                                          std::uint16_t protocolType) {
  std::array<std::uint8_t, kGeneveHeaderBytes> header{};
  writeHeader(header.data(), vni, protocolType, 0, false);
  return header;
}

std::array<std::uint8_t, kRoutedHeaderBytes> encodeRoutedHeader(std::uint32_t vni,
                                                                std::uint16_t protocolType,
                                                                const RoutingOption& routing) {
  std::array<std::uint8_t, kRoutedHeaderBytes> header{};
  writeHeader(header.data(), vni, protocolType, kRoutingOptionBytes, true);
  std::uint8_t* option = header.data() + kGeneveHeaderBytes;
  writeBigEndian(option, kOptionClass, 2);
  option[2] = kRoutingOptionType;
  option[3] = (kRoutingOptionBytes - kWordBytes) / kWordBytes;
  writeBigEndian(option + 4, static_cast<std::uint32_t>(routing.service), 4);
  writeBigEndian(option + 8, routing.incarnation, 4);
  writeBigEndian(option + 12, routing.version, 8);
  return header;
}

}  // namespace cobaltgauge::net
