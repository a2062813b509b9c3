#include "daemon/planned_stop.h"

namespace cobaltgauge::daemon {
namespace {

/// Time until the router stops sending packets to a daemon that is no longer ready: two readiness
/// probes and a margin for packets in transit.
constexpr core::Duration kRouterDetectionTime = std::chrono::milliseconds(1600);
/// The stop takes at most this fraction of the grace period. If packets still arrive then, no other
/// daemon receives them, and a fast restart minimizes the interruption.
constexpr int kGraceDivisor = 2;

}  // namespace

bool PlannedStop::isDone(bool isIdle, core::Duration grace, core::Time now) const {
  const core::Duration elapsed = now - begunAt_;
  return begun_ && elapsed >= kRouterDetectionTime && (isIdle || elapsed >= grace / kGraceDivisor);
}

}  // namespace cobaltgauge::daemon
