/// @file
/// A planned stop: how long a daemon that has been asked to stop goes on forwarding.
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

  /// @param isIdle no packet has come for kQuiet.
  /// @param grace time from the signal until the process would be killed.
  /// @return true where routers have noticed and nothing is left to forward, or where packets that
  /// still come are served best by a quick restart.
  bool isDone(bool isIdle, core::Duration grace, core::Time now) const;

  /// A leaving daemon without packets for this long has nothing left to forward.
  static constexpr core::Duration kIdleDuration = std::chrono::milliseconds(600);

 private:
  bool begun_ = false;
  core::Time begunAt_{};
};

}  // namespace cobaltgauge::daemon
