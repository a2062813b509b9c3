/// @file
/// Tests of inner packets, CoAP messages and refusals.
#include <rapidcheck.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include <boost/test/unit_test.hpp>

#include "net/address.h"
#include "net/coap_message.h"
#include "net/refusal.h"

using namespace cobaltgauge;
using namespace cobaltgauge::net;

namespace {

core::FlowKey flowOf(const char* source, const char* destination) {
  return {core::Protocol::kUdp, *parseEndpoint(source), *parseEndpoint(destination)};
}

Bytes synPacket() {
  Tins::TCP tcp(80, 20000);
  tcp.flags(Tins::TCP::SYN);
  tcp.seq(41);
  return (Tins::IP("10.90.0.1", "10.80.0.1") / tcp).serialize();
}

CoapMessage request() {
  CoapMessage message;
  message.code = kCoapPost;
  message.messageId = 77;
  message.token = {1, 2, 3};
  message.addText(kCoapUriPath, "submit");
  message.addUint(kCoapBlock2, 0x1234);
  message.payload = "hello";
  return message;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PacketTest)

BOOST_AUTO_TEST_CASE(UdpPacketsOfBothFamiliesAreRead) {
  for (const auto& flow : {flowOf("10.80.0.1:20000", "10.90.0.1:5683"),
                           flowOf("[2001:db8::1]:20000", "[2001:db8::2]:5683")}) {
    const Bytes payload{1, 2, 3};
    const Bytes packet = buildUdpPacket(flow, payload);
    InnerPacketReader reader;
    const auto summary = reader.summarize(etherTypeOf(flow), packet);
    BOOST_TEST_REQUIRE(summary.has_value());
    BOOST_TEST((summary->flow == flow));
    BOOST_TEST((summary->kind == core::PacketKind::kUnknown));
    BOOST_TEST((reader.readUdp(etherTypeOf(flow), packet)->payload == payload));
  }
}

BOOST_AUTO_TEST_CASE(SynPacketIsClassifiedAsOpening) {
  InnerPacketReader reader;
  const auto summary = reader.summarize(kEtherTypeIpv4, synPacket());
  BOOST_TEST_REQUIRE(summary.has_value());
  BOOST_TEST((summary->kind == core::PacketKind::kOpening));
}

BOOST_AUTO_TEST_CASE(FragmentsAreRejected) {
  Tins::IP ip("10.90.0.1", "10.80.0.1");
  ip.flags(Tins::IP::MORE_FRAGMENTS);
  const Bytes packet = (ip / Tins::UDP(1, 2) / Tins::RawPDU("abcd")).serialize();
  InnerPacketReader reader;
  BOOST_TEST(!reader.summarize(kEtherTypeIpv4, packet).has_value());
  BOOST_TEST((reader.lastError() == InnerError::kFragment));
}

BOOST_AUTO_TEST_CASE(ArbitraryInnerPacketsNeverCrash) {
  const bool ok = rc::check([](Bytes bytes, bool v6, std::uint8_t protocol) {
    if (bytes.size() > 10) {
      bytes[0] = v6 ? 0x60 : 0x45;
      bytes[v6 ? 6 : 9] = protocol;
    }
    InnerPacketReader reader;
    const auto summary = reader.summarize(v6 ? kEtherTypeIpv6 : kEtherTypeIpv4, bytes);
    RC_ASSERT(summary.has_value() == (reader.lastError() == InnerError::kNone));
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(EveryTruncationOfAPacketIsRejected) {
  const Bytes complete = buildUdpPacket(flowOf("10.80.0.1:1", "10.90.0.1:2"), Bytes(20, 7));
  InnerPacketReader reader;
  for (std::size_t size = 0; size < 28; ++size) {
    BOOST_TEST(!reader.summarize(kEtherTypeIpv4, ByteView(complete.data(), size)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(CoapMessageRoundTrips) {
  const auto decoded = decodeCoap(encodeCoap(request()));
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->messageId == 77);
  BOOST_TEST(decoded->path() == "submit");
  BOOST_TEST(decoded->uintOption(kCoapBlock2).value_or(0) == 0x1234U);
  BOOST_TEST(decoded->payload == "hello");
  BOOST_TEST((decoded->token == Bytes{1, 2, 3}));
}

BOOST_AUTO_TEST_CASE(ArbitraryCoapNeverCrashes) {
  const bool ok = rc::check([](Bytes bytes) {
    if (!bytes.empty()) {
      bytes[0] = static_cast<std::uint8_t>(0x40U | (bytes[0] & 0x3fU));
    }
    const auto decoded = decodeCoap(bytes);
    RC_ASSERT(!decoded.has_value() || decoded->token.size() <= 8U);
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(CoapRefusalMatchesTheRequest) {
  const core::FlowKey flow = flowOf("10.80.0.1:20000", "10.90.0.1:5683");
  core::Refuse refusal;
  refusal.form = core::RefusalForm::kCoap;
  refusal.certainty = core::RefusalCertainty::kNotRun;
  refusal.reason = core::RefuseReason::kBackendLimit;
  refusal.retryAfter = std::chrono::seconds(9);
  const auto packet =
      buildRefusal(refusal, kEtherTypeIpv4, buildUdpPacket(flow, encodeCoap(request())));
  BOOST_TEST_REQUIRE(packet.has_value());
  InnerPacketReader reader;
  const auto udp = reader.readUdp(kEtherTypeIpv4, *packet);
  BOOST_TEST_REQUIRE(udp.has_value());
  BOOST_TEST((udp->flow == reversed(flow)));
  const auto response = decodeCoap(udp->payload);
  BOOST_TEST_REQUIRE(response.has_value());
  BOOST_TEST(response->code == kCoapServiceUnavailable);
  BOOST_TEST(response->messageId == 77);
  BOOST_TEST((response->token == Bytes{1, 2, 3}));
  BOOST_TEST(response->uintOption(kCoapMaxAge).value_or(0) == 9U);
  BOOST_TEST(response->payload == kNotRunText);
}

BOOST_AUTO_TEST_CASE(RateRefusalUsesTooManyRequests) {
  const core::FlowKey flow = flowOf("10.80.0.1:20000", "10.90.0.1:5683");
  core::Refuse refusal;
  refusal.form = core::RefusalForm::kCoap;
  refusal.reason = core::RefuseReason::kNewFlowRate;
  const auto packet =
      buildRefusal(refusal, kEtherTypeIpv4, buildUdpPacket(flow, encodeCoap(request())));
  InnerPacketReader reader;
  const auto response = decodeCoap(reader.readUdp(kEtherTypeIpv4, *packet)->payload);
  BOOST_TEST(response->code == kCoapTooManyRequests);
  BOOST_TEST(response->payload == kOutcomeUnknownText);
}

BOOST_AUTO_TEST_CASE(ResetAcknowledgesTheSyn) {
  core::Refuse refusal;
  refusal.form = core::RefusalForm::kReset;
  const auto packet = buildRefusal(refusal, kEtherTypeIpv4, synPacket());
  BOOST_TEST_REQUIRE(packet.has_value());
  const Tins::IP ip(packet->data(), static_cast<std::uint32_t>(packet->size()));
  const auto& tcp = ip.rfind_pdu<Tins::TCP>();
  BOOST_TEST(tcp.get_flag(Tins::TCP::RST) == 1);
  BOOST_TEST(tcp.ack_seq() == 42U);
  BOOST_TEST(tcp.dport() == 20000);
}

BOOST_AUTO_TEST_CASE(EndpointParsingAndFormatting) {
  for (const char* invalid : {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:70000", "10.0.0.1:1x",
                              "::1:80", "[10.0.0.1]:1", "host:1"}) {
    BOOST_TEST(!parseEndpoint(invalid).has_value(), invalid);
  }
  for (const char* valid : {"10.0.0.1:80", "[2001:db8::1]:65535"}) {
    BOOST_TEST(formatEndpoint(*parseEndpoint(valid)) == valid);
  }
}

BOOST_AUTO_TEST_SUITE_END()
