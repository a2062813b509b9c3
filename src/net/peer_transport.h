/// @file
/// Sends and receives peer frames: over UDP if a frame fits into one datagram, otherwise over a TCP
/// connection per frame.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/peer_codec.h"

namespace cobaltgauge::net {

/// Maximum time to connect and transfer one frame over TCP.
inline constexpr std::chrono::milliseconds kStreamTimeout{3000};

/// Counters of a PeerTransport. Bytes include the authenticator but not transport and IP headers.
struct PeerTransportCounters {
  std::uint64_t datagramsSent = 0;
  std::uint64_t streamsSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t sendErrors = 0;
  std::uint64_t streamsTimedOut = 0;  ///< Inbound and outbound.
  std::uint64_t streamsRefused = 0;   ///< Inbound, beyond the limits on all of them together.
  std::map<PeerCodecError, std::uint64_t> rejected;
  /// Bytes sent, indexed by message type (index in PeerFrame).
  std::array<std::uint64_t, std::variant_size_v<PeerFrame>> bytesSentByType{};
};

class PeerTransport {
 public:
  using FrameHandler = std::function<void(ReceivedFrame)>;

  PeerTransport(asio::io_context& context, PeerCodec codec, FrameHandler handler);

  /// Binds UDP and TCP to the same endpoint; port 0 selects a free port.
  /// @return false if a socket cannot be bound; see lastReason().
  bool open(const core::Endpoint& endpoint);
  const std::string& lastReason() const { return lastReason_; }
  core::Endpoint localEndpoint() const;

  void send(const core::Endpoint& destination, const PeerFrame& frame);
  /// Sends a frame to several peers, encoding it once.
  void send(const std::vector<core::Endpoint>& destinations, const PeerFrame& frame);
  void close();

  /// Sets the maximum time to connect and transfer one frame over TCP.
  void setStreamTimeout(std::chrono::milliseconds timeout) { streamTimeout_ = timeout; }

  const PeerTransportCounters& counters() const { return counters_; }

 private:
  class TimedStream;
  class InboundStream;
  class OutboundStream;
  struct InboundUsage;

  void receiveDatagram();
  void acceptStream();
  void sendBytes(const core::Endpoint& destination, const std::vector<std::uint8_t>& bytes,
                 bool isDataPacket);
  void sendStream(const core::Endpoint& destination, std::vector<std::uint8_t> bytes);
  void deliver(ByteView bytes);

  asio::io_context& context_;
  PeerCodec codec_;
  FrameHandler handler_;
  asio::ip::udp::socket socket_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::udp::endpoint sender_;
  std::vector<std::uint8_t> buffer_;
  std::shared_ptr<InboundUsage> inboundUsage_;
  std::chrono::milliseconds streamTimeout_ = kStreamTimeout;
  std::string lastReason_;
  PeerTransportCounters counters_;
};

}  // namespace cobaltgauge::net
