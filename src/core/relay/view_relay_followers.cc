/// @file
/// The part of ViewRelay that tells other daemons what this one knows.
#include <algorithm>
#include <utility>

#include "core/relay/view_relay.h"
#include "core/view_conversion.h"

namespace cobaltgauge::core {

void ViewRelay::OnSubscription(const ViewSubscription& subscription, Time now)
{
  ViewUpdate reply = this->Describe(subscription.have, now);
  reply.echoUs = subscription.sentAtUs;
  reply.peers = this->Followers.NameSome(subscription.replyTo);
  if (!this->Leaving) {
    reply.full =
      !this->Followers.Grant(subscription.replyTo, subscription.daemons, now);
  }
  ++this->Counters.UpdatesSent;
  this->Outgoing.push_back({ { subscription.replyTo }, std::move(reply) });
}

ViewUpdate ViewRelay::Describe(Revision have, Time now) const
{
  ViewUpdate update;
  update.sender = this->Self;
  update.clockUs = static_cast<std::uint64_t>(now.count());
  update.leaving = this->Leaving;
  update.outliers = this->Outliers.GetOutliers();
  // The tree of a reader that is no seed may be one of many.
  const bool isCounted = !this->Reading || this->Seeds.IsSelfSeed();
  update.daemons = isCounted ? this->Fleet.GetLatest() : 0;
  if (!this->Reader.isSynchronized()) {
    return update;
  }
  const auto confirmed = this->Reader.confirmedAt().count();
  update.confirmedUs = static_cast<std::uint64_t>(confirmed);
  update.readerRank = this->ViewRank;
  update.revision = this->Log.GetComplete();
  // Without the changes it only says how old a view of this revision is.
  update.from = update.revision;
  if (const auto excerpt = this->GetChangesSince(have)) {
    update.from = std::min(have, update.revision);
    addToUpdate(excerpt->Changes, update);
    if (excerpt->Reached < update.revision) {
      update.revision = excerpt->Reached;
      update.confirmedUs = 0;
    }
  }
  const HistoryGap& gap = this->Reader.history().GetGap();
  if (update.from < gap.To && gap.To <= update.revision) {
    update.gap = gap;
  }
  return update;
}

std::optional<ChangeExcerpt> ViewRelay::GetChangesSince(Revision have) const
{
  if (!this->Reader.history().Covers(have)) {
    return std::nullopt;
  }
  std::optional<ChangeExcerpt> excerpt = this->Log.Since(have);
  const bool byView = !excerpt && this->Difference != nullptr &&
    this->Reader.canSendChangesSince(have);
  return byView ? this->Difference->Since(have, this->Log.GetComplete())
                : excerpt;
}

std::vector<Endpoint> ViewRelay::GetNeighbours() const
{
  std::vector<Endpoint> neighbours = this->Followers.List();
  if (this->Upstream) {
    neighbours.push_back(*this->Upstream);
  }
  return neighbours;
}

void ViewRelay::PushNews(Time now)
{
  const bool isNews = this->Log.GetComplete() > this->LastPushed ||
    this->Reader.confirmedAt() - this->LastPushConfirmed >= kLeastPushGap;
  if (isNews) {
    this->Push(now);
  }
}

void ViewRelay::Push(Time now)
{
  if (!this->Reader.isSynchronized() || this->Leaving) {
    return;
  }
  std::vector<Endpoint> destinations = this->Followers.List();
  if (!destinations.empty()) {
    this->Counters.UpdatesSent += destinations.size();
    this->Outgoing.push_back(
      { std::move(destinations), this->Describe(this->LastPushed, now) });
  }
  this->LastPushed = this->Log.GetComplete();
  this->LastPushConfirmed = this->Reader.confirmedAt();
}

} // namespace cobaltgauge::core
