/// @file
/// Sends and receives peer frames: one UDP datagram where a frame fits, a short TCP connection
/// where it does not.
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

/// A connection that has not carried its frame after this long never will: a frame of 3 MB takes as
/// long on a link of 10 Mbit/s, and its receiver has asked others by then.
inline constexpr std::chrono::milliseconds kStreamTimeout{3000};

/// Counters of a PeerTransport; bytes include the authenticator, not UDP/IP headers.
struct PeerTransportCounters {
  std::uint64_t datagramsSent = 0;
  std::uint64_t streamsSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t sendErrors = 0;
  std::uint64_t streamsTimedOut = 0;  ///< Not through within the bound, either way.
  std::map<PeerCodecError, std::uint64_t> rejected;
  /// Bytes sent, by the place of the message in PeerFrame.
  std::array<std::uint64_t, std::variant_size_v<PeerFrame>> bytesSentByType{};
};

class PeerTransport {
 public:
  using FrameHandler = std::function<void(ReceivedFrame)>;

  /// Binds UDP and TCP to the same endpoint; port 0 picks one.
  PeerTransport(asio::io_context& context, PeerCodec codec, FrameHandler handler);

  /// @return false where a socket cannot be bound; see lastReason().
  bool open(const core::Endpoint& endpoint);
  const std::string& lastReason() const { return lastReason_; }
  core::Endpoint localEndpoint() const;

  void send(const core::Endpoint& destination, const PeerFrame& frame);
  /// Sends one frame to several peers; it is encoded once.
  void send(const std::vector<core::Endpoint>& destinations, const PeerFrame& frame);
  void close();

  /// Sets how long a connection may take for its frame.
  void setStreamTimeout(std::chrono::milliseconds longest) { streamTimeout_ = longest; }

  const PeerTransportCounters& counters() const { return counters_; }

 private:
  class TimedStream;
  class InboundStream;
  class OutboundStream;

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
  std::chrono::milliseconds streamTimeout_ = kStreamTimeout;
  std::string lastReason_;
  PeerTransportCounters counters_;
};

}  // namespace cobaltgauge::net
