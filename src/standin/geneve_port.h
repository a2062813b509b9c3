/// @file
/// UDP socket that sends and receives Geneve-encapsulated UDP packets.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>

#include "net/geneve.h"
#include "net/inner_packet.h"

namespace cobaltgauge::standin {

class GenevePort {
 public:
  using Handler =
      std::function<void(const net::UdpPacket&, const std::optional<net::RoutingOption>&)>;

  GenevePort(asio::io_context& context, std::uint32_t vni, Handler handler);

  /// Binds the socket and starts receiving. Throws asio::system_error if binding fails.
  void open(const core::Endpoint& endpoint);
  core::Endpoint localEndpoint() const;

  /// Sends an encapsulated UDP packet to an outer destination.
  void send(const core::Endpoint& outer, const core::FlowKey& flow, net::ByteView payload);

 private:
  void receive();

  std::uint32_t vni_;
  Handler handler_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint sender_;
  std::array<std::uint8_t, 65536> buffer_{};
  net::GeneveDecoder decoder_;
  net::InnerPacketReader reader_;
};

/// @return the system time in milliseconds since the Unix epoch.
std::int64_t wallClockMs();

}  // namespace cobaltgauge::standin
