/// @file
/// Sends and receives peer frames: one UDP datagram where a frame fits, a short TCP connection
/// where it does not.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/peer_codec.h"

namespace cobaltgauge::net {

/// Counters of a PeerTransport; bytes include the authenticator, not UDP/IP headers.
struct PeerTransportCounters {
  std::uint64_t datagramsSent = 0;
  std::uint64_t streamsSent = 0;
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  std::uint64_t sendErrors = 0;
  std::map<PeerCodecError, std::uint64_t> refused;
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

  const PeerTransportCounters& counters() const { return counters_; }

 private:
  class InboundStream;

  void receiveDatagram();
  void acceptStream();
  void sendBytes(const core::Endpoint& destination, const std::vector<std::uint8_t>& bytes,
                 bool isData);
  void sendStream(const core::Endpoint& destination, std::vector<std::uint8_t> bytes);
  void deliver(ByteView bytes);

  asio::io_context& context_;
  PeerCodec codec_;
  FrameHandler handler_;
  asio::ip::udp::socket socket_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::udp::endpoint sender_;
  std::vector<std::uint8_t> buffer_;
  std::string lastReason_;
  PeerTransportCounters counters_;
};

}  // namespace cobaltgauge::net
