#include "daemon/view_log.h"

#include "daemon/token_log.h"

namespace cobaltgauge::daemon {
namespace {

void logOne(const core::ViewChange& change) { logViewChange(change, core::Duration{0}); }

}  // namespace

ViewLog::ViewLog(std::uint64_t daemon)
    : backends_(daemon, &logOne, &logChangeSummary),
      unreadableItems_(daemon, &logOne, &logUnreadableSummary) {
  // The items of another writer may be any number, in a fleet of any size.
  unreadableItems_.disableSampling();
}

void ViewLog::add(const core::ViewChange& change, core::Duration viewAge, core::Time now) {
  switch (change.kind) {
    case core::ViewChange::Kind::kBackend:
      backends_.add(change, now);
      return;
    case core::ViewChange::Kind::kUnreadable:
      unreadableItems_.add(change, now);
      return;
    default:
      logViewChange(change, viewAge);
  }
}

void ViewLog::onTick(core::Time now) {
  backends_.onTick(now);
  unreadableItems_.onTick(now);
}

}  // namespace cobaltgauge::daemon
