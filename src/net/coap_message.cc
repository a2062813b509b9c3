#include "net/coap_message.h"

#include <coap3/coap.h>

#include <algorithm>
#include <array>
#include <memory>

namespace cobaltgauge::net {
namespace {

constexpr std::size_t kHeaderBytes = 4;
/// Version 1 in the upper two bits of the first byte (RFC 7252, section 3).
constexpr std::uint8_t kVersionBits = 0x40;
constexpr std::uint8_t kPayloadMarker = 0xff;
constexpr std::size_t kMaxTokenBytes = 8;
constexpr std::size_t kMaxOptionHeaderBytes = 5;

struct DeletePdu {
  void operator()(coap_pdu_t* pdu) const { coap_delete_pdu(pdu); }
};

}  // namespace

std::optional<std::uint32_t> CoapMessage::uintOption(std::uint16_t number) const {
  for (const CoapOption& option : options) {
    if (option.number == number) {
      return coap_decode_var_bytes(option.value.data(), option.value.size());
    }
  }
  return std::nullopt;
}

std::string CoapMessage::path() const {
  for (const CoapOption& option : options) {
    if (option.number == kCoapUriPath) {
      return {option.value.begin(), option.value.end()};
    }
  }
  return {};
}

void CoapMessage::addUint(std::uint16_t number, std::uint32_t value) {
  Bytes buffer(sizeof(value));
  buffer.resize(coap_encode_var_safe(buffer.data(), buffer.size(), value));
  options.push_back({number, std::move(buffer)});
}

void CoapMessage::addText(std::uint16_t number, const std::string& value) {
  options.push_back({number, Bytes(value.begin(), value.end())});
}

std::optional<CoapMessage> decodeCoap(ByteView bytes) {
  // The library would print a line for each malformed packet.
  static const bool isQuiet = (coap_set_log_level(LOG_EMERG), true);
  static_cast<void>(isQuiet);
  const std::unique_ptr<coap_pdu_t, DeletePdu> pdu(
      coap_pdu_init(COAP_MESSAGE_CON, static_cast<coap_pdu_code_t>(0), 0, bytes.size()));
  if (!pdu || bytes.size() < kHeaderBytes ||
      coap_pdu_parse(COAP_PROTO_UDP, bytes.data(), bytes.size(), pdu.get()) == 0) {
    return std::nullopt;
  }
  CoapMessage message;
  message.type = static_cast<CoapType>(coap_pdu_get_type(pdu.get()));
  message.code = static_cast<std::uint8_t>(coap_pdu_get_code(pdu.get()));
  message.messageId = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
  const coap_bin_const_t token = coap_pdu_get_token(pdu.get());
  message.token.assign(token.s, token.s + token.length);
  coap_opt_iterator_t iterator;
  coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL);
  while (const coap_opt_t* option = coap_option_next(&iterator)) {
    const std::uint8_t* value = coap_opt_value(option);
    message.options.push_back({iterator.number, Bytes(value, value + coap_opt_length(option))});
  }
  std::size_t size = 0;
  const std::uint8_t* data = nullptr;
  if (coap_get_data(pdu.get(), &size, &data) != 0) {
    message.payload.assign(reinterpret_cast<const char*>(data), size);
  }
  return message;
}

Bytes encodeCoap(const CoapMessage& message) {
  const std::size_t tokenBytes = std::min(message.token.size(), kMaxTokenBytes);
  Bytes bytes;
  bytes.push_back(static_cast<std::uint8_t>(
      kVersionBits | (static_cast<std::uint8_t>(message.type) << 4U) | tokenBytes));
  bytes.push_back(message.code);
  bytes.push_back(static_cast<std::uint8_t>(message.messageId >> 8U));
  bytes.push_back(static_cast<std::uint8_t>(message.messageId & 0xffU));
  std::copy_n(message.token.begin(), tokenBytes, std::back_inserter(bytes));
  std::uint16_t lastNumber = 0;
  for (const CoapOption& option : message.options) {
    const std::size_t start = bytes.size();
    bytes.resize(start + kMaxOptionHeaderBytes + option.value.size());
    const std::size_t written =
        coap_opt_encode(bytes.data() + start, bytes.size() - start,
                        static_cast<std::uint16_t>(option.number - lastNumber), option.value.data(),
                        option.value.size());
    bytes.resize(start + written);
    lastNumber = option.number;
  }
  if (!message.payload.empty()) {
    bytes.push_back(kPayloadMarker);
    bytes.insert(bytes.end(), message.payload.begin(), message.payload.end());
  }
  return bytes;
}

}  // namespace cobaltgauge::net
