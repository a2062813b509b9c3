/// @file
/// Moves packets of token steering: a datagram in, a verdict of the core, a datagram out.
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
  std::uint64_t sendErrors = 0;
  std::uint64_t retried = 0;  ///< Packets decided again after the view changed.
  std::array<std::uint64_t, net::kPacketFormatErrorCount> faults{};
};

class PacketPort {
 public:
  /// Called with the time at which a batch is handled.
  using BatchListener = std::function<void(core::Time now)>;
  /// Called after each verdict, for logs.
  using VerdictListener =
      std::function<void(const core::PacketSummary&, const core::Verdict&, core::Time now)>;

  PacketPort(asio::io_context& context, net::PacketFormat& format, core::FlowSteering& steering);

  /// Decides packets again that the view could not decide; to be called when it has changed.
  void retryPending(core::Time now);

  /// Tells a caller that its flow is refused.
  void refuse(const core::FlowKey& flow, std::uint32_t acknowledgement);

  void setBatchListener(BatchListener listener) { onBatch_ = std::move(listener); }
  void setVerdictListener(VerdictListener listener) { onVerdict_ = std::move(listener); }
  /// Called when every waiting packet has been handled.
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
  /// @param arrivedAt earlier than `now` where the packet was kept.
  void onPacket(std::span<std::uint8_t> datagram, core::Time arrivedAt, core::Time now);
  void keepIfUndecided(const core::Verdict& verdict, net::ByteView packet, core::Time arrivedAt);
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
