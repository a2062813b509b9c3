/// @file
/// Data socket of recorded steering: receives Geneve packets, applies the verdict of the balancer
/// core and sends the result.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <map>
#include <string>

#include "core/balancer.h"
#include "daemon/settings.h"
#include "net/geneve.h"
#include "net/inner_packet.h"
#include "net/peer_transport.h"

namespace cobaltgauge::daemon {

/// Counters of a DataPlane; see docs/METRICS.md.
struct DataPlaneCounters {
  std::uint64_t packetsReceived = 0;
  std::uint64_t packetsToBackends = 0;
  std::uint64_t packetsToPeers = 0;
  std::uint64_t refusalsSent = 0;
  std::uint64_t sendErrors = 0;
  std::uint64_t vniMismatches = 0;  ///< Packets whose VNI is not the configured one.
  std::map<net::GeneveError, std::uint64_t> geneveErrors;
  std::map<net::InnerError, std::uint64_t> innerErrors;
};

class DataPlane {
 public:
  DataPlane(asio::io_context& context, const Settings& settings, core::Balancer& balancer,
            net::PeerTransport& peers);

  /// Binds the data socket. @return false on failure; see lastReason().
  bool open();
  void close();
  const std::string& lastReason() const { return lastReason_; }
  core::Endpoint localEndpoint() const;

  /// Handles a packet forwarded by a peer.
  void onForwardedPacket(const net::ForwardedPacket& forwarded, core::Time now);

  const DataPlaneCounters& counters() const { return counters_; }

 private:
  void waitForPackets();
  void receiveBatch();
  void onDatagram(net::ByteView datagram, core::Time now);
  void applyVerdict(const core::Verdict& verdict, std::uint16_t protocolType, net::ByteView packet,
                    core::MemberId ingress);
  void sendToBackend(const core::ForwardToBackend& forward, std::uint16_t protocolType,
                     net::ByteView packet);
  void sendRefusal(const core::Refuse& refusal, std::uint16_t protocolType, net::ByteView packet);
  template <typename Header>
  bool sendPacket(const core::Endpoint& destination, const Header& header, net::ByteView packet);

  const Settings& settings_;
  core::Balancer& balancer_;
  net::PeerTransport& peers_;
  asio::ip::udp::socket socket_;
  std::array<std::uint8_t, 65536> buffer_{};
  net::GeneveDecoder decoder_;
  net::InnerPacketReader reader_;
  std::string lastReason_;
  DataPlaneCounters counters_;
};

}  // namespace cobaltgauge::daemon
