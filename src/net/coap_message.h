/// @file
/// CoAP messages (RFC 7252) for refusals and the stand-ins. libcoap parses messages and encodes
/// options; the four-byte header is encoded here because libcoap does not export a function for it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/geneve.h"
#include "net/inner_packet.h"

namespace cobaltgauge::net {

enum class CoapType : std::uint8_t { kConfirmable, kNonConfirmable, kAcknowledgement, kReset };

/// Codes "c.dd" as c * 32 + dd (RFC 7252, section 3).
inline constexpr std::uint8_t kCoapEmpty = 0;
inline constexpr std::uint8_t kCoapGet = 1;
inline constexpr std::uint8_t kCoapPost = 2;
inline constexpr std::uint8_t kCoapDelete = 4;
inline constexpr std::uint8_t kCoapCreated = 65;              // 2.01
inline constexpr std::uint8_t kCoapDeleted = 66;              // 2.02
inline constexpr std::uint8_t kCoapChanged = 68;              // 2.04
inline constexpr std::uint8_t kCoapContent = 69;              // 2.05
inline constexpr std::uint8_t kCoapUnauthorized = 129;        // 4.01
inline constexpr std::uint8_t kCoapNotFound = 132;            // 4.04
inline constexpr std::uint8_t kCoapTooManyRequests = 157;     // 4.29, RFC 8516
inline constexpr std::uint8_t kCoapServiceUnavailable = 163;  // 5.03

/// Option numbers.
inline constexpr std::uint16_t kCoapObserve = 6;  // RFC 7641
inline constexpr std::uint16_t kCoapUriPath = 11;
inline constexpr std::uint16_t kCoapMaxAge = 14;
inline constexpr std::uint16_t kCoapUriQuery = 15;
inline constexpr std::uint16_t kCoapBlock2 = 23;  // RFC 7959

struct CoapOption {
  std::uint16_t number = 0;
  Bytes value;
};

struct CoapMessage {
  CoapType type = CoapType::kConfirmable;
  std::uint8_t code = kCoapEmpty;
  std::uint16_t messageId = 0;
  Bytes token;
  std::vector<CoapOption> options;  ///< In ascending order of number.
  std::string payload;

  bool isRequest() const { return code >= 1 && code < 32; }
  /// @return the first option with this number as an unsigned integer, or nullopt.
  std::optional<std::uint32_t> uintOption(std::uint16_t number) const;
  /// @return the first Uri-Path segment, or an empty string.
  std::string path() const;
  void addUint(std::uint16_t number, std::uint32_t value);
  void addText(std::uint16_t number, const std::string& value);
};

/// @return the message, or nullopt if `bytes` is not a valid CoAP message.
std::optional<CoapMessage> decodeCoap(ByteView bytes);

Bytes encodeCoap(const CoapMessage& message);

}  // namespace cobaltgauge::net
