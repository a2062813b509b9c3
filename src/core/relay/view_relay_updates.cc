/// @file
/// The part of ViewRelay that takes what other daemons tell of their views.
#include "core/constants.h"
#include "core/load/fleet_load.h"
#include "core/relay/view_relay.h"
#include "core/view_conversion.h"

namespace cobaltgauge::core {
namespace {

/// Tell whether an update holds only some of what its receiver lacks.
bool IsPart(const ViewUpdate& update)
{
  return update.revision != 0 && update.confirmedUs == 0;
}

} // namespace

UpdateOutcome ViewRelay::OnUpdate(const ViewUpdate& update, Time now)
{
  if (update.leaving) {
    this->Clocks.Forget(update.sender);
    if (this->Upstream == update.sender) {
      this->StopFollowing();
    }
    return UpdateOutcome::kUnusable;
  }
  if (update.full) {
    this->Referred = update.peers;
  }
  this->Seeds.OnUpdate(update, this->Timing, now);
  if (this->IsDecider(update.sender)) {
    this->Outliers.Adopt(update.outliers, now);
  }
  this->Clocks.Note(update, now);
  if (this->Load != nullptr && this->Upstream == update.sender) {
    this->Load->OnUpstreamClock(update.clockUs, now);
  }
  const std::optional<Time> confirmed =
    this->Clocks.GetConfirmation(update, now);
  if (!confirmed || update.revision == 0) {
    return UpdateOutcome::kUnusable;
  }
  const Revision before = this->Reader.revision();
  if (before == 0) {
    // Who has a fresh view has been served just now.
    if (now - *confirmed < this->Timing.AskPeersAfter) {
      this->Reader.expediteRead(now);
    }
    return UpdateOutcome::kUnusable;
  }
  if (!this->Apply(update, now)) {
    ++this->Counters.Gaps;
    // A lost update is asked for; what the peer lacks too, the store has.
    if (update.echoUs == 0) {
      this->AskForMissing(update.sender, now);
    } else {
      this->ReadWanted = true;
      this->ActivateReader();
    }
    return UpdateOutcome::kGap;
  }
  if (!IsPart(update)) {
    this->Reader.confirm(*confirmed);
  }
  if (update.daemons != 0) {
    this->Fleet.OnHeard(update.daemons, now);
  }
  if (this->Reader.confirmedAt() > this->LastConfirmed) {
    this->LastConfirmed = this->Reader.confirmedAt();
    this->ViewRank = update.readerRank;
  }
  this->Follow(update, now);
  this->PushNews(now);
  if (this->Reader.revision() == before) {
    return UpdateOutcome::kConfirmed;
  }
  ++this->Counters.UpdatesTaken;
  if (IsPart(update)) {
    this->AskForMissing(update.sender, now);
  }
  return UpdateOutcome::kTaken;
}

bool ViewRelay::Apply(const ViewUpdate& update, Time now)
{
  const Revision have = this->Reader.revision();
  if (!this->Reader.acceptsChanges() || have < update.from) {
    return false;
  }
  if (update.revision <= have) {
    return true;
  }
  // This view may hold what the sender has never seen, and would keep it.
  if (update.gap.Contains(have)) {
    return false;
  }
  for (const StoreChange& change : toStoreChanges(update)) {
    if (!this->Sink.onChange(change, now)) {
      return false;
    }
  }
  this->Reader.adoptGap(update.gap);
  if (IsPart(update)) {
    this->Reader.advance(update.revision);
  } else {
    this->Reader.adopt(update.revision);
  }
  this->Log.Close(update.revision);
  return true;
}

void ViewRelay::Follow(const ViewUpdate& update, Time now)
{
  const bool isFresh =
    now - this->Reader.confirmedAt() < this->Timing.AskPeersAfter;
  const bool isBefore = update.readerRank < this->OwnRank;
  if (!isFresh || (!isBefore && !this->Reader.isFailing())) {
    return;
  }
  this->Reading = false;
  this->ActivateReader();
  if (!update.full && !this->Upstream) {
    this->Upstream = update.sender;
    this->Referred.clear();
    this->NextAskAt = now + kRenewEvery;
  }
}

void ViewRelay::AskForMissing(const Endpoint& sender, Time now)
{
  // A fleet that starts would get most of the store's items from three seeds.
  if (!this->Reader.isSynchronized()) {
    this->ReadWanted = true;
    this->ActivateReader();
    return;
  }
  const Revision have = this->Reader.revision();
  const bool isAsked = have == this->MissingAskedFrom &&
    now - this->MissingAskedAt < kAskPeersEvery;
  if (!isAsked) {
    this->MissingAskedFrom = have;
    this->MissingAskedAt = now;
    this->Subscribe(sender, now);
  }
}

} // namespace cobaltgauge::core
