/// @file
/// ViewRelay: processing of updates received from other daemons.
#include "core/constants.h"
#include "core/load/fleet_load.h"
#include "core/relay/view_relay.h"
#include "core/view_conversion.h"

namespace cobaltgauge::core {
namespace {

/// Tell whether an update holds only part of the changes its receiver lacks.
bool IsPartial(const ViewUpdate& update)
{
  return update.revision != 0 && update.confirmedUs == 0;
}

} // namespace

UpdateOutcome ViewRelay::OnUpdate(const ViewUpdate& update, Time now)
{
  if (update.leaving) {
    this->Clocks.Remove(update.sender);
    if (this->Upstream == update.sender) {
      this->StopFollowing();
    }
    return UpdateOutcome::kUnusable;
  }
  if (update.full) {
    this->Referrals = update.peers;
  }
  this->Seeds.OnUpdate(update, this->Timing, now);
  if (this->IsOutlierAuthority(update.sender)) {
    this->Outliers.SetOutliers(update.outliers, now);
  }
  this->Clocks.RecordOffset(update, now);
  if (this->Load != nullptr && this->Upstream == update.sender) {
    this->Load->OnUpstreamClock(update.clockUs, now);
  }
  const std::optional<Time> confirmed =
    this->Clocks.GetConfirmedAt(update, now);
  if (!confirmed || update.revision == 0) {
    return UpdateOutcome::kUnusable;
  }
  const Revision before = this->Reader.revision();
  if (before == 0) {
    // A fresh view on a peer implies that the store is available now.
    if (now - *confirmed < this->Timing.PeerQueryViewAge) {
      this->Reader.expediteRead(now);
    }
    return UpdateOutcome::kUnusable;
  }
  if (!this->ApplyUpdate(update, now)) {
    ++this->Counters.Gaps;
    // A lost unsolicited update is requested again.  Changes missing from a
    // response are read from the store.
    if (update.echoUs == 0) {
      this->RequestMissingChanges(update.sender, now);
    } else {
      this->ReadRequested = true;
      this->UpdateReaderActivity();
    }
    return UpdateOutcome::kGap;
  }
  if (!IsPartial(update)) {
    this->Reader.confirm(*confirmed);
  }
  if (update.daemons != 0) {
    this->Fleet.OnCount(update.daemons, now);
  }
  if (this->Reader.confirmedAt() > this->LastConfirmedAt) {
    this->LastConfirmedAt = this->Reader.confirmedAt();
    this->ViewRank = update.readerRank;
  }
  this->FollowSender(update, now);
  this->PushIfChanged(now);
  if (this->Reader.revision() == before) {
    return UpdateOutcome::kConfirmed;
  }
  ++this->Counters.UpdatesApplied;
  if (IsPartial(update)) {
    this->RequestMissingChanges(update.sender, now);
  }
  return UpdateOutcome::kApplied;
}

bool ViewRelay::ApplyUpdate(const ViewUpdate& update, Time now)
{
  const Revision have = this->Reader.revision();
  if (!this->Reader.acceptsChanges() || have < update.from) {
    return false;
  }
  if (update.revision <= have) {
    return true;
  }
  // This view may hold items that the sender has never observed and would not
  // remove.
  if (update.gap.Contains(have)) {
    return false;
  }
  for (const StoreChange& change : toStoreChanges(update)) {
    if (!this->Sink.onChange(change, now)) {
      return false;
    }
  }
  this->Reader.adoptGap(update.gap);
  if (IsPartial(update)) {
    this->Reader.advance(update.revision);
  } else {
    this->Reader.adopt(update.revision);
  }
  this->Log.Close(update.revision);
  return true;
}

void ViewRelay::FollowSender(const ViewUpdate& update, Time now)
{
  const bool isFresh =
    now - this->Reader.confirmedAt() < this->Timing.PeerQueryViewAge;
  const bool isRankedHigher = update.readerRank < this->OwnRank;
  if (!isFresh || (!isRankedHigher && !this->Reader.isFailing())) {
    return;
  }
  this->Reading = false;
  this->UpdateReaderActivity();
  if (!update.full && !this->Upstream) {
    this->Upstream = update.sender;
    this->Referrals.clear();
    this->NextQueryAt = now + kSubscriptionRenewInterval;
  }
}

void ViewRelay::RequestMissingChanges(const Endpoint& sender, Time now)
{
  // A starting fleet would request most of the store's items from the seeds.
  if (!this->Reader.isSynchronized()) {
    this->ReadRequested = true;
    this->UpdateReaderActivity();
    return;
  }
  const Revision have = this->Reader.revision();
  const bool isRequested = have == this->MissingRequestedFrom &&
    now - this->MissingRequestedAt < kPeerQueryInterval;
  if (!isRequested) {
    this->MissingRequestedFrom = have;
    this->MissingRequestedAt = now;
    this->SendSubscription(sender, now);
  }
}

} // namespace cobaltgauge::core
