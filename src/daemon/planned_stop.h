/// @file
/// Graceful shutdown: how long a daemon continues to forward packets after a stop signal.
#pragma once

#include "core/types.h"

namespace cobaltgauge::daemon {

class PlannedStop {
 public:
  void begin(core::Time now) {
    begun_ = true;
    begunAt_ = now;
  }
  bool hasBegun() const { return begun_; }

  /// @param isIdle whether no packet has arrived for kIdleDuration.
  /// @param grace time from the signal until the process is killed.
  /// @return true if the router has had time to detect the stop and the daemon is idle, or if the
  /// daemon's share of the grace period has elapsed.
  bool isDone(bool isIdle, core::Duration grace, core::Time now) const;

  /// A stopping daemon counts as idle after this time without packets.
  static constexpr core::Duration kIdleDuration = std::chrono::milliseconds(600);

 private:
  bool begun_ = false;
  core::Time begunAt_{};
};

}  // namespace cobaltgauge::daemon
