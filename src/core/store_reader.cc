#include "core/store_reader.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

std::optional<StoreRead> StoreReader::nextRead(Time now) {
  if (isReading() || !isActive() || now < nextReadAt()) {
    return std::nullopt;
  }
  // A daemon with followers continues to watch, since their views age in the meantime.
  const bool isBackfillDue = isBackfilling() && (!active_ || watchedSinceBackfill_);
  pendingRead_ = listing_        ? PendingRead::kListing
                 : isBackfillDue ? PendingRead::kMissingPage
                                 : PendingRead::kWatch;
  watchedSinceBackfill_ = pendingRead_ != PendingRead::kMissingPage;
  switch (pendingRead_) {
    case PendingRead::kListing:
      return listingRead();
    case PendingRead::kMissingPage:
      return backfillRead();
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
  read.stale = allowStale_;
  return read;
}

StoreRead StoreReader::backfillRead() {
  return listRead(StoreRead::Cause::kMissingPage, {ListingRange::Kind::kBackends},
                  backfillAfterKey_);
}

StoreRead StoreReader::watchRead() {
  ++counters_.watches;
  StoreRead read;
  read.cause = cause();
  read.kind = StoreRead::Kind::kWatch;
  read.afterRevision = revision_;
  watchedFrom_ = revision_;
  read.wait = isBackfilling() ? kCatchUpWatchMaxWait : watchWait();
  read.timeout = read.wait + std::max(kWatchTimeoutMargin, timeoutNow());
  return read;
}

StoreRead::Cause StoreReader::cause() const {
  if (failuresInRow_ > 0) {
    return StoreRead::Cause::kRetry;
  }
  if (listing_) {
    return plan_.hasStarted() ? StoreRead::Cause::kNextPage
           : allowStale_      ? StoreRead::Cause::kFirstListing
                              : StoreRead::Cause::kRelist;
  }
  if (!synchronized_) {
    return StoreRead::Cause::kCatchUp;
  }
  if (urgent_) {
    return StoreRead::Cause::kGap;
  }
  return confirming_ ? StoreRead::Cause::kConfirm : StoreRead::Cause::kFollowStore;
}

ReadOutcome StoreReader::classifyReply(const StoreReply& reply, PendingRead answered) const {
  const bool isFailure =
      reply.outcome != ReadOutcome::kSucceeded && reply.outcome != ReadOutcome::kHistoryGone;
  if (isFailure) {
    return reply.outcome;
  }
  if (reply.revision.era < storeEra()) {
    return ReadOutcome::kOutdatedEra;
  }
  // The request builds on a revision that a later era may have assigned again.
  const Revision base = answered == PendingRead::kWatch         ? watchedFrom_
                        : answered == PendingRead::kMissingPage ? revision_
                                                                : listedAt_;
  const bool isOfLaterEra = base != 0 && reply.revision.era > base.era;
  return isOfLaterEra ? ReadOutcome::kHistoryGone : reply.outcome;
}

ReadOutcome StoreReader::onReply(const StoreReply& reply, Time now) {
  const PendingRead answered = std::exchange(pendingRead_, PendingRead::kNone);
  pause_ = 0ms;
  nextReadAt_ = now;
  deferredReadAt_ = now;
  if (answered == PendingRead::kAbandoned) {
    return reply.outcome;
  }
  const ReadOutcome outcome = classifyReply(reply, answered);
  storeEra_ = std::max(storeEra_, reply.revision.era);
  if (outcome == ReadOutcome::kHistoryGone) {
    ++counters_.historyGone;
    listAgain(now);
    return outcome;
  }
  if (outcome == ReadOutcome::kTooLarge && answered == PendingRead::kWatch) {
    // The same watch would get the same changes. Pages of a listing are small, and the first one
    // holds what operators wrote.
    ++counters_.tooLarge;
    listAgain(now);
    return outcome;
  }
  if (outcome != ReadOutcome::kSucceeded) {
    onFailure(outcome, now);
    return outcome;
  }
  failuresInRow_ = 0;
  lastReplyAt_ = now;
  if (answered == PendingRead::kMissingPage) {
    onBackfillPage(reply, now);
  } else if (listing_) {
    onPage(reply, now);
  } else {
    onEvents(reply, now);
  }
  return outcome;
}

void StoreReader::listAgain(Time now) {
  lastReplyAt_ = now;
  relistedAt_ = now;
  beginListing();
  if (synchronized_) {
    nextReadAt_ = now + randomDelay(maxRelistDelay_);
  }
}

void StoreReader::onPage(const StoreReply& reply, Time now) {
  listedAt_ = listedAt_ == 0 ? reply.revision : std::min(listedAt_, reply.revision);
  for (const StoreChange& change : reply.changes) {
    listedKeys_.insert(change.key);
    sink_.onListedItem(change, now);
  }
  if (!plan_.onPage(reply.changes.size(), reply.hasMore, reply.lastKey)) {
    return;
  }
  // A sample must not remove backends from a view that a peer supplied during the listing.
  if (plan_.coversAllBackends() || !synchronized_) {
    sink_.onListed(listedKeys_, listedAt_, now);
    recordGapBefore(listedAt_);
  }
  if (plan_.coversAllBackends()) {
    markAllBackendsKnown();
  }
  // A store that responds with an older state must not move the watch back.
  revision_ = std::max(revision_, listedAt_);
  listing_ = false;
  confirming_ = allowStale_;
  if (!allowStale_) {
    synchronized_ = true;
    confirmedAt_ = now;
  }
  clearListing();
}

void StoreReader::recordGapBefore(Revision listed) {
  if (synchronized_) {
    history_.AddGap({revision_, listed});
  } else {
    history_.Begin(listed);
  }
}

void StoreReader::adoptGap(const HistoryGap& gap) {
  if (gap.To > revision_) {
    history_.AddGap(gap);
  }
}

void StoreReader::onBackfillPage(const StoreReply& reply, Time now) {
  // Backfill pages are current: they include every event that this view has applied.
  for (const StoreChange& change : reply.changes) {
    sink_.onMissingItem(change, now);
  }
  backfillAfterKey_ = reply.lastKey;
  if (!reply.hasMore || reply.lastKey.empty()) {
    markAllBackendsKnown();
  }
}

void StoreReader::markAllBackendsKnown() {
  if (!std::exchange(hasAllBackends_, true)) {
    sink_.onAllBackendsKnown();
  }
}

void StoreReader::enableSampling(std::uint32_t sampleSeed) {
  sampleSeed_ = sampleSeed;
  if (!synchronized_ && !plan_.hasStarted()) {
    clearListing();
  }
}

void StoreReader::onEvents(const StoreReply& reply, Time now) {
  for (const StoreChange& change : reply.changes) {
    ++counters_.events;
    sink_.onChange(change, now);
  }
  revision_ = std::max(revision_, reply.revision);
  confirming_ = false;
  synchronized_ = true;
  confirmedAt_ = now;
  pause_ = pauseAfter(reply.changes.size(), now);
  nextReadAt_ = now + pause_;
}

std::chrono::milliseconds StoreReader::pauseAfter(std::size_t changes, Time now) {
  const bool changed = changes != 0;
  const bool isInBurst = changed && lastChangeAt_ != Time{} && now - lastChangeAt_ < kBurstGap;
  lastChangeAt_ = changed ? now : lastChangeAt_;
  const bool isBackendNeeded =
      backendNeededAt_ != Time{} && now - backendNeededAt_ < kUrgentChangeWindow;
  // A response as large as a page may be followed by more changes.
  const bool hasMore = changes >= kStorePageItems / 2;
  if (isBackendNeeded || urgent_ || hasMore || isBackfilling()) {
    return 0ms;
  }
  if (isInBurst) {
    return watchWait_ - std::min(kPostBurstWatchMaxWait, watchWait_);
  }
  return hasOtherReaders_ ? std::min(kReadHoldOff, watchWait_) : 0ms;
}

void StoreReader::onFailure(ReadOutcome outcome, Time now) {
  ++counters_.failures;
  ++failuresInRow_;
  confirming_ = true;
  if (outcome != ReadOutcome::kTimedOut) {
    rejectedAt_ = now;
  }
  const bool watchEnded =
      !listing_ && failuresInRow_ == 1 && outcome == ReadOutcome::kConnectionLost;
  // Pending watches are closed now and then, so the first retry is immediate.
  nextReadAt_ = watchEnded ? now : now + backoffAfter(outcome);
  if (synchronized_ && (otherReadersRetryDelay_ || failuresInRow_ > kFailuresBeforeSeedBackoff)) {
    deferredReadAt_ = now + randomDelay(otherReadersRetryDelay_.value_or(maxSharedRetryDelay_));
  }
}

void StoreReader::onBackendNeeded(Time now) {
  if (synchronized_) {
    backendNeededAt_ = now;
  } else {
    isViewNeeded_ = true;
  }
}

Time StoreReader::nextReadAt() const {
  const bool isUrgent = urgent_ || isViewNeeded();
  const bool isDeferred = hasOtherReaders_ && !isUrgent && !listing_;
  return isDeferred ? std::max(nextReadAt_, deferredReadAt_) : nextReadAt_;
}

void StoreReader::beginListing() {
  listing_ = true;
  allowStale_ = false;
  backfillAfterKey_.clear();
  clearListing();
}

void StoreReader::clearListing() {
  // A sample must not remove backends from a view that was in use.
  plan_.begin(synchronized_ ? std::nullopt : sampleSeed_);
  listedKeys_.clear();
  listedAt_ = 0;
}

void StoreReader::onResume(Time now) {
  pendingRead_ = PendingRead::kNone;
  confirming_ = true;
  nextReadAt_ = now;
  deferredReadAt_ = now;
}

void StoreReader::abandonListing() {
  if (!listing_ || !synchronized_) {
    return;
  }
  listing_ = false;
  pendingRead_ = isReading() ? PendingRead::kAbandoned : PendingRead::kNone;
  clearListing();
}

void StoreReader::advance(Revision revision) {
  if (revision > revision_) {
    revision_ = revision;
    confirming_ = true;
  }
}

void StoreReader::replace(Revision revision) {
  recordGapBefore(revision);
  adopt(revision);
  abandonListing();
  markAllBackendsKnown();
}

void StoreReader::adopt(Revision revision) {
  if (revision <= revision_) {
    return;
  }
  const bool wasInUse = synchronized_;
  advance(revision);
  synchronized_ = true;
  history_.BeginIfUnset(revision);
  if (!isReading() && !wasInUse) {
    listing_ = false;
    clearListing();
  }
}

void StoreReader::confirm(Time at) {
  // Earlier confirmations may come from daemons that lost the same history and have not listed
  // again.
  if (at > relistedAt_) {
    abandonListing();
  }
  if (listing_ || revision_ == 0) {
    return;
  }
  synchronized_ = true;
  confirmedAt_ = std::max(confirmedAt_, at);
}

bool StoreReader::isCurrent(Time now) const {
  if (!synchronized_ || listing_) {
    return false;
  }
  const bool watching = pendingRead_ == PendingRead::kWatch && !confirming_;
  return watching || now - confirmedAt_ < currentFor_;
}

std::chrono::milliseconds StoreReader::watchWait() const {
  if (!synchronized_) {
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

Duration StoreReader::backoffAfter(ReadOutcome outcome) {
  const bool allowsLongBackoff = synchronized_ || outcome == ReadOutcome::kThrottled;
  const Duration maxDelay = allowsLongBackoff ? kMaxReadBackoff : startupBackoff_;
  const std::uint32_t doublings = std::min<std::uint32_t>(failuresInRow_, kMaxReadTimeoutDoublings);
  return randomDelay(std::min<Duration>(kReadBackoff * (1U << doublings), maxDelay));
}

Duration StoreReader::randomDelay(Duration maxDelay) {
  const auto half = static_cast<std::uint64_t>(maxDelay.count() / 2);
  return Duration(static_cast<Duration::rep>(half + random_.below(half + 1)));
}

}  // namespace cobaltgauge::core
