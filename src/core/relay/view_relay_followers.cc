/// @file
/// ViewRelay: subscriptions and updates sent to other daemons.
#include <algorithm>
#include <utility>

#include "core/relay/view_relay.h"
#include "core/view_conversion.h"

namespace cobaltgauge::core {

void ViewRelay::OnSubscription(const ViewSubscription& subscription, Time now)
{
  ViewUpdate reply = this->MakeUpdate(subscription.have, now);
  reply.echoUs = subscription.sentAtUs;
  reply.peers = this->Followers.SelectReferrals(subscription.replyTo);
  if (!this->Leaving) {
    reply.full =
      !this->Followers.Grant(subscription.replyTo, subscription.daemons, now);
  }
  ++this->Counters.UpdatesSent;
  this->Outgoing.push_back({ { subscription.replyTo }, std::move(reply) });
}

ViewUpdate ViewRelay::MakeUpdate(Revision have, Time now) const
{
  ViewUpdate update;
  update.sender = this->Self;
  update.clockUs = static_cast<std::uint64_t>(now.count());
  update.leaving = this->Leaving;
  update.outliers = this->Outliers.GetOutliers();
  // The tree of a reader that is not a seed may be one of several.
  const bool isFleetSizeKnown = !this->Reading || this->Seeds.IsSelfSeed();
  update.daemons = isFleetSizeKnown ? this->Fleet.GetLatestCount() : 0;
  if (!this->Reader.isSynchronized()) {
    return update;
  }
  const auto confirmed = this->Reader.confirmedAt().count();
  update.confirmedUs = static_cast<std::uint64_t>(confirmed);
  update.readerRank = this->ViewRank;
  update.revision = this->Log.GetCompleteRevision();
  // Without changes, the update only confirms views of this revision.
  update.from = update.revision;
  if (const auto range = this->GetChangesSince(have)) {
    update.from = std::min(have, update.revision);
    addToUpdate(range->Changes, update);
    if (range->EndRevision < update.revision) {
      update.revision = range->EndRevision;
      update.confirmedUs = 0;
    }
  }
  const HistoryGap& gap = this->Reader.history().GetGap();
  if (update.from < gap.To && gap.To <= update.revision) {
    update.gap = gap;
  }
  return update;
}

std::optional<ChangeRange> ViewRelay::GetChangesSince(Revision have) const
{
  if (!this->Reader.history().Covers(have)) {
    return std::nullopt;
  }
  std::optional<ChangeRange> range = this->Log.Since(have);
  const bool isFromView = !range && this->Difference != nullptr &&
    this->Reader.canSendChangesSince(have);
  return isFromView
    ? this->Difference->Since(have, this->Log.GetCompleteRevision())
    : range;
}

std::vector<Endpoint> ViewRelay::GetNeighbors() const
{
  std::vector<Endpoint> neighbors = this->Followers.List();
  if (this->Upstream) {
    neighbors.push_back(*this->Upstream);
  }
  return neighbors;
}

void ViewRelay::PushIfChanged(Time now)
{
  const bool hasChanges =
    this->Log.GetCompleteRevision() > this->LastPushedRevision ||
    this->Reader.confirmedAt() - this->LastPushConfirmedAt >=
      kMinKeepaliveInterval;
  if (hasChanges) {
    this->PushUpdate(now);
  }
}

void ViewRelay::PushUpdate(Time now)
{
  if (!this->Reader.isSynchronized() || this->Leaving) {
    return;
  }
  std::vector<Endpoint> destinations = this->Followers.List();
  if (!destinations.empty()) {
    this->Counters.UpdatesSent += destinations.size();
    this->Outgoing.push_back(
      { std::move(destinations),
        this->MakeUpdate(this->LastPushedRevision, now) });
  }
  this->LastPushedRevision = this->Log.GetCompleteRevision();
  this->LastPushConfirmedAt = this->Reader.confirmedAt();
}

} // namespace cobaltgauge::core
