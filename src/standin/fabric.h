/// @file
/// Fabric stand-in for end-to-end tests. Sends each client packet to a random daemon and forwards
/// responses, with simulated delay, loss, duplication and reordering.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "ctl/command_options.h"
#include "net/geneve.h"
#include "net/inner_packet.h"

namespace cobaltgauge::standin {

class Fabric {
 public:
  Fabric(asio::io_context& context, const ctl::CommandOptions& options);

 private:
  void receive();
  void onDatagram(std::size_t size);
  void deliver(const asio::ip::udp::endpoint& destination, net::ByteView datagram);
  void readDaemons();
  bool chance(std::uint64_t permille);

  asio::io_context& context_;
  std::string daemonsFile_;
  std::uint64_t lossPermille_;
  std::uint64_t duplicatePermille_;
  std::uint64_t delayMs_;
  std::uint64_t jitterMs_;
  std::mt19937_64 random_;
  asio::ip::udp::socket socket_;
  asio::steady_timer fileTimer_;
  asio::ip::udp::endpoint sender_;
  std::array<std::uint8_t, 65536> buffer_{};
  net::GeneveDecoder decoder_;
  net::InnerPacketReader reader_;
  std::vector<asio::ip::udp::endpoint> daemons_;
  /// Outer endpoint that each client address last sent from.
  std::map<core::IpAddress, asio::ip::udp::endpoint> clientEndpoints_;
};

/// Entry point of the fabric subcommand.
int runFabric(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
