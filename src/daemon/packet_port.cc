#include "daemon/packet_port.h"

#include <asio/buffer.hpp>

#include "daemon/clock.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

/// Packets processed before control returns to the event loop.
constexpr int kBatchSize = 64;
/// Size of the receive buffer. Queued bytes count towards the memory limit of the process.
constexpr int kSocketBufferBytes = 1 << 20;
constexpr std::size_t kMaxDatagramBytes = 2048;

}  // namespace

PacketPort::PacketPort(asio::io_context& context, net::PacketFormat& format,
                       core::FlowSteering& steering)
    : format_(format),
      steering_(steering),
      socket_(context),
      buffer_(format.prefixBytes() + kMaxDatagramBytes) {}

bool PacketPort::open(const core::Endpoint& endpoint) {
  local_ = endpoint;
  const asio::ip::udp::endpoint local = net::toUdp(endpoint);
  asio::error_code error;
  socket_.open(local.protocol(), error);
  if (!error) {
    socket_.bind(local, error);
  }
  if (error) {
    lastReason_ =
        "cannot bind data endpoint " + net::formatEndpoint(endpoint) + ": " + error.message();
    return false;
  }
  local_.port = socket_.local_endpoint().port();
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket_.non_blocking(true);
  waitForPackets();
  return true;
}

void PacketPort::waitForPackets() {
  socket_.async_wait(asio::socket_base::wait_read, [this](const asio::error_code& error) {
    if (error) {
      return;
    }
    receiveBatch();
    waitForPackets();
  });
}

void PacketPort::receiveBatch() {
  const core::Time now = bootTime();
  if (onBatch_) {
    onBatch_(now);
  }
  const std::size_t prefix = format_.prefixBytes();
  for (int i = 0; i < kBatchSize; ++i) {
    asio::ip::udp::endpoint sender;
    asio::error_code error;
    const std::size_t size = socket_.receive_from(
        asio::buffer(buffer_.data() + prefix, kMaxDatagramBytes), sender, 0, error);
    if (error) {
      if (onDrained_) {
        onDrained_(now);
      }
      return;
    }
    lastPacketAt_ = now;
    onPacket(std::span(buffer_.data(), prefix + size), now, now);
  }
}

void PacketPort::onPacket(std::span<std::uint8_t> datagram, core::Time arrivedAt, core::Time now) {
  ++counters_.received;
  const net::ByteView packet = datagram.subspan(format_.prefixBytes());
  const std::optional<core::PacketSummary> summary = format_.read(packet);
  if (!summary) {
    ++counters_.formatErrors[static_cast<std::size_t>(format_.lastError())];
    return;
  }
  const core::Verdict verdict = steering_.onPacket(*summary, now);
  if (const auto* forward = std::get_if<core::ForwardToBackend>(&verdict)) {
    counters_.sentToBackends += this->forward(*forward, datagram) ? 1U : 0U;
  } else if (std::holds_alternative<core::Refuse>(verdict)) {
    refuse(summary->flow, summary->acknowledgement);
  }
  queueIfViewIncomplete(verdict, packet, arrivedAt);
  if (onVerdict_) {
    onVerdict_(*summary, verdict, now);
  }
}

void PacketPort::queueIfViewIncomplete(const core::Verdict& verdict, net::ByteView packet,
                                       core::Time arrivedAt) {
  const auto* drop = std::get_if<core::Drop>(&verdict);
  if (drop != nullptr && core::dependsOnView(drop->reason)) {
    pending_.add({packet.begin(), packet.end()}, arrivedAt);
  }
}

void PacketPort::retryPending(core::Time now) {
  if (pending_.empty()) {
    return;
  }
  for (PendingPackets::Packet& pending : pending_.take(now)) {
    ++counters_.retried;
    std::vector<std::uint8_t> datagram(format_.prefixBytes());
    datagram.insert(datagram.end(), pending.bytes.begin(), pending.bytes.end());
    onPacket(datagram, pending.arrivedAt, now);
  }
}

void PacketPort::refuse(const core::FlowKey& flow, std::uint32_t acknowledgement) {
  const std::vector<std::uint8_t> refusal = format_.refusal(flow, acknowledgement);
  counters_.refusalsSent += send(format_.clientEndpoint(flow, local_), refusal) ? 1U : 0U;
}

void PacketPort::sendKeepAlive(const core::FlowKeepAlive& keepAlive) {
  std::vector<std::uint8_t> datagram(format_.prefixBytes());
  datagram.insert(datagram.end(), keepAlive.packet.begin(), keepAlive.packet.end());
  counters_.keepAlivesSent += forward(keepAlive.forward, datagram) ? 1U : 0U;
}

bool PacketPort::forward(const core::ForwardToBackend& forward, std::span<std::uint8_t> datagram) {
  format_.prepareForward(forward, datagram);
  return send(forward.backend.endpoint, datagram);
}

bool PacketPort::send(const core::Endpoint& destination, net::ByteView bytes) {
  asio::error_code error;
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()), net::toUdp(destination), 0, error);
  counters_.sendErrors += error ? 1U : 0U;
  return !error;
}

}  // namespace cobaltgauge::daemon
