#include "core/relay/view_relay.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/load/fleet_load.h"
#include "core/relay/nearness.h"
#include "core/route_table.h"

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
  , Seeds(self)
  , OwnRank(RankOf(self, false))
  , Followers(self)
{
}

void ViewRelay::SetTiming(const RelayTiming& timing)
{
  this->Timing = timing;
  this->Reader.setReadTimings(
    std::chrono::duration_cast<std::chrono::milliseconds>(timing.WatchWait),
    timing.CurrentFor,
    timing.RareTryAfter);
}

void ViewRelay::SetSeeds(const std::vector<Endpoint>& seeds)
{
  this->Seeds.Set(seeds);
  this->OwnRank = RankOf(this->Self, this->Seeds.IsSelfSeed());
  this->Reader.setHasOtherReaders(!this->Seeds.IsSelfSeed() &&
                                  this->Seeds.HasOthers());
}

Duration ViewRelay::GetReadLimit() const
{
  return this->Seeds.IsSelfSeed() ? this->Timing.SeedReadsAfter
                                  : this->Timing.FollowerReadsAfter;
}

void ViewRelay::ActivateReader()
{
  const bool active =
    this->Reading || this->ReadWanted || this->Reader.isListing();
  this->Reader.setActive(active);
  this->Reader.setUrgent(this->ReadWanted);
}

void ViewRelay::CoverReader(std::size_t peers, Time now)
{
  this->Seeds.OnTick(now);
  const bool isCovered = this->Seeds.IsCovered(now);
  this->Reader.setHasOtherReaders(isCovered);
  this->Reader.setOtherReadersFailing(
    isCovered && this->Seeds.HasFailed(now)
      ? std::optional(this->GetTrySpan(peers))
      : std::nullopt);
  this->Reader.setMaxRelistDelay(this->GetListPause(now));
  const std::size_t beyondSmall =
    isCovered && peers > kSmallFleetPeers ? peers - kSmallFleetPeers : 0;
  const Duration startBackOff = std::min<Duration>(
    kReadBackOffAtStart + kStartTryForEachPeer * beyondSmall,
    kReadBackOffLongest);
  this->Reader.setStartupBackOff(startBackOff);
}

Duration ViewRelay::GetListPause(Time now) const
{
  // Who follows a follower has not heard a seed of late, and can all the same.
  const bool othersList = this->Difference != nullptr &&
    !this->Seeds.IsSelfSeed() && this->Seeds.HasOthers();
  if (!othersList) {
    return Duration{ 0 };
  }
  const std::size_t pages = this->Difference->CountPages();
  return std::min<Duration>(kListSpread * pages * this->Fleet.Get(now),
                            this->Timing.ListAgainWithin);
}

Duration ViewRelay::GetTrySpan(std::size_t peers) const
{
  return std::clamp<Duration>(
    kTryForEachPeer * peers, this->Timing.RareTryAfter, kLongestTrySpan);
}

void ViewRelay::BeginReading(std::size_t peers, Time now)
{
  this->Reading = true;
  ++this->Counters.ReadingBegan;
  if (!this->Reader.areOtherReadersFailing()) {
    return;
  }
  const Duration span = std::min<Duration>(kFirstTryForEachPeer * peers,
                                           this->Timing.RareTryAfter);
  const auto wait =
    this->RandomSource.below(static_cast<std::uint64_t>(span.count()) + 1);
  this->Reader.deferRead(now + Duration(static_cast<Duration::rep>(wait)));
}

void ViewRelay::OnTick(const std::vector<Endpoint>& peers, Time now)
{
  this->Followers.Expire(now);
  this->Clocks.Expire(now);
  if (this->Reading && this->Seeds.IsSelfSeed()) {
    this->Fleet.OnHeard(this->Followers.CountTree(), now);
  }
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
  this->ShareLoad(peers, now);
  if (now < this->NextAskAt || this->Leaving) {
    return;
  }
  if (this->Upstream) {
    this->NextAskAt = now + kRenewEvery;
    this->Subscribe(*this->Upstream, now);
    return;
  }
  const bool isContent =
    this->Seeds.IsSelfSeed() && this->Reader.isCurrent(now);
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
    const Endpoint& other = this->DrawNear(others);
    if (other != this->Self) {
      this->Subscribe(other, now);
    }
  }
}

const Endpoint& ViewRelay::DrawNear(const std::vector<Endpoint>& daemons)
{
  const auto draw = [this, &daemons]() -> const Endpoint& {
    return daemons[this->RandomSource.below(daemons.size())];
  };
  const Endpoint* nearest = &draw();
  for (std::size_t i = 1; i < kPeersCompared; ++i) {
    const Endpoint& other = draw();
    const bool isNearer = CountSharedBytes(other, this->Self) >
      CountSharedBytes(*nearest, this->Self);
    nearest = isNearer && other != this->Self ? &other : nearest;
  }
  return *nearest;
}

void ViewRelay::AskSeed(Time now)
{
  if (this->Seeds.HasOthers()) {
    this->Subscribe(this->Seeds.GetNext(), now);
  }
}

void ViewRelay::Subscribe(const Endpoint& destination, Time now)
{
  ++this->Counters.SubscriptionsSent;
  const auto sentAt = static_cast<std::uint64_t>(now.count());
  const std::uint32_t daemons =
    this->Upstream == destination ? this->Followers.CountTree() : 0;
  this->Outgoing.push_back(
    { { destination },
      ViewSubscription{
        this->Self, this->Reader.revision(), sentAt, daemons } });
}

void ViewRelay::OnStoreAnswer(Time now)
{
  if (this->Reader.isSynchronized()) {
    this->Log.Close(this->Reader.revision());
  } else if (this->Reader.isCatchingUp()) {
    this->Log.Begin(this->Reader.revision());
  }
  if (this->MayCatchUpByPeers()) {
    this->Reader.deferRead(now + kCatchUpFromPeers);
    this->AskSeed(now);
  }
  if (this->Reader.confirmedAt() > this->LastConfirmed) {
    const bool isFirst = this->LastConfirmed == Time{};
    this->LastConfirmed = this->Reader.confirmedAt();
    this->ViewRank = this->OwnRank;
    this->ReadWanted = false;
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
    !this->Reader.isViewNeeded();
}

void ViewRelay::StopFollowing()
{
  this->Upstream.reset();
  this->NextAskAt = Time{};
}

void ViewRelay::OnResume()
{
  this->ReadWanted = true;
  if (this->Load != nullptr) {
    this->Load->OnResume();
  }
  this->StopFollowing();
  this->ActivateReader();
}

void ViewRelay::Leave()
{
  this->Leaving = true;
  ViewUpdate farewell;
  farewell.sender = this->Self;
  farewell.leaving = true;
  std::vector<Endpoint> destinations = this->Followers.List();
  this->Followers.Clear();
  if (!destinations.empty()) {
    this->Outgoing.push_back({ std::move(destinations), farewell });
  }
}

std::vector<OutgoingRelay> ViewRelay::TakeMessages()
{
  return std::exchange(this->Outgoing, {});
}

} // namespace cobaltgauge::core
