/// @file
/// Data socket of token steering: receives datagrams, obtains a verdict of the core for each, and
/// forwards or refuses them.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/flow_steering.h"
#include "daemon/pending_packets.h"
#include "net/packet_format.h"

namespace cobaltgauge::daemon {

/// Counters of a PacketPort; see docs/METRICS.md.
struct PacketPortCounters {
  std::uint64_t received = 0;
  std::uint64_t sentToBackends = 0;
  std::uint64_t refusalsSent = 0;
  std::uint64_t keepAlivesSent = 0;
  std::uint64_t sendErrors = 0;
  std::uint64_t retried = 0;  ///< Packets reprocessed after the view changed.
  std::array<std::uint64_t, net::kPacketFormatErrorCount> formatErrors{};
};

class PacketPort {
 public:
  /// Called with the time at which a batch is processed.
  using BatchListener = std::function<void(core::Time now)>;
  /// Called after each verdict, for logging.
  using VerdictListener =
      std::function<void(const core::PacketSummary&, const core::Verdict&, core::Time now)>;

  PacketPort(asio::io_context& context, net::PacketFormat& format, core::FlowSteering& steering);

  /// Reprocesses queued packets. Must be called when the view has changed.
  void retryPending(core::Time now);

  /// Sends a copy of a client's packet to the address of its flow.
  void sendKeepAlive(const core::FlowKeepAlive& keepAlive);

  /// Sends a refusal of the flow to its client.
  void refuse(const core::FlowKey& flow, std::uint32_t acknowledgement);

  void setBatchListener(BatchListener listener) { onBatch_ = std::move(listener); }
  void setVerdictListener(VerdictListener listener) { onVerdict_ = std::move(listener); }
  /// Called when the socket has no more packets to read.
  void setDrainedListener(BatchListener listener) { onDrained_ = std::move(listener); }

  /// Binds the socket. @return false on failure; see lastReason().
  bool open(const core::Endpoint& endpoint);
  const std::string& lastReason() const { return lastReason_; }

  const core::Endpoint& localEndpoint() const { return local_; }
  const PacketPortCounters& counters() const { return counters_; }
  core::Time lastPacketAt() const { return lastPacketAt_; }

 private:
  void waitForPackets();
  void receiveBatch();
  /// @param arrivedAt arrival time; earlier than `now` if the packet was queued.
  void onPacket(std::span<std::uint8_t> datagram, core::Time arrivedAt, core::Time now);
  void queueIfViewIncomplete(const core::Verdict& verdict, net::ByteView packet,
                             core::Time arrivedAt);
  bool forward(const core::ForwardToBackend& forward, std::span<std::uint8_t> datagram);
  bool send(const core::Endpoint& destination, net::ByteView bytes);

  net::PacketFormat& format_;
  core::FlowSteering& steering_;
  asio::ip::udp::socket socket_;
  core::Endpoint local_;
  std::vector<std::uint8_t> buffer_;
  PendingPackets pending_;
  BatchListener onBatch_;
  VerdictListener onVerdict_;
  BatchListener onDrained_;
  core::Time lastPacketAt_{};
  std::string lastReason_;
  PacketPortCounters counters_;
};

}  // namespace cobaltgauge::daemon
