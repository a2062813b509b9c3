#include "daemon/data_plane.h"

#include <asio/buffer.hpp>

#include "daemon/clock.h"
#include "net/address.h"
#include "net/refusal.h"

namespace cobaltgauge::daemon {
namespace {

/// Maximum number of packets handled before control returns to the event loop.
constexpr int kBatchSize = 64;
constexpr int kSocketBufferBytes = 4 << 20;

}  // namespace

DataPlane::DataPlane(asio::io_context& context, const Settings& settings, core::Balancer& balancer,
                     net::PeerTransport& peers)
    : settings_(settings), balancer_(balancer), peers_(peers), socket_(context) {}

bool DataPlane::open() {
  const asio::ip::udp::endpoint endpoint = net::toUdp(settings_.dataListen);
  asio::error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) {
    socket_.bind(endpoint, error);
  }
  if (error) {
    lastReason_ = "cannot bind data endpoint " + net::formatEndpoint(settings_.dataListen) + ": " +
                  error.message();
    return false;
  }
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket_.non_blocking(true);
  waitForPackets();
  return true;
}

void DataPlane::close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

core::Endpoint DataPlane::localEndpoint() const { return net::fromUdp(socket_.local_endpoint()); }

void DataPlane::waitForPackets() {
  socket_.async_wait(asio::socket_base::wait_read, [this](const asio::error_code& error) {
    if (error) {
      return;
    }
    receiveBatch();
    waitForPackets();
  });
}

void DataPlane::receiveBatch() {
  const core::Time now = bootTime();
  for (int i = 0; i < kBatchSize; ++i) {
    asio::ip::udp::endpoint sender;
    asio::error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
    if (error) {
      break;
    }
    onDatagram(net::ByteView(buffer_.data(), size), now);
  }
}

void DataPlane::onDatagram(net::ByteView datagram, core::Time now) {
  ++counters_.packetsReceived;
  const std::optional<net::GenevePacket> packet = decoder_.decode(datagram);
  if (!packet) {
    ++counters_.geneveErrors[decoder_.lastError()];
    return;
  }
  if (packet->vni != settings_.vni) {
    ++counters_.vniMismatches;
    return;
  }
  const std::optional<core::PacketSummary> summary =
      reader_.summarize(packet->protocolType, packet->payload);
  if (!summary) {
    ++counters_.innerErrors[reader_.lastError()];
    return;
  }
  applyVerdict(balancer_.onPacket(*summary, now), packet->protocolType, packet->payload,
               balancer_.membership().self().id);
}

void DataPlane::onForwardedPacket(const net::ForwardedPacket& forwarded, core::Time now) {
  const std::optional<core::PacketSummary> summary =
      reader_.summarize(forwarded.protocolType, forwarded.packet);
  if (!summary) {
    ++counters_.innerErrors[reader_.lastError()];
    return;
  }
  const core::PeerArrival arrival{forwarded.ingress, forwarded.hops, forwarded.needsListing};
  applyVerdict(balancer_.onPeerPacket(*summary, arrival, now), forwarded.protocolType,
               forwarded.packet, forwarded.ingress);
}

void DataPlane::applyVerdict(const core::Verdict& verdict, std::uint16_t protocolType,
                             net::ByteView packet, core::MemberId ingress) {
  if (const auto* forward = std::get_if<core::ForwardToBackend>(&verdict)) {
    sendToBackend(*forward, protocolType, packet);
  } else if (const auto* peerForward = std::get_if<core::ForwardToPeer>(&verdict)) {
    ++counters_.packetsToPeers;
    peers_.send(peerForward->destination,
                net::ForwardedPacket{ingress, peerForward->hops, peerForward->needsListing,
                                     protocolType, net::Bytes(packet.begin(), packet.end())});
  } else if (const auto* refusal = std::get_if<core::Refuse>(&verdict)) {
    sendRefusal(*refusal, protocolType, packet);
  }
}

template <typename Header>
bool DataPlane::sendPacket(const core::Endpoint& destination, const Header& header,
                           net::ByteView packet) {
  const std::array<asio::const_buffer, 2> parts{asio::buffer(header),
                                                asio::buffer(packet.data(), packet.size())};
  asio::error_code error;
  socket_.send_to(parts, net::toUdp(destination), 0, error);
  if (error) {
    ++counters_.sendErrors;
  }
  return !error;
}

void DataPlane::sendToBackend(const core::ForwardToBackend& forward, std::uint16_t protocolType,
                              net::ByteView packet) {
  const net::RoutingOption routing{forward.backend.service, forward.backend.incarnation,
                                   forward.version};
  const auto header = net::encodeRoutedHeader(settings_.vni, protocolType, routing);
  if (sendPacket(forward.backend.endpoint, header, packet)) {
    ++counters_.packetsToBackends;
  }
}

void DataPlane::sendRefusal(const core::Refuse& refusal, std::uint16_t protocolType,
                            net::ByteView packet) {
  const std::optional<net::Bytes> response = net::buildRefusal(refusal, protocolType, packet);
  if (response && sendPacket(settings_.fabricReturn, net::encodeHeader(settings_.vni, protocolType),
                             *response)) {
    ++counters_.refusalsSent;
  }
}

}  // namespace cobaltgauge::daemon
