#include "core/relay/view_backfill.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/constants.h"
#include "core/relay/address_proximity.h"
#include "core/view_conversion.h"

namespace cobaltgauge::core {
namespace {

/// Maximum number of backends in one page, about 20 KB.  Larger pages would
/// block packet processing for too long on a small machine.  Applying one
/// takes a machine of 0.12 cores some 10 ms.
constexpr std::size_t kBackendsPerPage = 500;
/// Rate limit for sent pages, about 1 MB/s.
constexpr std::uint32_t kPagesPerSecond = 50;
/// Peers that are sent pages at the same time.  A low limit lets each of them
/// finish early and serve others.  Four have their last page within two
/// seconds; 900 served in turn all waited for ten.
constexpr std::size_t kMaxConcurrentRecipients = 4;
/// A recipient that sends no request for this long loses its slot.
constexpr Duration kRecipientTimeout = 500ms;
/// A page that has not arrived after this long is requested from another peer.
constexpr Duration kPageTimeout = 400ms;
/// A seed that receives no page for this long reads the store, so that other
/// daemons need not.
constexpr Duration kSeedStoreDelay = 400ms;
/// Other daemons read the store after this delay plus a random delay that
/// grows with the fleet, which spreads the load on the store.  Ten listings
/// begun per second, of 2 MB each with 10,000 backends, use a fifth of a link
/// of 1,000 Mbit/s.
constexpr Duration kStoreDelay = 3s;
constexpr Duration kStoreDelayPerDaemon = 100ms;
/// One in this many selections ignores the peers known to have full views,
/// which may be gone.
constexpr std::uint64_t kSelectionsPerExploration = 4;
/// Maximum number of stored peers that are known to have full views.
constexpr std::size_t kMaxFullViewPeers = 8;

} // namespace

ViewBackfill::ViewBackfill(const Endpoint& self,
                           StoreReader& reader,
                           StoreSink& sink,
                           const BackendRegistry& backends,
                           Random& random)
  : Self(self)
  , Reader(reader)
  , Sink(sink)
  , Backends(backends)
  , RandomSource(random)
  , PageRateLimiter(kPagesPerSecond)
{
}

void ViewBackfill::OnTick(const BackfillPeers& peers, Time now)
{
  if (!this->IsNeeded()) {
    return;
  }
  if (this->StoreReadAt == Time{}) {
    this->ScheduleStoreRead(peers, now);
  }
  this->Reader.setBackfilling(now >= this->StoreReadAt);
  if (now - this->RequestedAt < kPageTimeout) {
    return;
  }
  const Endpoint peer = this->SelectPeer(peers);
  if (peer != this->Self) {
    this->MayRetry = true;
    this->SendRequest(peer, now);
  }
}

void ViewBackfill::ScheduleStoreRead(const BackfillPeers& peers, Time now)
{
  if (peers.IsSeed) {
    this->StoreReadAt = now + kSeedStoreDelay;
    return;
  }
  const auto span = static_cast<std::uint64_t>(
    (kStoreDelayPerDaemon * peers.FleetSize).count());
  const auto wait = this->RandomSource.below(span + 1);
  this->StoreReadAt =
    now + kStoreDelay + Duration(static_cast<Duration::rep>(wait));
}

Endpoint ViewBackfill::SelectPeer(const BackfillPeers& peers)
{
  // Peers known to have full views may be gone, so others are queried too.
  if (!this->FullViewPeers.empty() &&
      this->RandomSource.below(kSelectionsPerExploration) != 0) {
    return this->SelectFullViewPeer();
  }
  const std::vector<Endpoint>* const sources[] = { &peers.Near,
                                                   &peers.Seeds,
                                                   &peers.Known };
  const std::vector<Endpoint>& selected =
    *sources[this->RandomSource.below(std::size(sources))];
  const std::vector<Endpoint>& from =
    selected.empty() ? peers.Known : selected;
  return from.empty() ? this->Self
                      : from[this->RandomSource.below(from.size())];
}

const Endpoint& ViewBackfill::SelectFullViewPeer()
{
  const Endpoint& first =
    this->FullViewPeers[this->RandomSource.below(this->FullViewPeers.size())];
  const Endpoint& second =
    this->FullViewPeers[this->RandomSource.below(this->FullViewPeers.size())];
  return CountCommonPrefixBytes(second, this->Self) >
      CountCommonPrefixBytes(first, this->Self)
    ? second
    : first;
}

bool ViewBackfill::KnowsCloserPeer(const Endpoint& peer) const
{
  const std::size_t own = CountCommonPrefixBytes(this->Self, peer);
  return std::any_of(this->FullViewPeers.begin(),
                     this->FullViewPeers.end(),
                     [&peer, own](const Endpoint& candidate) {
                       return candidate != peer &&
                         CountCommonPrefixBytes(candidate, peer) > own;
                     });
}

void ViewBackfill::SendRequest(const Endpoint& peer, Time now)
{
  ++this->Counters.RequestsSent;
  this->RequestedAt = now;
  this->Outgoing.push_back({ peer,
                             ViewPageRequest{ this->Self,
                                              this->LastKey,
                                              this->Reader.baseRevision() } });
}

void ViewBackfill::OnRequest(const ViewPageRequest& request, Time now)
{
  ViewPage page;
  page.sender = this->Self;
  page.afterKey = request.afterKey;
  const bool hasPage = this->Reader.hasAllBackends() &&
    this->Reader.revision() >= request.atLeast && this->CanServe(request, now);
  if (hasPage) {
    this->ServePage(request, page, now);
  } else {
    page.fullViewPeers.assign(this->FullViewPeers.begin(),
                              this->FullViewPeers.end());
    ++this->Counters.RequestsRefused;
  }
  this->Outgoing.push_back({ request.replyTo, std::move(page) });
}

bool ViewBackfill::CanServe(const ViewPageRequest& request, Time now)
{
  const Endpoint& peer = request.replyTo;
  std::erase_if(this->Recipients, [now](const auto& item) {
    return now - item.second >= kRecipientTimeout;
  });
  const bool isRecipient = this->Recipients.contains(peer);
  // Avoids traffic between zones; occasionally serves anyway, as the closer
  // peer may be gone.
  const bool isLeftToCloserPeer = !isRecipient &&
    this->KnowsCloserPeer(peer) &&
    this->RandomSource.below(kSelectionsPerExploration) != 0;
  const bool hasSlot = isRecipient ||
    (this->Recipients.size() < kMaxConcurrentRecipients &&
     !isLeftToCloserPeer);
  return hasSlot &&
    this->PageRateLimiter.admit(AdmissionTokenBucket::kMaxPriority, now);
}

void ViewBackfill::ServePage(const ViewPageRequest& request,
                             ViewPage& page,
                             Time now)
{
  for (const StoreChange& change :
       this->Backends.contentsAfter(request.afterKey, kBackendsPerPage)) {
    page.backends.push_back(
      toMessage(change, std::get<Registration>(change.item)));
  }
  page.revision = this->Reader.revision();
  page.isLast = page.backends.size() < kBackendsPerPage;
  ++this->Counters.PagesSent;
  this->Recipients[request.replyTo] = now;
  if (page.isLast) {
    this->Recipients.erase(request.replyTo);
    this->AddFullViewPeer(request.replyTo);
  }
}

void ViewBackfill::AddFullViewPeer(const Endpoint& peer)
{
  if (peer == this->Self) {
    return;
  }
  std::erase(this->FullViewPeers, peer);
  this->FullViewPeers.push_back(peer);
  if (this->FullViewPeers.size() > kMaxFullViewPeers) {
    this->FullViewPeers.pop_front();
  }
}

bool ViewBackfill::OnPage(const ViewPage& page, Time now)
{
  for (const Endpoint& peer : page.fullViewPeers) {
    this->AddFullViewPeer(peer);
  }
  if (page.revision == 0) {
    std::erase(this->FullViewPeers, page.sender);
    if (this->IsNeeded() && !this->FullViewPeers.empty() &&
        std::exchange(this->MayRetry, false)) {
      this->SendRequest(this->SelectFullViewPeer(), now);
    }
    return false;
  }
  this->AddFullViewPeer(page.sender);
  if (!this->IsNeeded() || page.afterKey != this->LastKey) {
    return false;
  }
  if (page.revision < this->Reader.baseRevision()) {
    ++this->Counters.StalePages;
    return false;
  }
  this->ApplyPage(page, now);
  return true;
}

void ViewBackfill::ApplyPage(const ViewPage& page, Time now)
{
  ++this->Counters.PagesApplied;
  for (const ViewBackend& backend : page.backends) {
    this->Sink.onMissingItem(toChange(backend), now);
  }
  if (!page.backends.empty()) {
    this->LastKey = page.backends.back().key;
  }
  if (page.isLast) {
    this->Reader.markAllBackendsKnown();
    return;
  }
  // Peers make progress, so the store read is postponed.
  this->StoreReadAt = std::max(this->StoreReadAt, now + kStoreDelay);
  this->SendRequest(page.sender, now);
}

std::vector<OutgoingBackfillMessage> ViewBackfill::TakeMessages()
{
  return std::exchange(this->Outgoing, {});
}

} // namespace cobaltgauge::core
