#include "daemon/view_change_logger.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"

namespace cobaltgauge::daemon {
namespace {

constexpr core::Duration kPeriod = std::chrono::seconds(1);
/// Changes that are logged individually per period without sampling.
constexpr std::uint32_t kLinesPerPeriod = 8;
/// Expected number of daemons in the fleet that log a sampled change.  More
/// than one, so that a change is logged even if a daemon fails.
constexpr std::uint64_t kLoggersPerChange = 3;

}  // namespace

ViewChangeLogger::ViewChangeLogger(std::uint64_t daemon, LogChange logChange, LogSummary logSummary)
    : daemon_(daemon), logChange_(std::move(logChange)), logSummary_(std::move(logSummary)) {}

bool ViewChangeLogger::isSampled(const core::ViewChange& change) const {
  if (!samplesChanges_) {
    return false;
  }
  const std::uint64_t hash =
      core::mixHash(core::hashName(change.key) + change.revision.number, daemon_);
  return hash % std::max<std::uint64_t>(fleetSize_, 1) < kLoggersPerChange;
}

void ViewChangeLogger::add(const core::ViewChange& change, core::Time now) {
  onTick(now);
  if (loggedInPeriod_ < kLinesPerPeriod || isSampled(change)) {
    ++loggedInPeriod_;
    logChange_(change);
    return;
  }
  if (!std::exchange(hasSuppressed_, true)) {
    suppressed_.first = change.revision;
    suppressed_.firstKey = change.key;
  }
  suppressed_.last = change.revision;
  ++suppressed_.counts[static_cast<std::size_t>(change.backendEvent)];
}

void ViewChangeLogger::onTick(core::Time now) {
  if (now - periodStart_ < kPeriod) {
    return;
  }
  periodStart_ = now;
  loggedInPeriod_ = 0;
  if (std::exchange(hasSuppressed_, false)) {
    logSummary_(std::exchange(suppressed_, {}));
  }
}

}  // namespace cobaltgauge::daemon
