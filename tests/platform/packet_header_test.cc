#include "platform/packet_header.h"

#include <boost/test/unit_test.hpp>

#include "net/address.h"

namespace cobaltgauge::tests {
namespace {

using net::PacketFormatError;

/// A connection attempt from 100.64.0.7:40001 to 198.18.0.1:443, sequence number 0x11223344, first
/// retransmission.
std::vector<std::uint8_t> opening() {
  return {0xd5, 0xc3, 0xb2, 0xa1, 0x40, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
          0x44, 0x33, 0x22, 0x11, 0x01, 0x00, 0x00, 0x00, 0x07, 0x00, 0x40,
          0x64, 0xbb, 0x01, 0x41, 0x9c, 0x01, 0x00, 0x12, 0xc6};
}

struct HeaderFixture {
  platform::PacketHeader format;

  PacketFormatError formatErrorOf(const std::vector<std::uint8_t>& packet) {
    BOOST_REQUIRE(!format.read(packet).has_value());
    return format.lastError();
  }
};

BOOST_FIXTURE_TEST_SUITE(PacketHeaderTest, HeaderFixture)

BOOST_AUTO_TEST_CASE(reads_opening) {
  const std::optional<core::PacketSummary> summary = format.read(opening());
  BOOST_REQUIRE(summary.has_value());
  BOOST_TEST(net::formatEndpoint(summary->flow.source) == "100.64.0.7:40001");
  BOOST_TEST(net::formatEndpoint(summary->flow.destination) == "198.18.0.1:443");
  BOOST_TEST((summary->kind == core::PacketKind::kOpening));
  BOOST_TEST(summary->openingRetransmission == 1U);
  BOOST_TEST(summary->sequence == 0x11223344U);
  BOOST_TEST((summary->token == core::kNoToken));
}

BOOST_AUTO_TEST_CASE(reads_acknowledgement_with_token_and_data) {
  std::vector<std::uint8_t> packet = opening();
  packet[4] = 4;
  packet[5] = 0x78;
  packet[6] = 0x56;
  packet[9] = 3;
  packet.insert(packet.end(), {1, 2, 3});
  const std::optional<core::PacketSummary> summary = format.read(packet);
  BOOST_REQUIRE(summary.has_value());
  BOOST_TEST((summary->kind == core::PacketKind::kContinuing));
  BOOST_TEST((summary->token == core::SteeringToken{0x5678}));
  BOOST_TEST(summary->dataLength == 3U);
  BOOST_TEST(summary->acknowledgement == 1U);
  BOOST_TEST(summary->openingRetransmission == 0U);
}

BOOST_AUTO_TEST_CASE(rejects_malformed_packets) {
  std::vector<std::uint8_t> packet = opening();
  packet.pop_back();
  BOOST_TEST((formatErrorOf(packet) == PacketFormatError::kShort));
  BOOST_TEST((formatErrorOf({}) == PacketFormatError::kShort));
  packet = opening();
  packet.push_back(0);
  BOOST_TEST((formatErrorOf(packet) == PacketFormatError::kWrongLength));
  packet = opening();
  packet[4] = 0x80;
  BOOST_TEST((formatErrorOf(packet) == PacketFormatError::kUnknownFlag));
  packet.resize(31 + 1201);
  BOOST_TEST((formatErrorOf(packet) == PacketFormatError::kLong));
}

BOOST_AUTO_TEST_CASE(stamp_writes_only_backend_id_and_token) {
  std::vector<std::uint8_t> datagram(8, 0xff);
  const std::vector<std::uint8_t> packet = opening();
  datagram.insert(datagram.end(), packet.begin(), packet.end());
  core::ForwardToBackend forward;
  forward.backend.id = core::BackendId{0x1fa13cd8c2};
  forward.token = core::SteeringToken{0x0a0b0c0d};
  format.prepareForward(forward, datagram);
  const std::vector<std::uint8_t> id(datagram.begin(), datagram.begin() + 8);
  BOOST_TEST(id == (std::vector<std::uint8_t>{0, 0, 0, 0x1f, 0xa1, 0x3c, 0xd8, 0xc2}));
  std::vector<std::uint8_t> expected = packet;
  expected[5] = 0x0d;
  expected[6] = 0x0c;
  expected[7] = 0x0b;
  expected[8] = 0x0a;
  BOOST_TEST(std::vector<std::uint8_t>(datagram.begin() + 8, datagram.end()) == expected);
}

// Zero lets any backend at the address accept the packet.
BOOST_AUTO_TEST_CASE(stamp_names_no_backend_if_any_may_accept_the_packet) {
  std::vector<std::uint8_t> datagram(8, 0xff);
  const std::vector<std::uint8_t> packet = opening();
  datagram.insert(datagram.end(), packet.begin(), packet.end());
  core::ForwardToBackend forward;
  forward.backend.id = core::BackendId{0x1fa13cd8c2};
  forward.recipient = core::Recipient::kAnyAtAddress;
  format.prepareForward(forward, datagram);
  BOOST_TEST(std::vector<std::uint8_t>(datagram.begin(), datagram.begin() + 8) ==
             std::vector<std::uint8_t>(8, 0));
  BOOST_TEST(std::vector<std::uint8_t>(datagram.begin() + 8, datagram.end()) == packet);
}

BOOST_AUTO_TEST_CASE(refusal_is_a_reset_packet) {
  const std::optional<core::PacketSummary> summary = format.read(opening());
  const std::vector<std::uint8_t> reset = format.refusal(summary->flow, 0);
  const std::vector<std::uint8_t> expected{0x00, 0x00, 0x00, 0x00, 0x01, 0x00, 0x00, 0x00,
                                           0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
                                           0x00, 0x00, 0x00, 0x01, 0x00, 0x12, 0xc6, 0x41,
                                           0x9c, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64};
  BOOST_TEST(reset == expected);
  const core::Endpoint client =
      format.clientEndpoint(summary->flow, *net::parseEndpoint("10.1.0.10:8172"));
  BOOST_TEST(net::formatEndpoint(client) == "100.64.0.7:8172");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
