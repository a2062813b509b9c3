#include "net/refusal.h"

#include "net/coap_message.h"

namespace cobaltgauge::net {
namespace {

std::optional<Bytes> buildCoapRefusal(const core::Refuse& refusal, std::uint16_t protocolType,
                                      ByteView packet) {
  InnerPacketReader reader;
  const std::optional<UdpPacket> udp = reader.readUdp(protocolType, packet);
  if (!udp) {
    return std::nullopt;
  }
  const std::optional<CoapMessage> request = decodeCoap(udp->payload);
  if (!request || !request->isRequest()) {
    return std::nullopt;
  }
  CoapMessage response;
  const bool confirmable = request->type == CoapType::kConfirmable;
  response.type = confirmable ? CoapType::kAcknowledgement : CoapType::kNonConfirmable;
  response.code = refusal.reason == core::RefuseReason::kNewFlowRate ? kCoapTooManyRequests
                                                                     : kCoapServiceUnavailable;
  response.messageId = request->messageId;
  response.token = request->token;
  response.addUint(kCoapMaxAge, static_cast<std::uint32_t>(refusal.retryAfter.count()));
  response.payload =
      refusal.certainty == core::RefusalCertainty::kNotRun ? kNotRunText : kOutcomeUnknownText;
  return buildUdpPacket(reversed(udp->flow), encodeCoap(response));
}

}  // namespace

std::optional<Bytes> buildRefusal(const core::Refuse& refusal, std::uint16_t protocolType,
                                  ByteView packet) {
  switch (refusal.form) {
    case core::RefusalForm::kCoap:
      return buildCoapRefusal(refusal, protocolType, packet);
    case core::RefusalForm::kReset:
      return buildTcpReset(protocolType, packet);
    case core::RefusalForm::kNone:
      break;
  }
  return std::nullopt;
}

}  // namespace cobaltgauge::net
