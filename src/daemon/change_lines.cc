#include "daemon/change_lines.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"

namespace cobaltgauge::daemon {
namespace {

constexpr core::Duration kPeriod = std::chrono::seconds(1);
/// Single lines of a second: a calm day's changes, and the first ones of any
/// event.
constexpr std::uint32_t kLinesPerPeriod = 8;
/// Daemons of the fleet that tell a change singly in any case.  Three, since
/// one may die and another may not have got the change yet.
constexpr std::uint64_t kTellersOfChange = 3;

}  // namespace

ChangeLines::ChangeLines(std::uint64_t daemon, TellOne one, TellSum sum)
    : daemon_(daemon), one_(std::move(one)), all_(std::move(sum)) {}

bool ChangeLines::isDrawn(const core::ViewChange& change) const {
  const std::uint64_t draw =
      core::mixHash(core::hashName(change.key) + change.revision.number, daemon_);
  return draw % std::max<std::uint64_t>(fleet_, 1) < kTellersOfChange;
}

void ChangeLines::take(const core::ViewChange& change, core::Time now) {
  onTick(now);
  if (told_ < kLinesPerPeriod || isDrawn(change)) {
    ++told_;
    one_(change);
    return;
  }
  if (!std::exchange(hasCounted_, true)) {
    counted_.first = change.revision;
    counted_.firstKey = change.key;
  }
  counted_.last = change.revision;
  ++counted_.counts[static_cast<std::size_t>(change.backendEvent)];
}

void ChangeLines::onTick(core::Time now) {
  if (now - secondBegan_ < kPeriod) {
    return;
  }
  secondBegan_ = now;
  told_ = 0;
  if (std::exchange(hasCounted_, false)) {
    all_(std::exchange(counted_, {}));
  }
}

}  // namespace cobaltgauge::daemon
