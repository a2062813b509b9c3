/// @file
/// Packets that could not be decided because the view lacked something, kept for a moment: a
/// starting daemon has its view some milliseconds after its first packets, and their callers would
/// send them again only after hundreds. Bounded in number and age.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::daemon {

/// About a caller's first repetition; older packets have been sent again.
inline constexpr core::Duration kMaxPendingAge = std::chrono::milliseconds(250);
inline constexpr std::size_t kMaxPendingPackets = 256;

class PendingPackets {
 public:
  struct Packet {
    core::Time arrivedAt{};
    std::vector<std::uint8_t> bytes;
  };

  /// Keeps a packet; the oldest one goes where there are too many.
  void add(std::vector<std::uint8_t> bytes, core::Time now) {
    if (packets_.size() >= kMaxPendingPackets) {
      packets_.pop_front();
    }
    packets_.push_back({now, std::move(bytes)});
  }

  /// @return the kept packets that are not too old, in order of arrival; none is kept after that.
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
