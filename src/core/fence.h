/// @file
/// Keeps a daemon from forwarding by a view that may be stale: after it starts, and after the
/// process was suspended. The fence opens when a live peer confirms the view, or after a bounded
/// wait when no peer answers.
#pragma once

#include <cstdint>
#include <set>

#include "core/types.h"

namespace cobaltgauge::core {

class Fence {
 public:
  /// Starts closed: a daemon that joins has no view at all.
  Fence() = default;

  /// @return true where the time since the last tick shows that the process was suspended.
  bool detectsSuspension(Time now) const;

  /// Notes a control tick.
  void onTick(Time now) { lastTick_ = now; }

  /// Closes the fence. Only answers to probes with this sequence or a later one open it: answers
  /// that waited in a socket buffer prove nothing.
  void close(Time now, std::uint64_t firstSequence);

  /// Closes the fence for a short time after a cut healed: only these members can confirm the view.
  void closeUntilConfirmedBy(const std::set<MemberId>& confirmers, Time now,
                             std::uint64_t firstSequence);

  /// A peer answered a probe, and this daemon is not behind the peer's configuration.
  void onConfirmation(MemberId from, std::uint64_t sequence);

  /// Opens the fence after the bounded wait, counted from close().
  /// @param heardFromPeer true where an established peer was heard since, or may exist unheard.
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
