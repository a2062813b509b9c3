#include "daemon/packet_port.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include "core/token_steering.h"
#include "net/address.h"
#include "platform/packet_header.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

/// A packet port on loopback, with the sockets of a backend and a client.
struct PortFixture : TokenFixture {
  asio::io_context context;
  platform::PacketHeader format;
  core::TokenSteering viewlessSteering{core::TokenSteeringOptions{}, weights, random};
  daemon::PacketPort port{context, format, viewlessSteering};
  asio::ip::udp::socket backend{context, {asio::ip::make_address("127.0.0.1"), 0}};
  asio::ip::udp::socket client{context, {asio::ip::make_address("127.0.0.1"), 0}};

  PortFixture() {
    BOOST_REQUIRE(port.open(*net::parseEndpoint("127.0.0.1:0")));
    backend.non_blocking(true);
  }

  /// A connection attempt from 100.64.0.7:40001 to 10.90.0.1:443.
  static std::vector<std::uint8_t> opening() {
    std::vector<std::uint8_t> packet(31, 0);
    packet[4] = 64;
    const std::vector<std::uint8_t> addresses{0x07, 0x00, 0x40, 0x64, 0xbb, 0x01,
                                              0x41, 0x9c, 0x01, 0x00, 0x5a, 0x0a};
    std::copy(addresses.begin(), addresses.end(), packet.begin() + 19);
    return packet;
  }

  void sendToPort(const std::vector<std::uint8_t>& packet) {
    client.send_to(asio::buffer(packet), net::toUdp(port.localEndpoint()));
    const std::uint64_t before = port.counters().received;
    while (port.counters().received == before) {
      context.run_one();
    }
  }

  /// Adds the backend socket of this fixture to the steering, which had no view.
  void provideView() {
    core::Registration registration = makeRegistration(9, "web", 1, 1);
    registration.endpoint = net::fromUdp(backend.local_endpoint());
    viewlessSteering.backends().put("servers/9", registration, 1, now);
    viewlessSteering.routes().offer(makeRoutes(1, {{1, "web"}}), now);
    viewlessSteering.setViewState(true, true);
  }

  /// @return the size of the datagram received by the backend, zero if there is none.
  std::size_t receivedByBackend() {
    std::vector<std::uint8_t> buffer(2048);
    asio::error_code error;
    const std::size_t size = backend.receive(asio::buffer(buffer), 0, error);
    return error ? 0 : size;
  }
};

BOOST_FIXTURE_TEST_SUITE(PacketPortTest, PortFixture)

// Guards against dropping the packets that arrive before the first view, which delays their flows
// until the clients retransmit.
BOOST_AUTO_TEST_CASE(early_packets_are_forwarded_once_the_view_is_known) {
  sendToPort(opening());
  BOOST_TEST(receivedByBackend() == 0U);
  provideView();
  port.retryPending(port.lastPacketAt());
  BOOST_TEST(receivedByBackend() == 39U);
  BOOST_TEST(port.counters().retried == 1U);
  port.retryPending(port.lastPacketAt());
  BOOST_TEST(port.counters().retried == 1U);
}

BOOST_AUTO_TEST_CASE(expired_packets_are_not_forwarded) {
  sendToPort(opening());
  provideView();
  port.retryPending(port.lastPacketAt() + daemon::kMaxPendingAge + 1ms);
  BOOST_TEST(receivedByBackend() == 0U);
}

BOOST_AUTO_TEST_CASE(keepalive_is_sent_to_any_backend_at_the_address) {
  core::FlowKeepAlive keepAlive;
  keepAlive.forward.backend.id = core::BackendId{9};
  keepAlive.forward.backend.endpoint = net::fromUdp(backend.local_endpoint());
  keepAlive.forward.recipient = core::Recipient::kAnyAtAddress;
  keepAlive.packet = opening();
  port.sendKeepAlive(keepAlive);
  std::vector<std::uint8_t> received(64);
  received.resize(backend.receive(asio::buffer(received)));
  std::vector<std::uint8_t> expected(8, 0);
  expected.insert(expected.end(), keepAlive.packet.begin(), keepAlive.packet.end());
  BOOST_TEST(received == expected);
  BOOST_TEST(port.counters().keepAlivesSent == 1U);
}

BOOST_AUTO_TEST_CASE(malformed_packets_are_counted_by_reason) {
  sendToPort({1, 2, 3});
  const auto index = static_cast<std::size_t>(net::PacketFormatError::kShort);
  BOOST_TEST(port.counters().formatErrors[index] == 1U);
}

BOOST_AUTO_TEST_CASE(pending_packets_are_bounded) {
  daemon::PendingPackets pending;
  for (std::size_t i = 0; i < daemon::kMaxPendingPackets + 10; ++i) {
    pending.add({static_cast<std::uint8_t>(i)}, now);
  }
  const std::vector<daemon::PendingPackets::Packet> kept = pending.take(now);
  BOOST_TEST(kept.size() == daemon::kMaxPendingPackets);
  BOOST_TEST(kept.front().bytes[0] == 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
