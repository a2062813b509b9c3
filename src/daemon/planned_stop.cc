#include "daemon/planned_stop.h"

namespace cobaltgauge::daemon {
namespace {

/// The router needs this long to notice that a daemon is no longer ready: two probes half a second
/// apart, and some time for the last packets.
constexpr core::Duration kRouterDetectionTime = std::chrono::milliseconds(1600);
/// Share of the time until the process would be killed that it uses at most. Where packets still
/// come after that, no other daemon takes them, and a quick restart serves them best.
constexpr int kGraceDivisor = 2;

}  // namespace

bool PlannedStop::isDone(bool isIdle, core::Duration grace, core::Time now) const {
  const core::Duration elapsed = now - begunAt_;
  return begun_ && elapsed >= kRouterDetectionTime && (isIdle || elapsed >= grace / kGraceDivisor);
}

}  // namespace cobaltgauge::daemon
