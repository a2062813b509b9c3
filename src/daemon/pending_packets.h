/// @file
/// Queue of packets that could not be processed because the view was incomplete, as at startup.
/// Reprocessing them is faster than waiting for the retransmissions of their clients. Bounded in
/// number and age.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::daemon {

/// About the first retransmission timeout of a client; older packets have been retransmitted.
inline constexpr core::Duration kMaxPendingAge = std::chrono::milliseconds(250);
inline constexpr std::size_t kMaxPendingPackets = 256;

class PendingPackets {
 public:
  struct Packet {
    core::Time arrivedAt{};
    std::vector<std::uint8_t> bytes;
  };

  /// Adds a packet. Discards the oldest one if the queue is full.
  void add(std::vector<std::uint8_t> bytes, core::Time now) {
    if (packets_.size() >= kMaxPendingPackets) {
      packets_.pop_front();
    }
    packets_.push_back({now, std::move(bytes)});
  }

  /// Clears the queue. @return the packets that have not expired, in order of arrival.
  std::vector<Packet> take(core::Time now) {
    std::vector<Packet> fresh;
    for (Packet& packet : packets_) {
      if (now - packet.arrivedAt <= kMaxPendingAge) {
        fresh.push_back(std::move(packet));
      }
    }
    packets_.clear();
    return fresh;
  }

  bool empty() const { return packets_.empty(); }

 private:
  std::deque<Packet> packets_;
};

}  // namespace cobaltgauge::daemon
