#include "standin/throughput.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <chrono>
#include <iostream>

#include "ctl/command_options.h"
#include "net/address.h"
#include "net/inner_packet.h"

namespace cobaltgauge::standin {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kSocketBufferBytes = 8 << 20;
/// Maximum number of datagrams received in a row.
constexpr int kMaxDatagramsPerBatch = 64;
/// Size of the receive buffers in bytes.
constexpr std::size_t kMaxDatagramBytes = 65536;
/// Packets sent and neither received nor counted as lost.
constexpr std::uint64_t kMaxInFlight = 256;
/// Packets in flight count as lost after this time without an arrival.
constexpr auto kLossTimeout = std::chrono::milliseconds(200);
constexpr std::uint16_t kFirstPort = 20000;

void openSocket(asio::ip::udp::socket& socket, const core::Endpoint& endpoint) {
  const asio::ip::udp::endpoint udp = net::toUdp(endpoint);
  socket.open(udp.protocol());
  socket.bind(udp);
  asio::error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket.non_blocking(true);
}

std::vector<net::Bytes> makePackets(const core::Endpoint& service, std::size_t flows,
                                    std::size_t payloadBytes, std::uint32_t vni) {
  std::vector<net::Bytes> packets;
  packets.reserve(flows);
  const net::Bytes payload(payloadBytes, 0);
  core::FlowKey flow{core::Protocol::kUdp, {}, service};
  for (std::size_t i = 0; i < flows; ++i) {
    flow.source.address.bytes = {10, 85, static_cast<std::uint8_t>(i >> 8U),
                                 static_cast<std::uint8_t>(i)};
    flow.source.port = kFirstPort;
    const auto header = net::encodeHeader(vni, net::kEtherTypeIpv4);
    net::Bytes packet(header.begin(), header.end());
    const net::Bytes inner = net::buildUdpPacket(flow, payload);
    packet.insert(packet.end(), inner.begin(), inner.end());
    packets.push_back(std::move(packet));
  }
  return packets;
}

/// Sends and receives in one thread, so that the sender's overhead is equal in all measurements.
class ThroughputMeter {
 public:
  ThroughputMeter(asio::io_context& context, const core::Endpoint& listen,
                  const core::Endpoint& target)
      : sender_(context, asio::ip::udp::v4()), receiver_(context), target_(net::toUdp(target)) {
    openSocket(receiver_, listen);
    sender_.non_blocking(true);
  }

  /// @return packets received per second.
  double run(const std::vector<net::Bytes>& packets, std::uint64_t count) {
    const auto began = Clock::now();
    auto lastArrival = began;
    std::size_t next = 0;
    while (received_ + lost_ < count) {
      if (sent_ < count && sent_ - received_ - lost_ < kMaxInFlight) {
        send(packets[next]);
        next = (next + 1) % packets.size();
      }
      if (receiveAll()) {
        lastArrival = Clock::now();
      } else if (Clock::now() - lastArrival > kLossTimeout) {
        lost_ = sent_ - received_;
        lastArrival = Clock::now();
      }
    }
    return static_cast<double>(received_) /
           std::chrono::duration<double>(Clock::now() - began).count();
  }

  std::uint64_t lost() const { return lost_; }

 private:
  void send(const net::Bytes& packet) {
    asio::error_code error;
    sender_.send_to(asio::buffer(packet), target_, 0, error);
    sent_ += error ? 0 : 1;
  }

  bool receiveAll() {
    bool any = false;
    asio::ip::udp::endpoint from;
    asio::error_code error;
    for (int i = 0; i < kMaxDatagramsPerBatch; ++i) {
      receiver_.receive_from(asio::buffer(buffer_), from, 0, error);
      if (error) {
        break;
      }
      ++received_;
      any = true;
    }
    return any;
  }

  asio::ip::udp::socket sender_;
  asio::ip::udp::socket receiver_;
  asio::ip::udp::endpoint target_;
  std::array<std::uint8_t, kMaxDatagramBytes> buffer_{};
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  std::uint64_t lost_ = 0;
};

}  // namespace

int runRelay(int argc, const char* const* argv) {
  const auto options = ctl::CommandOptions::parse(
      "cobaltgauge-standin relay",
      {{"listen", "endpoint to listen on", ctl::kRequired},
       {"to", "endpoint that datagrams are forwarded to", ctl::kRequired}},
      argc, argv);
  if (!options) {
    return 2;
  }
  asio::io_context context;
  asio::ip::udp::socket socket(context);
  openSocket(socket, options->endpoint("listen"));
  const asio::ip::udp::endpoint target = net::toUdp(options->endpoint("to"));
  std::array<std::uint8_t, kMaxDatagramBytes> buffer{};
  std::function<void()> wait = [&] {
    socket.async_wait(asio::socket_base::wait_read, [&](const asio::error_code& error) {
      for (int i = 0; !error && i < kMaxDatagramsPerBatch; ++i) {
        asio::ip::udp::endpoint from;
        asio::error_code failure;
        const std::size_t size = socket.receive_from(asio::buffer(buffer), from, 0, failure);
        if (failure) {
          break;
        }
        socket.send_to(asio::buffer(buffer.data(), size), target, 0, failure);
      }
      wait();
    });
  };
  wait();
  context.run();
  return 0;
}

int runThroughput(int argc, const char* const* argv) {
  const auto options = ctl::CommandOptions::parse(
      "cobaltgauge-standin throughput",
      {{"target", "endpoint of the daemon or relay to measure", ctl::kRequired},
       {"listen", "backend endpoint, where packets are counted", ctl::kRequired},
       {"service", "address and port of the service", ctl::kRequired},
       {"packets", "number of packets to send", "400000"},
       {"flows", "number of flows", "4096"},
       {"payload-bytes", "inner payload size", "64"},
       {"vni", "Geneve virtual network identifier", "1"}},
      argc, argv);
  if (!options) {
    return 2;
  }
  const auto packets = makePackets(options->endpoint("service"), options->number("flows"),
                                   options->number("payload-bytes"),
                                   static_cast<std::uint32_t>(options->number("vni")));
  asio::io_context context;
  ThroughputMeter meter(context, options->endpoint("listen"), options->endpoint("target"));
  const double rate = meter.run(packets, options->number("packets"));
  std::cout << static_cast<std::uint64_t>(rate) << " packets/s, lost " << meter.lost() << "\n";
  return 0;
}

}  // namespace cobaltgauge::standin
