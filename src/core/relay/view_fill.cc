#include "core/relay/view_fill.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/constants.h"
#include "core/relay/nearness.h"
#include "core/view_conversion.h"

namespace cobaltgauge::core {
namespace {

/// Back ends of one page, about 20 KB.  Taking one keeps a small machine of
/// 0.12 cores busy for some 10 ms, in which packets wait.
constexpr std::size_t kBackendsOfPage = 500;
/// Pages that a daemon gives in a second: 1 MB, as of other whole views.
constexpr std::uint32_t kPagesPerSecond = 50;
/// Daemons that are given pages at once.  Each gets its last page within two
/// seconds then and goes on giving; 900 that were served in turn all waited
/// for ten.
constexpr std::size_t kServedAtOnce = 4;
/// Who has not asked for its next page for so long is not served any more.
constexpr Duration kServedWithin = 500ms;
/// A page that has not come after this long is asked for elsewhere.
constexpr Duration kPagePatience = 400ms;
/// A seed without a page for so long reads the store, so that others need not.
constexpr Duration kSeedFillsAfter = 400ms;
/// Everyone else does after this long, and a random time for each daemon that
/// there is: ten listings begun a second, of 2 MB each where there are 10,000
/// back ends, are a fifth of a link of 1,000 Mbit/s, and the first that is
/// done gives pages to the others.
constexpr Duration kFillByPeers = 3s;
constexpr Duration kFillSpread = 100ms;
/// One in so many times a daemon that is said to have a whole view is passed
/// over: it may be gone.
constexpr std::uint64_t kRumourIsWrong = 4;
/// Daemons with whole views that are remembered and named.
constexpr std::size_t kMostWhole = 8;

} // namespace

ViewFill::ViewFill(const Endpoint& self,
                   StoreReader& reader,
                   StoreSink& sink,
                   const BackendRegistry& backends,
                   Random& random)
  : Self(self)
  , Reader(reader)
  , Sink(sink)
  , Backends(backends)
  , RandomSource(random)
  , Allowance(kPagesPerSecond)
{
}

void ViewFill::OnTick(const FillPeers& peers, Time now)
{
  if (!this->IsNeeded()) {
    return;
  }
  if (this->StoreAt == Time{}) {
    this->Begin(peers, now);
  }
  this->Reader.setFilling(now >= this->StoreAt);
  if (now - this->AskedAt < kPagePatience) {
    return;
  }
  const Endpoint peer = this->Draw(peers);
  if (peer != this->Self) {
    this->MayAskAgain = true;
    this->Ask(peer, now);
  }
}

void ViewFill::Begin(const FillPeers& peers, Time now)
{
  if (peers.IsSeed) {
    this->StoreAt = now + kSeedFillsAfter;
    return;
  }
  const auto span =
    static_cast<std::uint64_t>((kFillSpread * peers.Fleet).count());
  const auto wait = this->RandomSource.below(span + 1);
  this->StoreAt =
    now + kFillByPeers + Duration(static_cast<Duration::rep>(wait));
}

Endpoint ViewFill::Draw(const FillPeers& peers)
{
  // Who is known to have a whole view may be gone, so others are asked too.
  if (!this->Whole.empty() && this->RandomSource.below(kRumourIsWrong) != 0) {
    return this->DrawNear();
  }
  const std::vector<Endpoint>* const sources[] = { &peers.Near,
                                                   &peers.Seeds,
                                                   &peers.Known };
  const std::vector<Endpoint>& drawn =
    *sources[this->RandomSource.below(std::size(sources))];
  const std::vector<Endpoint>& from = drawn.empty() ? peers.Known : drawn;
  return from.empty() ? this->Self
                      : from[this->RandomSource.below(from.size())];
}

const Endpoint& ViewFill::DrawNear()
{
  const Endpoint& first =
    this->Whole[this->RandomSource.below(this->Whole.size())];
  const Endpoint& second =
    this->Whole[this->RandomSource.below(this->Whole.size())];
  return CountSharedBytes(second, this->Self) >
      CountSharedBytes(first, this->Self)
    ? second
    : first;
}

bool ViewFill::KnowsNearer(const Endpoint& peer) const
{
  const std::size_t own = CountSharedBytes(this->Self, peer);
  return std::any_of(this->Whole.begin(),
                     this->Whole.end(),
                     [&peer, own](const Endpoint& whole) {
                       return whole != peer &&
                         CountSharedBytes(whole, peer) > own;
                     });
}

void ViewFill::Ask(const Endpoint& peer, Time now)
{
  ++this->Counters.RequestsSent;
  this->AskedAt = now;
  this->Outgoing.push_back({ peer,
                             ViewPageRequest{ this->Self,
                                              this->NextAfter,
                                              this->Reader.baseRevision() } });
}

void ViewFill::OnRequest(const ViewPageRequest& request, Time now)
{
  ViewPage page;
  page.sender = this->Self;
  page.afterKey = request.afterKey;
  const bool hasPage = this->Reader.isWhole() &&
    this->Reader.revision() >= request.atLeast && this->MayGive(request, now);
  if (hasPage) {
    this->Give(request, page, now);
  } else {
    page.whole.assign(this->Whole.begin(), this->Whole.end());
    ++this->Counters.Refused;
  }
  this->Outgoing.push_back({ request.replyTo, std::move(page) });
}

bool ViewFill::MayGive(const ViewPageRequest& request, Time now)
{
  const Endpoint& peer = request.replyTo;
  std::erase_if(this->Served, [now](const auto& item) {
    return now - item.second >= kServedWithin;
  });
  const bool isServed = this->Served.contains(peer);
  // Bytes between zones cost; the nearer one may be gone, though.
  const bool isForNearer = !isServed && this->KnowsNearer(peer) &&
    this->RandomSource.below(kRumourIsWrong) != 0;
  const bool hasPlace =
    isServed || (this->Served.size() < kServedAtOnce && !isForNearer);
  return hasPlace &&
    this->Allowance.admit(AdmissionTokenBucket::kMaxPriority, now);
}

void ViewFill::Give(const ViewPageRequest& request, ViewPage& page, Time now)
{
  for (const StoreChange& change :
       this->Backends.contentsAfter(request.afterKey, kBackendsOfPage)) {
    page.backends.push_back(
      toMessage(change, std::get<Registration>(change.item)));
  }
  page.revision = this->Reader.revision();
  page.isLast = page.backends.size() < kBackendsOfPage;
  ++this->Counters.PagesGiven;
  this->Served[request.replyTo] = now;
  if (page.isLast) {
    this->Served.erase(request.replyTo);
    this->NoteWhole(request.replyTo);
  }
}

void ViewFill::NoteWhole(const Endpoint& peer)
{
  if (peer == this->Self) {
    return;
  }
  std::erase(this->Whole, peer);
  this->Whole.push_back(peer);
  if (this->Whole.size() > kMostWhole) {
    this->Whole.pop_front();
  }
}

bool ViewFill::OnPage(const ViewPage& page, Time now)
{
  for (const Endpoint& peer : page.whole) {
    this->NoteWhole(peer);
  }
  if (page.revision == 0) {
    std::erase(this->Whole, page.sender);
    if (this->IsNeeded() && !this->Whole.empty() &&
        std::exchange(this->MayAskAgain, false)) {
      this->Ask(this->DrawNear(), now);
    }
    return false;
  }
  this->NoteWhole(page.sender);
  if (!this->IsNeeded() || page.afterKey != this->NextAfter) {
    return false;
  }
  if (page.revision < this->Reader.baseRevision()) {
    ++this->Counters.TooOld;
    return false;
  }
  this->Take(page, now);
  return true;
}

void ViewFill::Take(const ViewPage& page, Time now)
{
  ++this->Counters.PagesTaken;
  for (const ViewBackend& backend : page.backends) {
    this->Sink.onMissing(toChange(backend), now);
  }
  if (!page.backends.empty()) {
    this->NextAfter = page.backends.back().key;
  }
  if (page.isLast) {
    this->Reader.onFilled();
    return;
  }
  // Peers do well: the store is left alone.
  this->StoreAt = std::max(this->StoreAt, now + kFillByPeers);
  this->Ask(page.sender, now);
}

std::vector<OutgoingFill> ViewFill::TakeMessages()
{
  return std::exchange(this->Outgoing, {});
}

} // namespace cobaltgauge::core
