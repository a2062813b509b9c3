/// @file
/// Keeps a view synchronized with a read-only store: lists all items once, then watches for
/// changes. A deterministic state machine without I/O: it returns the next read to make and
/// processes the responses. It tolerates a store that is down, slow, unresponsive, throttling or
/// has compacted its history, and never applies a change twice or an older change after a newer
/// one.
///
/// The pages of a listing are not a snapshot. The watch therefore starts at the lowest revision of
/// all pages: changes made during the listing arrive again as events and are ordered by revision.
///
/// A store that was restored from an older copy has lost the end of its history and assigns the
/// lost revisions again. Its responses carry a later era. Watches from a revision of an earlier era
/// and listings with pages of two eras are invalid then, and the view is listed again as after any
/// lost history.
///
/// The first listing may be stale, which limits the load on the store when a whole fleet starts at
/// once. The view counts as synchronized only after a watch has brought it up to date. If the
/// history needed for that is gone, the next listing is a current one, and so are all later
/// listings.
///
/// The first listing may be a sample (core/listing_plan.h). The view is synchronized then, but
/// lacks backends. Pages from peers or the store backfill them while the view is in use.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/constants.h"
#include "core/listing_plan.h"
#include "core/random.h"
#include "core/registration.h"
#include "core/relay/observed_history.h"
#include "core/store_read.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Receives the results of reads in the order of the store's responses.
class StoreSink {
 public:
  virtual ~StoreSink() = default;
  /// @return false if the view lacks the state that the change builds on.
  virtual bool onChange(const StoreChange& change, Time now) = 0;
  /// Called for each item of a listing, which may be known already.
  virtual void onListedItem(const StoreChange& item, Time now) = 0;
  /// Called at the end of a listing: items that are not in `keys` and not newer than `listedAt`
  /// have been removed.
  virtual void onListed(const std::set<std::string>& keys, Revision listedAt, Time now) = 0;
  /// Called for a backend that a view in use lacked. It is not a change and is not propagated.
  virtual void onMissingItem(const StoreChange& item, Time now) = 0;
  /// Called once the view holds every backend.
  virtual void onAllBackendsKnown() = 0;
};

/// Counters of a StoreReader.
struct StoreReaderCounters {
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t historyGone = 0;
  std::uint64_t tooLarge = 0;  ///< Watches whose changes exceeded the largest response.
  std::uint64_t events = 0;
};

class StoreReader {
 public:
  StoreReader(StoreSink& sink, Random& random) : sink_(sink), random_(random) {}

  /// @return the read that is due; there is at most one at a time. Answer it with onReply().
  std::optional<StoreRead> nextRead(Time now);

  /// Processes the response to the last read returned by nextRead().
  /// @return the effective outcome: a response of another era than the request counts as lost
  /// history or as a failure.
  ReadOutcome onReply(const StoreReply& reply, Time now);

  /// Call after the process was suspended and the pending read was dropped; makes a read due at
  /// once.
  void onResume(Time now);

  /// Records that changes from another source have brought the view up to a revision.
  void adopt(Revision revision);
  /// Records that changes of a peer span a gap in the history that the peer has followed.
  void adoptGap(const HistoryGap& gap);
  /// Records that a full view has replaced this one.
  void replace(Revision revision);

  /// Records that some of the missing changes were applied, up to a revision. Does not mark the
  /// view as synchronized: a stale listing with some later changes may still lack others.
  void advance(Revision revision);

  /// Records that a peer found nothing newer than this view in the store at the given time.
  void confirm(Time at);

  /// Sets the maximum wait of a watch, how long a confirmed view counts as current, and the maximum
  /// delay before retrying a read that other daemons make as well.
  void setReadTimings(std::chrono::milliseconds watchWait, Duration currentFor,
                      Duration maxSharedRetryDelay) {
    watchWait_ = watchWait;
    currentFor_ = currentFor;
    maxSharedRetryDelay_ = maxSharedRetryDelay;
  }

  /// Enables or disables reads; a daemon that follows a peer needs none.
  void setActive(bool active) { active_ = active; }
  bool isActive() const { return active_ || isBackfilling(); }

  /// Sets whether other daemons read as well and propagate changes to this one. If so, reads are
  /// followed by a pause, and reads that failed several times are retried rarely.
  void setHasOtherReaders(bool hasOtherReaders) { hasOtherReaders_ = hasOtherReaders; }

  /// Sets whether the reads of those daemons fail or return nothing new. A failed read of this
  /// daemon is then retried after a random delay from half of `retryDelay` to all of it.
  void setOtherReadersFailing(std::optional<Duration> retryDelay) {
    otherReadersRetryDelay_ = retryDelay;
  }
  bool areOtherReadersFailing() const { return otherReadersRetryDelay_.has_value(); }

  /// Defers the next read until the given time, if other daemons read as well and nothing is
  /// urgent.
  void deferRead(Time until) { deferredReadAt_ = std::max(deferredReadAt_, until); }

  /// Sets the maximum retry delay of a daemon without a view.
  void setStartupBackoff(Duration maxDelay) { startupBackoff_ = maxDelay; }

  /// Records that the store answers other daemons: a delayed retry is made now.
  void expediteRead(Time now) { nextReadAt_ = std::min(nextReadAt_, now); }

  /// Makes first listings samples from now on. @param sampleSeed random number that selects the
  /// partition of this daemon.
  void enableSampling(std::uint32_t sampleSeed);
  /// Enables reads of pages that backfill a view in use, one at a time and alternating with
  /// watches.
  void setBackfilling(bool backfilling) { backfilling_ = backfilling; }
  /// Records that the view holds every backend.
  void markAllBackendsKnown();

  /// Sets whether something is missing that only a read can supply; reads are not deferred then.
  void setUrgent(bool urgent) { urgent_ = urgent; }

  /// Records that part of a response arrived.
  void onProgress(Time now) { lastReplyAt_ = now; }

  /// Records that a packet could not be routed for lack of a backend, which makes changes urgent.
  /// Before the first view is synchronized, only that view is urgent.
  void onBackendNeeded(Time now);

  /// @return when nextRead() may return a read, if none is pending.
  Time nextReadAt() const;
  bool isReading() const { return pendingRead_ != PendingRead::kNone; }
  /// @return true while a listing is due or in progress.
  bool isListing() const { return listing_; }
  /// @return true if the last read failed.
  bool isFailing() const { return failuresInRow_ > 0; }
  /// @return true if the store rejected the last read and has sent nothing since. Timeouts do not
  /// count.
  bool wasRejected() const { return rejectedAt_ > lastReplyAt_; }
  /// @return when the view was last known to match the store; zero if never.
  Time confirmedAt() const { return confirmedAt_; }

  /// @return true if the view is known to be as new as the store: a watch is pending on a
  /// synchronized view, or the last response is recent.
  bool isCurrent(Time now) const;
  /// @return true if all items that the view holds are synchronized with the store.
  bool isSynchronized() const { return synchronized_; }
  /// @return true if a synchronized view holds every backend.
  bool hasAllBackends() const { return synchronized_ && hasAllBackends_; }
  /// @return the part of the store's history that this view has followed.
  const ObservedHistory& history() const { return history_; }
  /// @return the revision since which every change was applied; zero before the first listing.
  Revision baseRevision() const { return history_.GetBase(); }
  /// @return true if this view holds all that a view complete up to `have` lacks.
  bool canSendChangesSince(Revision have) const {
    return hasAllBackends() && history_.Covers(have);
  }

  /// Sets the maximum delay before a view in use is listed again for lost history. A peer may bring
  /// it up to date in the meantime at lower cost.
  void setMaxRelistDelay(Duration maxDelay) { maxRelistDelay_ = maxDelay; }
  /// @return true if changes of a peer can be applied: no first listing is in progress. A listing
  /// that replaces lost history is abandoned once a peer's view is confirmed to be newer.
  bool acceptsChanges() const { return !listing_ || synchronized_; }
  /// @return true if the first listing was stale and has not been brought up to date.
  bool isCatchingUp() const { return !synchronized_ && !listing_; }
  /// @return true if packets wait for the first synchronized view.
  bool isViewNeeded() const { return isViewNeeded_ && !synchronized_; }

  Revision revision() const { return revision_; }
  /// @return the latest era seen from the store or a peer.
  StoreEra storeEra() const { return std::max(storeEra_, revision_.era); }
  /// @return when the store last responded; zero before the first response.
  Time lastReplyAt() const { return lastReplyAt_; }
  const StoreReaderCounters& counters() const { return counters_; }

 private:
  /// The last read returned by nextRead() that has no response yet.
  enum class PendingRead : std::uint8_t {
    kNone,
    kListing,
    kMissingPage,  ///< Backfills a view in use.
    kWatch,
    kAbandoned,  ///< An abandoned listing; its response is ignored.
  };

  /// @return the effective outcome of a response, see onReply().
  ReadOutcome classifyReply(const StoreReply& reply, PendingRead answered) const;
  void listAgain(Time now);
  void onPage(const StoreReply& reply, Time now);
  void onBackfillPage(const StoreReply& reply, Time now);
  /// Records that a listing replaces changes that are unknown.
  void recordGapBefore(Revision listed);
  void onEvents(const StoreReply& reply, Time now);
  void onFailure(ReadOutcome outcome, Time now);
  void beginListing();
  void clearListing();
  /// Abandons a listing that replaces lost history, since a peer supplied the missing changes.
  void abandonListing();
  /// @return true while pages are read for a view in use.
  bool isBackfilling() const { return backfilling_ && synchronized_ && !hasAllBackends_; }
  StoreRead listRead(StoreRead::Cause cause, const ListingRange& range,
                     const std::string& afterKey);
  StoreRead listingRead();
  StoreRead backfillRead();
  StoreRead watchRead();
  StoreRead::Cause cause() const;
  std::chrono::milliseconds watchWait() const;
  /// @return the pause before the next watch.
  std::chrono::milliseconds pauseAfter(std::size_t changes, Time now);
  Duration timeoutNow() const;
  Duration backoffAfter(ReadOutcome outcome);
  /// @return a random duration between half of `maxDelay` and all of it.
  Duration randomDelay(Duration maxDelay);

  StoreSink& sink_;
  Random& random_;
  std::chrono::milliseconds watchWait_ = kWatchMaxWait;
  Duration currentFor_ = kViewFreshnessPeriod;
  Duration maxSharedRetryDelay_ = kReadBackoffWithSeed;
  bool active_ = true;
  bool hasOtherReaders_ = false;
  std::optional<Duration> otherReadersRetryDelay_;
  Duration startupBackoff_ = kStartupReadBackoff;
  bool urgent_ = false;
  PendingRead pendingRead_ = PendingRead::kNone;
  bool listing_ = true;
  bool synchronized_ = false;
  bool hasAllBackends_ = false;
  std::optional<std::uint32_t> sampleSeed_;  ///< Empty: first listings are not sampled.
  bool backfilling_ = false;
  std::string backfillAfterKey_;       ///< Backfilled up to this key.
  bool watchedSinceBackfill_ = false;  ///< Backfill pages alternate with watches.
  Time backendNeededAt_{};
  bool isViewNeeded_ = false;           ///< Packets wait for the first synchronized view.
  bool allowStale_ = true;              ///< Only the first listing may be stale.
  std::chrono::milliseconds pause_{0};  ///< Before the next watch, whose wait is shortened by it.
  bool confirming_ = false;             ///< The last watch was lost and may have missed changes.
  Time nextReadAt_{};
  Time deferredReadAt_{};  ///< Lower bound if other daemons read as well and nothing is urgent.
  Time lastReplyAt_{};
  Time relistedAt_{};
  Time rejectedAt_{};
  Time confirmedAt_{};
  Time lastChangeAt_{};
  StoreEra storeEra_{0};      ///< Of the latest response.
  Revision watchedFrom_ = 0;  ///< Start revision of the pending or last watch.
  Revision revision_ = 0;     ///< All changes up to this one are known; start of the next watch.
  Revision listedAt_ = 0;     ///< Lowest revision of the listing's pages.
  ObservedHistory history_;
  Duration maxRelistDelay_{};
  ListingPlan plan_;
  std::set<std::string> listedKeys_;
  std::uint32_t failuresInRow_ = 0;
  StoreReaderCounters counters_;
};

}  // namespace cobaltgauge::core
