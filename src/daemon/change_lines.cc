#include "daemon/change_lines.h"

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
    : Daemon(daemon), One(std::move(one)), All(std::move(sum)) {}

bool ChangeLines::IsDrawn(const core::ViewChange& change) const {
  const std::uint64_t draw =
      core::mixHash(core::hashName(change.key) + change.revision, this->Daemon);
  return draw % std::max<std::uint64_t>(this->Fleet, 1) < kTellersOfChange;
}

void ChangeLines::Take(const core::ViewChange& change, core::Time now) {
  this->OnTick(now);
  if (this->Told < kLinesPerPeriod || this->IsDrawn(change)) {
    ++this->Told;
    this->One(change);
    return;
  }
  if (!std::exchange(this->HasCounted, true)) {
    this->Counted.First = change.revision;
    this->Counted.FirstKey = change.key;
  }
  this->Counted.Last = change.revision;
  ++this->Counted.Counts[static_cast<std::size_t>(change.backendEvent)];
}

void ChangeLines::OnTick(core::Time now) {
  if (now - this->SecondBegan < kPeriod) {
    return;
  }
  this->SecondBegan = now;
  this->Told = 0;
  if (std::exchange(this->HasCounted, false)) {
    this->All(std::exchange(this->Counted, {}));
  }
}

}  // namespace cobaltgauge::daemon
