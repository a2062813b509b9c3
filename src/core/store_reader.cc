#include "core/store_reader.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

std::optional<StoreRead> StoreReader::nextRead(Time now) {
  if (isReading() || !isActive() || now < nextReadAt()) {
    return std::nullopt;
  }
  // Who watches for others goes on doing so, since their views age meanwhile.
  const bool pageIsDue = isFilling() && (!active_ || watchedSincePage_);
  underWay_ = listing_ ? UnderWay::kListing : pageIsDue ? UnderWay::kMissingPage : UnderWay::kWatch;
  watchedSincePage_ = underWay_ != UnderWay::kMissingPage;
  switch (underWay_) {
    case UnderWay::kListing:
      return listingRead();
    case UnderWay::kMissingPage:
      return missingPageRead();
    default:
      return watchRead();
  }
}

StoreRead StoreReader::listRead(StoreRead::Cause cause, const ListingRange& range,
                                const std::string& afterKey) {
  ++counters_.lists;
  StoreRead read;
  read.kind = StoreRead::Kind::kList;
  read.cause = cause;
  read.range = range;
  read.afterKey = afterKey;
  read.timeout = timeoutNow();
  return read;
}

StoreRead StoreReader::listingRead() {
  StoreRead read = listRead(cause(), plan_.range(), plan_.afterKey());
  read.stale = staleWillDo_;
  return read;
}

StoreRead StoreReader::missingPageRead() {
  return listRead(StoreRead::Cause::kMissingPage, {ListingRange::Kind::kBackends}, missingAfter_);
}

StoreRead StoreReader::watchRead() {
  ++counters_.watches;
  StoreRead read;
  read.cause = cause();
  read.kind = StoreRead::Kind::kWatch;
  read.afterRevision = revision_;
  watchedFrom_ = revision_;
  read.wait = isFilling() ? kCatchUpWatchMaxWait : watchWait();
  read.timeout = read.wait + std::max(kWatchTimeoutMargin, timeoutNow());
  return read;
}

StoreRead::Cause StoreReader::cause() const {
  if (failuresInRow_ > 0) {
    return StoreRead::Cause::kRetry;
  }
  if (listing_) {
    return plan_.hasBegun() ? StoreRead::Cause::kNextPage
           : staleWillDo_   ? StoreRead::Cause::kFirstListing
                            : StoreRead::Cause::kListAgain;
  }
  if (!complete_) {
    return StoreRead::Cause::kCatchUp;
  }
  if (urgent_) {
    return StoreRead::Cause::kGap;
  }
  return confirming_ ? StoreRead::Cause::kConfirm : StoreRead::Cause::kFollowStore;
}

ReadOutcome StoreReader::judge(const StoreReply& reply, UnderWay answered) const {
  const bool isFailure =
      reply.outcome != ReadOutcome::kAnswered && reply.outcome != ReadOutcome::kHistoryGone;
  if (isFailure) {
    return reply.outcome;
  }
  if (reply.at.era < storeEra()) {
    return ReadOutcome::kEraOver;
  }
  // What was asked for builds on a revision that a later copy may have given out again.
  const Revision base = answered == UnderWay::kWatch         ? watchedFrom_
                        : answered == UnderWay::kMissingPage ? revision_
                                                             : listedAt_;
  const bool isOfLaterEra = base != 0 && reply.at.era > base.era;
  return isOfLaterEra ? ReadOutcome::kHistoryGone : reply.outcome;
}

ReadOutcome StoreReader::onReply(const StoreReply& reply, Time now) {
  const UnderWay answered = std::exchange(underWay_, UnderWay::kNothing);
  pause_ = 0ms;
  nextReadAt_ = now;
  rareReadAt_ = now;
  if (answered == UnderWay::kInVain) {
    return reply.outcome;
  }
  const ReadOutcome outcome = judge(reply, answered);
  storeEra_ = std::max(storeEra_, reply.at.era);
  if (outcome == ReadOutcome::kHistoryGone) {
    onHistoryGone(now);
    return outcome;
  }
  if (outcome != ReadOutcome::kAnswered) {
    onFailure(outcome, now);
    return outcome;
  }
  failuresInRow_ = 0;
  lastAnswerAt_ = now;
  if (answered == UnderWay::kMissingPage) {
    onMissingPage(reply, now);
  } else if (listing_) {
    onPage(reply, now);
  } else {
    onEvents(reply, now);
  }
  return outcome;
}

void StoreReader::onHistoryGone(Time now) {
  ++counters_.historyGone;
  lastAnswerAt_ = now;
  historyGoneAt_ = now;
  beginListing();
  if (complete_) {
    nextReadAt_ = now + upTo(listPause_);
  }
}

void StoreReader::onPage(const StoreReply& reply, Time now) {
  listedAt_ = listedAt_ == 0 ? reply.at : std::min(listedAt_, reply.at);
  for (const StoreChange& change : reply.changes) {
    listedKeys_.insert(change.key);
    sink_.onListedItem(change, now);
  }
  if (!plan_.onPage(reply.changes.size(), reply.hasMore, reply.lastKey)) {
    return;
  }
  // A view that a peer gave meanwhile may hold more than a sample would show to be gone.
  if (plan_.isWhole() || !complete_) {
    sink_.onListed(listedKeys_, listedAt_, now);
    noteGapBefore(listedAt_);
  }
  if (plan_.isWhole()) {
    onFilled();
  }
  // A store that answers an older state than was seen before must not move the watch back.
  revision_ = std::max(revision_, listedAt_);
  listing_ = false;
  confirming_ = staleWillDo_;
  if (!staleWillDo_) {
    complete_ = true;
    confirmedAt_ = now;
  }
  clearListing();
}

void StoreReader::noteGapBefore(Revision listed) {
  if (complete_) {
    history_.Cross({revision_, listed});
  } else {
    history_.Begin(listed);
  }
}

void StoreReader::adoptGap(const HistoryGap& gap) {
  if (gap.To > revision_) {
    history_.Cross(gap);
  }
}

void StoreReader::onMissingPage(const StoreReply& reply, Time now) {
  // Current pages are not older than this view: every event that it took is in them.
  for (const StoreChange& change : reply.changes) {
    sink_.onMissing(change, now);
  }
  missingAfter_ = reply.lastKey;
  if (!reply.hasMore || reply.lastKey.empty()) {
    onFilled();
  }
}

void StoreReader::onFilled() {
  if (!std::exchange(whole_, true)) {
    sink_.onWhole();
  }
}

void StoreReader::setSampled(std::uint32_t place) {
  samplePlace_ = place;
  if (!complete_ && !plan_.hasBegun()) {
    clearListing();
  }
}

void StoreReader::onEvents(const StoreReply& reply, Time now) {
  for (const StoreChange& change : reply.changes) {
    ++counters_.events;
    sink_.onChange(change, now);
  }
  revision_ = std::max(revision_, reply.at);
  confirming_ = false;
  complete_ = true;
  confirmedAt_ = now;
  pause_ = pauseAfter(reply.changes.size(), now);
  nextReadAt_ = now + pause_;
}

std::chrono::milliseconds StoreReader::pauseAfter(std::size_t changes, Time now) {
  const bool changed = changes != 0;
  const bool inBurst = changed && lastChangeAt_ != Time{} && now - lastChangeAt_ < kBurstGap;
  lastChangeAt_ = changed ? now : lastChangeAt_;
  const bool isWanted = wantedAt_ != Time{} && now - wantedAt_ < kUrgentChangeWindow;
  // An answer as large as a page is only the first of what has happened.
  const bool moreFollows = changes >= kStorePageItems / 2;
  if (isWanted || urgent_ || moreFollows || isFilling()) {
    return 0ms;
  }
  if (inBurst) {
    return watchWait_ - std::min(kPostBurstWatchMaxWait, watchWait_);
  }
  return covered_ ? std::min(kReadHoldOff, watchWait_) : 0ms;
}

void StoreReader::onFailure(ReadOutcome outcome, Time now) {
  ++counters_.failures;
  ++failuresInRow_;
  confirming_ = true;
  if (outcome != ReadOutcome::kTimedOut) {
    turnedAwayAt_ = now;
  }
  const bool watchEnded =
      !listing_ && failuresInRow_ == 1 && outcome == ReadOutcome::kConnectionLost;
  // Waiting watches are cut now and then; the first retry need not wait.
  nextReadAt_ = watchEnded ? now : now + backOffAfter(outcome);
  if (complete_ && (othersFail_ || failuresInRow_ > kFailuresBeforeSeedBackoff)) {
    rareReadAt_ = now + upTo(othersFail_.value_or(rareTryAfter_));
  }
}

void StoreReader::onWanted(Time now) {
  if (complete_) {
    wantedAt_ = now;
  } else {
    viewWanted_ = true;
  }
}

Time StoreReader::nextReadAt() const {
  const bool isUrgent = urgent_ || isViewWanted();
  const bool isRare = covered_ && !isUrgent && !listing_;
  return isRare ? std::max(nextReadAt_, rareReadAt_) : nextReadAt_;
}

void StoreReader::beginListing() {
  listing_ = true;
  staleWillDo_ = false;
  missingAfter_.clear();
  clearListing();
}

void StoreReader::clearListing() {
  // A view that was in use may hold more than a sample would show to be gone.
  plan_.begin(complete_ ? std::nullopt : samplePlace_);
  listedKeys_.clear();
  listedAt_ = 0;
}

void StoreReader::onResume(Time now) {
  underWay_ = UnderWay::kNothing;
  confirming_ = true;
  nextReadAt_ = now;
  rareReadAt_ = now;
}

void StoreReader::giveUpListing() {
  if (!listing_ || !complete_) {
    return;
  }
  listing_ = false;
  underWay_ = isReading() ? UnderWay::kInVain : UnderWay::kNothing;
  clearListing();
}

void StoreReader::advance(Revision revision) {
  if (revision > revision_) {
    revision_ = revision;
    confirming_ = true;
  }
}

void StoreReader::replace(Revision revision) {
  noteGapBefore(revision);
  adopt(revision);
  giveUpListing();
  onFilled();
}

void StoreReader::adopt(Revision revision) {
  if (revision <= revision_) {
    return;
  }
  const bool wasInUse = complete_;
  advance(revision);
  complete_ = true;
  history_.BeginIfNew(revision);
  if (!isReading() && !wasInUse) {
    listing_ = false;
    clearListing();
  }
}

void StoreReader::confirm(Time at) {
  // Others whose watches found the same confirm each other's old views until one has listed.
  if (at > historyGoneAt_) {
    giveUpListing();
  }
  if (listing_ || revision_ == 0) {
    return;
  }
  complete_ = true;
  confirmedAt_ = std::max(confirmedAt_, at);
}

bool StoreReader::isCurrent(Time now) const {
  if (!complete_ || listing_) {
    return false;
  }
  const bool watching = underWay_ == UnderWay::kWatch && !confirming_;
  return watching || now - confirmedAt_ < currentFor_;
}

std::chrono::milliseconds StoreReader::watchWait() const {
  if (!complete_) {
    return kCatchUpWatchMaxWait;
  }
  const std::chrono::milliseconds wait = watchWait_ - pause_;
  return confirming_ ? std::min(kConfirmWatchMaxWait, wait) : wait;
}

Duration StoreReader::timeoutNow() const {
  const std::uint32_t doublings = std::min<std::uint32_t>(
      failuresInRow_ / kFailuresPerReadTimeoutDoubling, kMaxReadTimeoutDoublings);
  return kReadTimeout * (1U << doublings);
}

Duration StoreReader::backOffAfter(ReadOutcome outcome) {
  const bool patient = complete_ || outcome == ReadOutcome::kThrottled;
  const Duration longest = patient ? kMaxReadBackoff : startBackOff_;
  const std::uint32_t doublings = std::min<std::uint32_t>(failuresInRow_, kMaxReadTimeoutDoublings);
  return upTo(std::min<Duration>(kReadBackoff * (1U << doublings), longest));
}

Duration StoreReader::upTo(Duration span) {
  const auto half = static_cast<std::uint64_t>(span.count() / 2);
  return Duration(static_cast<Duration::rep>(half + random_.below(half + 1)));
}

}  // namespace cobaltgauge::core
