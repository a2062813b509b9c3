#include "core/relay/view_relay.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/route_table.h"
#include "core/view_conversion.h"

namespace cobaltgauge::core {
namespace {

/// Ranks of daemons that are no seeds lie behind those of all seeds.
constexpr std::uint64_t kRankOfOthers = std::uint64_t{ 1 } << 32U;

std::uint64_t RankOf(const Endpoint& endpoint, bool isSeed)
{
  const std::uint64_t rank = EndpointHash{}(endpoint) & (kRankOfOthers - 1);
  return isSeed ? rank : kRankOfOthers + rank;
}

} // namespace

ViewRelay::ViewRelay(const Endpoint& self,
                     StoreReader& reader,
                     StoreSink& sink,
                     ChangeLog& log,
                     OutlierDetector& outliers,
                     Random& random)
  : Self(self)
  , Reader(reader)
  , Sink(sink)
  , Log(log)
  , Outliers(outliers)
  , RandomSource(random)
  , OwnRank(RankOf(self, false))
{
}

void ViewRelay::SetTiming(const RelayTiming& timing)
{
  this->Timing = timing;
  this->Reader.setPace(
    std::chrono::duration_cast<std::chrono::milliseconds>(timing.WatchWait),
    timing.CurrentFor,
    timing.RareTryAfter);
}

void ViewRelay::SetSeeds(const std::vector<Endpoint>& seeds)
{
  this->Seeds = seeds;
  this->IsSeed = std::erase(this->Seeds, this->Self) != 0;
  this->OwnRank = RankOf(this->Self, this->IsSeed);
  this->Reader.setCovered(!this->IsSeed && !this->Seeds.empty());
  // Each daemon prefers seeds in an order of its own, which spreads followers.
  const std::uint64_t own = EndpointHash{}(this->Self);
  std::sort(this->Seeds.begin(),
            this->Seeds.end(),
            [own](const Endpoint& left, const Endpoint& right) {
              return mixHash(own, EndpointHash{}(left)) <
                mixHash(own, EndpointHash{}(right));
            });
}

Duration ViewRelay::GetReadLimit() const
{
  return this->IsSeed ? this->Timing.SeedReadsAfter
                      : this->Timing.FollowerReadsAfter;
}

void ViewRelay::ActivateReader()
{
  const bool active =
    this->Reading || this->CatchingUp || this->Reader.isListing();
  this->Reader.setActive(active);
  this->Reader.setUrgent(this->CatchingUp);
}

void ViewRelay::CoverReader(std::size_t peers, Time now)
{
  if (this->SeedHeardAt == Time{}) {
    this->SeedHeardAt = now; // Taken to be there until silent for long enough.
  }
  const bool isSeedHeard = now - this->SeedHeardAt < kSeedHeardWithin;
  const bool isCovered = !this->IsSeed && !this->Seeds.empty() && isSeedHeard;
  const bool hasSeedFailed = this->SeedFailedAt != Time{} &&
    now - this->SeedFailedAt < kSeedHeardWithin;
  this->Reader.setCovered(isCovered);
  this->Reader.setOthersFail(isCovered && hasSeedFailed
                               ? std::optional(this->GetTrySpan(peers))
                               : std::nullopt);
}

Duration ViewRelay::GetTrySpan(std::size_t peers) const
{
  return std::clamp<Duration>(
    kTryForEachPeer * peers, this->Timing.RareTryAfter, kLongestTrySpan);
}

void ViewRelay::NoteSeed(const ViewUpdate& update, Time now)
{
  this->SeedHeardAt = now;
  // Parts and daemons without a view say nothing about the store, and what
  // is no answer may have waited.
  if (update.echoUs == 0 || update.confirmedUs == 0) {
    return;
  }
  const Duration age(static_cast<Duration::rep>(update.clockUs) -
                     static_cast<Duration::rep>(update.confirmedUs));
  const bool isFailing = age >= this->Timing.SeedReadsAfter + kSeedTriesWithin;
  this->SeedFailedAt = isFailing ? now : Time{};
}

void ViewRelay::BeginReading(std::size_t peers, Time now)
{
  this->Reading = true;
  ++this->Counters.ReadingBegan;
  if (!this->Reader.areOthersFailing()) {
    return;
  }
  const Duration span = std::min<Duration>(kFirstTryForEachPeer * peers,
                                           this->Timing.RareTryAfter);
  const auto wait =
    this->RandomSource.below(static_cast<std::uint64_t>(span.count()) + 1);
  this->Reader.putOff(now + Duration(static_cast<Duration::rep>(wait)));
}

void ViewRelay::OnTick(const std::vector<Endpoint>& peers, Time now)
{
  this->ForgetOld(now);
  const Duration age = now - this->Reader.confirmedAt();
  if (this->Upstream && age >= this->Timing.AskPeersAfter) {
    this->StopFollowing();
  }
  this->CoverReader(peers.size(), now);
  if (!this->Reading && age >= this->GetReadLimit()) {
    this->BeginReading(peers.size(), now);
  }
  this->ActivateReader();
  this->ReportOutliers(now);
  if (now < this->NextAskAt || this->Leaving) {
    return;
  }
  if (this->Upstream) {
    this->NextAskAt = now + kRenewEvery;
    this->Subscribe(*this->Upstream, now);
    return;
  }
  const bool isContent = this->IsSeed && this->Reader.isCurrent(now);
  if (!this->MayCatchUpByPeers()) {
    this->NextAskAt = now + (isContent ? kSeedAsksEvery : kAskPeersEvery);
  }
  this->Ask(peers, now);
}

void ViewRelay::Ask(const std::vector<Endpoint>& peers, Time now)
{
  this->AskSeed(now);
  const std::vector<Endpoint>& others =
    this->Referred.empty() ? peers : this->Referred;
  if (!others.empty()) {
    const Endpoint& other = others[this->RandomSource.below(others.size())];
    if (other != this->Self) {
      this->Subscribe(other, now);
    }
  }
}

void ViewRelay::AskSeed(Time now)
{
  if (!this->Seeds.empty()) {
    this->Subscribe(this->Seeds[this->NextSeed++ % this->Seeds.size()], now);
  }
}

void ViewRelay::Subscribe(const Endpoint& destination, Time now)
{
  ++this->Counters.SubscriptionsSent;
  const auto sentAt = static_cast<std::uint64_t>(now.count());
  this->Outgoing.push_back(
    { { destination },
      ViewSubscription{ this->Self, this->Reader.revision(), sentAt } });
}

void ViewRelay::OnStoreAnswer(Time now)
{
  if (this->Reader.isComplete()) {
    this->Log.Close(this->Reader.revision());
  } else if (this->Reader.isCatchingUp()) {
    this->Log.Begin(this->Reader.revision());
  }
  if (this->MayCatchUpByPeers()) {
    this->Reader.putOff(now + kCatchUpFromPeers);
    this->AskSeed(now);
  }
  if (this->Reader.confirmedAt() > this->LastConfirmed) {
    const bool isFirst = this->LastConfirmed == Time{};
    this->LastConfirmed = this->Reader.confirmedAt();
    this->ViewRank = this->OwnRank;
    this->CatchingUp = false;
    if (isFirst) {
      this->AskSeed(now);
    }
  }
  this->ActivateReader();
  this->PushNews(now);
}

bool ViewRelay::MayCatchUpByPeers() const
{
  return this->Reader.isCatchingUp() && !this->Reader.isFailing() &&
    !this->Reader.isViewWanted();
}

void ViewRelay::OnSubscription(const ViewSubscription& subscription, Time now)
{
  ViewUpdate reply = this->Describe(subscription.have, now);
  reply.echoUs = subscription.sentAtUs;
  const bool isKnown = this->Followers.count(subscription.replyTo) != 0;
  const bool isFull = this->Followers.size() >= kMostFollowers;
  for (const auto& [follower, expires] : this->Followers) {
    if (follower != subscription.replyTo && reply.peers.size() < kPeersNamed) {
      reply.peers.push_back(follower);
    }
  }
  if (!isKnown && isFull) {
    reply.full = true;
  } else if (!this->Leaving) {
    this->Followers[subscription.replyTo] = now + kSubscriptionLease;
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
  if (!this->Reader.isComplete()) {
    return update;
  }
  const auto confirmed = this->Reader.confirmedAt().count();
  update.confirmedUs = static_cast<std::uint64_t>(confirmed);
  update.readerRank = this->ViewRank;
  update.revision = this->Log.GetComplete();
  // Without the changes it only says how old a view of this revision is.
  update.from = update.revision;
  if (const auto excerpt = this->Log.Since(have)) {
    update.from = std::min(have, update.revision);
    addToUpdate(excerpt->Changes, update);
    if (excerpt->Reached < update.revision) {
      update.revision = excerpt->Reached;
      update.confirmedUs = 0;
    }
  }
  return update;
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
  if (!this->Reader.isComplete() || this->Leaving) {
    return;
  }
  std::vector<Endpoint> destinations = this->ListFollowers();
  if (!destinations.empty()) {
    this->Counters.UpdatesSent += destinations.size();
    this->Outgoing.push_back(
      { std::move(destinations), this->Describe(this->LastPushed, now) });
  }
  this->LastPushed = this->Log.GetComplete();
  this->LastPushConfirmed = this->Reader.confirmedAt();
}

std::vector<Endpoint> ViewRelay::ListFollowers() const
{
  std::vector<Endpoint> list;
  for (const auto& [follower, expires] : this->Followers) {
    list.push_back(follower);
  }
  return list;
}

void ViewRelay::ReportOutliers(Time now)
{
  this->Outliers.Expire(now);
  const OutlierReport report = this->Outliers.TakeReport();
  if (report.observations.empty()) {
    return;
  }
  if (!this->Seeds.empty()) {
    this->Outgoing.push_back({ this->Seeds, report });
  }
  this->OnReport(report, now);
}

void ViewRelay::OnReport(const OutlierReport& report, Time now)
{
  if (!this->IsSeed) {
    return;
  }
  const std::vector<BackendId> found = this->Outliers.Decide(report, now);
  this->FoundOutliers.insert(
    this->FoundOutliers.end(), found.begin(), found.end());
  if (!found.empty()) {
    this->Push(now);
  }
}

std::vector<BackendId> ViewRelay::TakeFoundOutliers()
{
  return std::exchange(this->FoundOutliers, {});
}

bool ViewRelay::IsOtherSeed(const Endpoint& daemon) const
{
  return std::find(this->Seeds.begin(), this->Seeds.end(), daemon) !=
    this->Seeds.end();
}

bool ViewRelay::IsDecider(const Endpoint& sender) const
{
  return !this->IsSeed &&
    (this->IsOtherSeed(sender) || this->Upstream == sender);
}

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
  if (this->IsOtherSeed(update.sender)) {
    this->NoteSeed(update, now);
  }
  if (this->IsDecider(update.sender)) {
    this->Outliers.Adopt(update.outliers, now);
  }
  this->Clocks.Note(update, now);
  const std::optional<Time> confirmed =
    this->Clocks.GetConfirmation(update, now);
  if (!confirmed || update.revision == 0) {
    return UpdateOutcome::kUnusable;
  }
  const Revision before = this->Reader.revision();
  if (before == 0) {
    return UpdateOutcome::kUnusable;
  }
  if (!this->Apply(update, now)) {
    ++this->Counters.Gaps;
    // A lost update is asked for; what the peer lacks too, the store has.
    if (update.echoUs == 0) {
      this->Subscribe(update.sender, now);
    } else {
      this->CatchingUp = true;
      this->ActivateReader();
    }
    return UpdateOutcome::kGap;
  }
  this->Reader.confirm(*confirmed);
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
  if (update.confirmedUs == 0) {
    this->Subscribe(update.sender, now);
  }
  return UpdateOutcome::kTaken;
}

bool ViewRelay::Apply(const ViewUpdate& update, Time now)
{
  const Revision have = this->Reader.revision();
  if (this->Reader.isListing() || have < update.from) {
    return false;
  }
  if (update.revision <= have) {
    return true;
  }
  for (const StoreChange& change : changesOf(update)) {
    if (!this->Sink.onChange(change, now)) {
      return false;
    }
  }
  this->Reader.adopt(update.revision);
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

void ViewRelay::StopFollowing()
{
  this->Upstream.reset();
  this->NextAskAt = Time{};
}

void ViewRelay::OnResume()
{
  this->CatchingUp = true;
  this->StopFollowing();
  this->ActivateReader();
}

void ViewRelay::Leave()
{
  this->Leaving = true;
  ViewUpdate farewell;
  farewell.sender = this->Self;
  farewell.leaving = true;
  std::vector<Endpoint> destinations = this->ListFollowers();
  this->Followers.clear();
  if (!destinations.empty()) {
    this->Outgoing.push_back({ std::move(destinations), farewell });
  }
}

void ViewRelay::ForgetOld(Time now)
{
  std::erase_if(this->Followers,
                [now](const auto& item) { return item.second <= now; });
  this->Clocks.Expire(now);
}

std::vector<OutgoingRelay> ViewRelay::TakeMessages()
{
  return std::exchange(this->Outgoing, {});
}

} // namespace cobaltgauge::core
