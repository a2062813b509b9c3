/// @file
/// Stops a daemon from forwarding while its view may be stale: after start-up and after the process
/// was suspended. The fence opens when a peer confirms the view, or after a timeout if no peer
/// responds.
#pragma once

#include <cstdint>
#include <set>

#include "core/types.h"

namespace cobaltgauge::core {

class Fence {
 public:
  /// Starts closed: a joining daemon has no view.
  Fence() = default;

  /// @return true if the time since the last tick indicates that the process was suspended.
  bool detectsSuspension(Time now) const;

  /// Updates the time of the last tick.
  void onTick(Time now) { lastTick_ = now; }

  /// Closes the fence. Acks with a lower sequence number do not open it, because they may have been
  /// buffered before the suspension.
  void close(Time now, std::uint64_t firstSequence);

  /// Closes the fence for a short time after a network partition has ended: only these members can
  /// confirm the view.
  void closeUntilConfirmedBy(const std::set<MemberId>& confirmers, Time now,
                             std::uint64_t firstSequence);

  /// Call when a peer acknowledged a probe and its configuration is not newer than the active one.
  void onConfirmation(MemberId from, std::uint64_t sequence);

  /// Opens the fence if the timeout since close() has passed.
  /// @param heardFromPeer true if an established peer was heard since then, or one may exist.
  void openAfterTimeout(Time now, bool heardFromPeer);

  bool isClosed() const { return closed_; }
  Time closedAt() const { return closedAt_; }

 private:
  std::set<MemberId> confirmers_;  ///< Empty: any member may confirm.
  bool closed_ = true;
  bool started_ = false;
  Time closedAt_{};
  Time lastTick_{};
  std::uint64_t firstSequence_ = 1;
};

}  // namespace cobaltgauge::core
