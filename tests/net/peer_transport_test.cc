/// @file
/// Tests of timeouts and counters of connections between daemons.
#include "net/peer_transport.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/address.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTestStreamTimeout = 30ms;

/// A message that exceeds the socket buffers.
core::ViewTransfer largeView() {
  core::ViewTransfer view;
  view.backends.resize(1'000'000);
  return view;
}

struct TransportFixture {
  asio::io_context context;
  net::PeerTransport transport{context, net::PeerCodec("test", "sixteen byte key", {}),
                               [this](const net::ReceivedFrame&) { ++received; }};
  int received = 0;

  TransportFixture() {
    transport.setStreamTimeout(kTestStreamTimeout);
    BOOST_REQUIRE(transport.open({{{127, 0, 0, 1}, false}, 0}));
  }

  /// Runs the event loop until `count` streams have timed out.
  void runUntilTimedOut(std::uint64_t count) {
    while (transport.counters().streamsTimedOut < count) {
      context.run_one();
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(PeerTransportTest, TransportFixture)

// Guards against leaking the socket and the message of a stalled stream.
BOOST_AUTO_TEST_CASE(stream_to_peer_that_does_not_read_times_out) {
  asio::ip::tcp::acceptor acceptor(context,
                                   asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  asio::ip::tcp::socket accepted(context);
  acceptor.async_accept(accepted, [](const asio::error_code&) {});
  transport.send({{{127, 0, 0, 1}, false}, acceptor.local_endpoint().port()}, largeView());
  runUntilTimedOut(1);
  BOOST_TEST(transport.counters().streamsSent == 1U);
}

BOOST_AUTO_TEST_CASE(incomplete_inbound_stream_times_out) {
  asio::ip::tcp::socket peer(context);
  peer.connect(net::toTcp(transport.localEndpoint()));
  const std::array<std::uint8_t, 5> partialFrame{0, 0, 1, 0, 7};  // Length 256, then only one byte.
  asio::write(peer, asio::buffer(partialFrame));
  runUntilTimedOut(1);
  asio::error_code error;
  std::array<char, 1> response{};
  peer.read_some(asio::buffer(response), error);
  BOOST_TEST(error.operator bool());
  BOOST_TEST(received == 0);
}

BOOST_AUTO_TEST_CASE(sent_bytes_are_counted_by_message_type) {
  transport.send({transport.localEndpoint(), transport.localEndpoint()},
                 core::UnreachableGroupsNotice{});
  transport.send(transport.localEndpoint(), core::ViewRequest{});
  std::uint64_t sum = 0;
  std::size_t usedTypes = 0;
  for (std::size_t type = 0; type < transport.counters().bytesSentByType.size(); ++type) {
    sum += transport.counters().bytesSentByType[type];
    usedTypes += transport.counters().bytesSentByType[type] != 0 ? 1 : 0;
    BOOST_TEST(std::string(net::frameName(type)) != "invalid");
  }
  BOOST_TEST(sum == transport.counters().bytesSent);
  BOOST_TEST(usedTypes == 2U);
}

BOOST_AUTO_TEST_CASE(delivered_stream_is_not_counted_as_timed_out) {
  core::ViewTransfer view;
  view.backends.resize(1000);
  transport.send(transport.localEndpoint(), view);
  while (received == 0) {
    context.run_one();
  }
  context.run_for(2 * kTestStreamTimeout);
  BOOST_TEST(received == 1);
  BOOST_TEST(transport.counters().streamsTimedOut == 0U);
}

// Guards against file descriptors and memory for every connection of an unauthenticated sender.
BOOST_AUTO_TEST_CASE(number_of_inbound_streams_is_limited) {
  transport.setStreamTimeout(10s);
  std::vector<asio::ip::tcp::socket> senders;
  for (int i = 0; i < 300; ++i) {
    senders.emplace_back(context).connect(net::toTcp(transport.localEndpoint()));
    context.poll();
  }
  context.run_for(50ms);
  BOOST_TEST(transport.counters().streamsRefused == 300U - 256U);
}

// Guards against memory for frames that their senders announced but never complete.
BOOST_AUTO_TEST_CASE(bytes_of_incomplete_inbound_frames_are_limited) {
  transport.setStreamTimeout(10s);
  const std::array<std::uint8_t, 4> length{1, 0, 0, 0};  // 16 MB.
  const std::vector<std::uint8_t> part(15U << 20U);
  std::vector<asio::ip::tcp::socket> senders;
  senders.reserve(3);  // A write refers to its socket.
  for (int i = 0; i < 3; ++i) {
    asio::ip::tcp::socket& sender = senders.emplace_back(context);
    sender.connect(net::toTcp(transport.localEndpoint()));
    asio::write(sender, asio::buffer(length));
    asio::async_write(sender, asio::buffer(part), [](const asio::error_code&, std::size_t) {});
  }
  while (transport.counters().streamsRefused == 0) {
    context.run_one();
  }
  BOOST_TEST(transport.counters().streamsRefused == 1U);
  BOOST_TEST(received == 0);
}

BOOST_AUTO_TEST_CASE(frame_larger_than_the_first_read_is_delivered) {
  core::ViewTransfer view;
  view.backends.resize(20'000);
  transport.setStreamTimeout(10s);
  transport.send({transport.localEndpoint(), transport.localEndpoint()}, view);
  while (received < 2) {
    context.run_one();
  }
  BOOST_TEST(transport.counters().streamsRefused == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
