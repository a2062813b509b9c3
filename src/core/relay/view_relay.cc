#include "core/relay/view_relay.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/load/fleet_load.h"
#include "core/relay/address_proximity.h"
#include "core/route_table.h"

namespace cobaltgauge::core {
namespace {

/// Daemons that are not seeds rank after all seeds.
constexpr std::uint64_t kNonSeedRankBase = std::uint64_t{ 1 } << 32U;

std::uint64_t ComputeRank(const Endpoint& endpoint, bool isSeed)
{
  const std::uint64_t rank = EndpointHash{}(endpoint) & (kNonSeedRankBase - 1);
  return isSeed ? rank : kNonSeedRankBase + rank;
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
  , OwnRank(ComputeRank(self, false))
  , Followers(self)
{
}

void ViewRelay::SetTiming(const RelayTiming& timing)
{
  this->Timing = timing;
  this->Reader.setReadTimings(
    std::chrono::duration_cast<std::chrono::milliseconds>(timing.WatchWait),
    timing.CurrentFor,
    timing.RetryIntervalWithSeed);
}

void ViewRelay::SetSeeds(const std::vector<Endpoint>& seeds)
{
  this->Seeds.SetSeeds(seeds);
  this->OwnRank = ComputeRank(this->Self, this->Seeds.IsSelfSeed());
  this->Reader.setHasOtherReaders(!this->Seeds.IsSelfSeed() &&
                                  this->Seeds.HasOthers());
}

Duration ViewRelay::GetReadThreshold() const
{
  return this->Seeds.IsSelfSeed() ? this->Timing.SeedReadViewAge
                                  : this->Timing.FollowerReadViewAge;
}

void ViewRelay::UpdateReaderActivity()
{
  const bool active =
    this->Reading || this->ReadRequested || this->Reader.isListing();
  this->Reader.setActive(active);
  this->Reader.setUrgent(this->ReadRequested);
}

void ViewRelay::UpdateReaderBackoff(std::size_t peers, Time now)
{
  this->Seeds.OnTick(now);
  const bool hasReachableSeed = this->Seeds.HasReachableSeed(now);
  this->Reader.setHasOtherReaders(hasReachableSeed);
  this->Reader.setOtherReadersFailing(
    hasReachableSeed && this->Seeds.IsStoreFailing(now)
      ? std::optional(this->GetRetryInterval(peers))
      : std::nullopt);
  this->Reader.setMaxRelistDelay(this->GetRelistDelay(now));
  const std::size_t excessPeers = hasReachableSeed && peers > kSmallFleetPeers
    ? peers - kSmallFleetPeers
    : 0;
  const Duration startupBackoff = std::min<Duration>(
    kStartupReadBackoff + kStartupReadBackoffPerPeer * excessPeers,
    kMaxReadBackoff);
  this->Reader.setStartupBackoff(startupBackoff);
}

Duration ViewRelay::GetRelistDelay(Time now) const
{
  // SeedGroup::HasReachableSeed() is not used here, as indirect followers do
  // not hear from seeds.
  const bool hasOtherReaders = this->Difference != nullptr &&
    !this->Seeds.IsSelfSeed() && this->Seeds.HasOthers();
  if (!hasOtherReaders) {
    return Duration{ 0 };
  }
  const std::size_t pages = this->Difference->CountStorePages();
  return std::min<Duration>(kListJitterPerPage * pages *
                              this->Fleet.GetEstimate(now),
                            this->Timing.MaxRelistDelay);
}

Duration ViewRelay::GetRetryInterval(std::size_t peers) const
{
  return std::clamp<Duration>(kReadJitterPerPeer * peers,
                              this->Timing.RetryIntervalWithSeed,
                              kMaxReadJitter);
}

void ViewRelay::StartReading(std::size_t peers, Time now)
{
  this->Reading = true;
  ++this->Counters.ReadsStarted;
  if (!this->Reader.areOtherReadersFailing()) {
    return;
  }
  const Duration span = std::min<Duration>(kFirstReadJitterPerPeer * peers,
                                           this->Timing.RetryIntervalWithSeed);
  const auto wait =
    this->RandomSource.below(static_cast<std::uint64_t>(span.count()) + 1);
  this->Reader.deferRead(now + Duration(static_cast<Duration::rep>(wait)));
}

void ViewRelay::OnTick(const std::vector<Endpoint>& peers, Time now)
{
  this->Followers.Expire(now);
  this->Clocks.Expire(now);
  if (this->Reading && this->Seeds.IsSelfSeed()) {
    this->Fleet.OnCount(this->Followers.CountSubtree(), now);
  }
  const Duration age = now - this->Reader.confirmedAt();
  if (this->Upstream && age >= this->Timing.PeerQueryViewAge) {
    this->StopFollowing();
  }
  this->UpdateReaderBackoff(peers.size(), now);
  if (!this->Reading && age >= this->GetReadThreshold()) {
    this->StartReading(peers.size(), now);
  }
  this->UpdateReaderActivity();
  this->ReportOutliers(now);
  this->ShareLoad(peers, now);
  if (now < this->NextQueryAt || this->Leaving) {
    return;
  }
  if (this->Upstream) {
    this->NextQueryAt = now + kSubscriptionRenewInterval;
    this->SendSubscription(*this->Upstream, now);
    return;
  }
  const bool isCurrentSeed =
    this->Seeds.IsSelfSeed() && this->Reader.isCurrent(now);
  if (!this->CanCatchUpFromPeers()) {
    this->NextQueryAt =
      now + (isCurrentSeed ? kSeedQueryInterval : kPeerQueryInterval);
  }
  this->QueryPeers(peers, now);
}

void ViewRelay::QueryPeers(const std::vector<Endpoint>& peers, Time now)
{
  this->QuerySeed(now);
  const std::vector<Endpoint>& others =
    this->Referrals.empty() ? peers : this->Referrals;
  if (!others.empty()) {
    const Endpoint& other = this->SelectNearbyPeer(others);
    if (other != this->Self) {
      this->SendSubscription(other, now);
    }
  }
}

const Endpoint& ViewRelay::SelectNearbyPeer(
  const std::vector<Endpoint>& daemons)
{
  const auto selectRandom = [this, &daemons]() -> const Endpoint& {
    return daemons[this->RandomSource.below(daemons.size())];
  };
  const Endpoint* nearest = &selectRandom();
  for (std::size_t i = 1; i < kPeerSampleSize; ++i) {
    const Endpoint& other = selectRandom();
    const bool isCloser = CountCommonPrefixBytes(other, this->Self) >
      CountCommonPrefixBytes(*nearest, this->Self);
    nearest = isCloser && other != this->Self ? &other : nearest;
  }
  return *nearest;
}

void ViewRelay::QuerySeed(Time now)
{
  if (this->Seeds.HasOthers()) {
    this->SendSubscription(this->Seeds.GetNext(), now);
  }
}

void ViewRelay::SendSubscription(const Endpoint& destination, Time now)
{
  ++this->Counters.SubscriptionsSent;
  const auto sentAt = static_cast<std::uint64_t>(now.count());
  const std::uint32_t daemons =
    this->Upstream == destination ? this->Followers.CountSubtree() : 0;
  this->Outgoing.push_back(
    { { destination },
      ViewSubscription{
        this->Self, this->Reader.revision(), sentAt, daemons } });
}

void ViewRelay::OnStoreReply(Time now)
{
  if (this->Reader.isSynchronized()) {
    this->Log.Close(this->Reader.revision());
  } else if (this->Reader.isCatchingUp()) {
    this->Log.Begin(this->Reader.revision());
  }
  if (this->CanCatchUpFromPeers()) {
    this->Reader.deferRead(now + kPeerCatchUpTimeout);
    this->QuerySeed(now);
  }
  if (this->Reader.confirmedAt() > this->LastConfirmedAt) {
    const bool isFirst = this->LastConfirmedAt == Time{};
    this->LastConfirmedAt = this->Reader.confirmedAt();
    this->ViewRank = this->OwnRank;
    this->ReadRequested = false;
    if (isFirst) {
      this->QuerySeed(now);
    }
  }
  this->UpdateReaderActivity();
  this->PushIfChanged(now);
}

bool ViewRelay::CanCatchUpFromPeers() const
{
  return this->Reader.isCatchingUp() && !this->Reader.isFailing() &&
    !this->Reader.isViewNeeded();
}

void ViewRelay::StopFollowing()
{
  this->Upstream.reset();
  this->NextQueryAt = Time{};
}

void ViewRelay::OnResume()
{
  this->ReadRequested = true;
  if (this->Load != nullptr) {
    this->Load->OnResume();
  }
  this->StopFollowing();
  this->UpdateReaderActivity();
}

void ViewRelay::Leave()
{
  this->Leaving = true;
  ViewUpdate leaveNotice;
  leaveNotice.sender = this->Self;
  leaveNotice.leaving = true;
  std::vector<Endpoint> destinations = this->Followers.List();
  this->Followers.Clear();
  if (!destinations.empty()) {
    this->Outgoing.push_back({ std::move(destinations), leaveNotice });
  }
}

std::vector<OutgoingRelayMessage> ViewRelay::TakeMessages()
{
  return std::exchange(this->Outgoing, {});
}

} // namespace cobaltgauge::core
