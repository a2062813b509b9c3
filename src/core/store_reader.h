/// @file
/// Keeps a view in step with a store that can only be read: lists all items once, then watches for
/// changes. A deterministic state machine without input or output: it says what to read next and
/// takes the answers. It survives a store that is down, slow, silent, throttling or has dropped its
/// history, and never takes a change twice or an older one after a newer.
///
/// A listing comes in pages that are no snapshot. The watch therefore begins at the lowest revision
/// of the pages: what changed meanwhile arrives again as events, and revisions order the two.
///
/// A store that comes back from an older copy has lost the end of its history and gives the
/// revisions of that out again. Its answers say so by a later era. A watch from a revision of an
/// earlier era says nothing then, nor does a listing with pages of two eras: the view is listed
/// anew, as after any lost history.
///
/// The first listing may be stale, which costs the store little when a whole fleet starts at once;
/// it counts only once a watch has brought it up to date. Where the history for that is gone, and
/// ever after, listings are current.
///
/// The first listing may be a sample (core/listing_plan.h). The view is then complete, which means
/// in step with the store in what it holds, and not whole: back ends are missing. Pages of peers or
/// of the store add them while the view is in use.
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
#include "core/relay/followed_history.h"
#include "core/store_read.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Takes what the reader learns, in the order of the store's answers.
class StoreSink {
 public:
  virtual ~StoreSink() = default;
  /// @return false where the view lacks what the change builds on.
  virtual bool onChange(const StoreChange& change, Time now) = 0;
  /// An item of a listing, which may have been known before.
  virtual void onListedItem(const StoreChange& item, Time now) = 0;
  /// A listing is complete: an item that is not in `keys` and not newer than `listedAt` is gone.
  virtual void onListed(const std::set<std::string>& keys, Revision listedAt, Time now) = 0;
  /// A back end that a view in use lacked. It is no change: nobody is told of it.
  virtual void onMissingItem(const StoreChange& item, Time now) = 0;
  /// The view holds every back end from now on.
  virtual void onAllBackendsKnown() = 0;
};

/// Counters of a StoreReader.
struct StoreReaderCounters {
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t historyGone = 0;
  std::uint64_t events = 0;
};

class StoreReader {
 public:
  StoreReader(StoreSink& sink, Random& random) : sink_(sink), random_(random) {}

  /// @return the read that is due, at most one at a time; answer it by onReply().
  std::optional<StoreRead> nextRead(Time now);

  /// Takes the answer to the read that nextRead() gave last.
  /// @return what it counts as: an answer of another copy of the store than the one that was asked
  /// says that the history is gone, or nothing.
  ReadOutcome onReply(const StoreReply& reply, Time now);

  /// Call after the process was suspended and the read under way was given up: reads at once.
  void onResume(Time now);

  /// Takes over changes that make the view complete up to a revision and came from elsewhere.
  void adopt(Revision revision);
  /// Takes over that changes of a peer lead across a gap in the history that it has followed.
  void adoptGap(const HistoryGap& gap);
  /// Takes over a whole view that replaced this one.
  void replace(Revision revision);

  /// Notes that a part of what the view lacked was taken, up to a revision. It leaves open whether
  /// the view is whole: a stale listing with a part is as old as the part.
  void advance(Revision revision);

  /// Notes that a peer knew, at this time, that nothing newer than this view was in the store.
  void confirm(Time at);

  /// Sets how long a watch may wait, for how long a confirmed view counts as current, and after how
  /// long at most a read is repeated that others make as well.
  void setReadTimings(std::chrono::milliseconds watchWait, Duration currentFor,
                      Duration maxSharedRetryDelay) {
    watchWait_ = watchWait;
    currentFor_ = currentFor;
    maxSharedRetryDelay_ = maxSharedRetryDelay;
  }

  /// Lets nextRead() give reads, or not: a daemon that follows a peer has no need of them.
  void setActive(bool active) { active_ = active; }
  bool isActive() const { return active_ || isBackfilling(); }

  /// Says whether other daemons read as well and will tell this one: a read is followed by a pause
  /// then, and reads that have failed several times are repeated rarely.
  void setHasOtherReaders(bool hasOtherReaders) { hasOtherReaders_ = hasOtherReaders; }

  /// Says that those others read in vain, or with nothing that they do not. A read of this daemon's
  /// that fails as well is repeated after at most `retryDelay`, half of it random.
  void setOtherReadersFailing(std::optional<Duration> retryDelay) {
    otherReadersRetryDelay_ = retryDelay;
  }
  bool areOtherReadersFailing() const { return otherReadersRetryDelay_.has_value(); }

  /// Lets the next read wait until then where others read as well and nothing is urgent.
  void deferRead(Time until) { deferredReadAt_ = std::max(deferredReadAt_, until); }

  /// Sets how long a daemon without a view waits at most before it tries a store again that fails.
  void setStartupBackOff(Duration maxDelay) { startupBackOff_ = maxDelay; }

  /// Notes that the store serves others: a try that waits is made now.
  void expediteRead(Time now) { nextReadAt_ = std::min(nextReadAt_, now); }

  /// Lets first listings be samples from now on. @param sampleSeed of this daemon among all, at
  /// random.
  void enableSampling(std::uint32_t sampleSeed);
  /// Lets nextRead() give pages of the back ends that a view in use lacks, one after the other and
  /// between watches.
  void setBackfilling(bool backfilling) { backfilling_ = backfilling; }
  /// Notes that peers have given every back end that was missing.
  void markAllBackendsKnown();

  /// Says whether something is missing that only a read can give: no read is put off then.
  void setUrgent(bool urgent) { urgent_ = urgent; }

  /// Notes that a part of an answer arrived.
  void onProgress(Time now) { lastAnswerAt_ = now; }

  /// Notes that a packet could not be decided for want of a back end: changes are urgent. Before
  /// the first whole view it is that view which is urgent, and nothing is known of changes.
  void onBackendNeeded(Time now);

  /// @return when nextRead() may give a read, where none is under way.
  Time nextReadAt() const;
  bool isReading() const { return pendingRead_ != PendingRead::kNone; }
  /// @return true while a listing is to be made or under way.
  bool isListing() const { return listing_; }
  /// @return true where the last read failed.
  bool isFailing() const { return failuresInRow_ > 0; }
  /// @return true where the store turned the last read away, and nothing has come from it since.
  /// One that is slow, or busy with the listings of others, is not meant.
  bool wasRejected() const { return rejectedAt_ > lastAnswerAt_; }
  /// @return when the view was last known to be the store's; zero where it never was.
  Time confirmedAt() const { return confirmedAt_; }

  /// @return true where the view is as new as the store, as far as can be known here: a watch is
  /// under way on a view that is complete, or the last answer is recent.
  bool isCurrent(Time now) const;
  /// @return true where the view is in step with the store in all that it holds.
  bool isSynchronized() const { return synchronized_; }
  /// @return true where a complete view holds every back end.
  bool hasAllBackends() const { return synchronized_ && hasAllBackends_; }
  /// @return which part of the store's history this view has followed.
  const FollowedHistory& history() const { return history_; }
  /// @return the revision from which on every change was taken; zero where nothing was listed.
  Revision baseRevision() const { return history_.GetBase(); }
  /// @return true where this view shows all that a view complete up to `have` lacks.
  bool canSendChangesSince(Revision have) const {
    return hasAllBackends() && history_.Covers(have);
  }

  /// Sets how long at most a view in use waits before it is listed again for want of history:
  /// a peer may bring it up to date meanwhile, for far less.
  void setMaxRelistDelay(Duration maxDelay) { maxRelistDelay_ = maxDelay; }
  /// @return true where the changes of a peer can be taken: no first listing is under way. One that
  /// replaces a lost history ends where a peer's view is confirmed to be newer than that.
  bool acceptsChanges() const { return !listing_ || synchronized_; }
  /// @return true where the first listing was stale and is not yet brought up to date.
  bool isCatchingUp() const { return !synchronized_ && !listing_; }
  /// @return true where packets wait for the first whole view.
  bool isViewNeeded() const { return isViewNeeded_ && !synchronized_; }

  Revision revision() const { return revision_; }
  /// @return the latest era that the store or a peer has shown.
  StoreEra storeEra() const { return std::max(storeEra_, revision_.era); }
  /// @return when the store last answered anything; zero before the first answer.
  Time lastAnswerAt() const { return lastAnswerAt_; }
  const StoreReaderCounters& counters() const { return counters_; }

 private:
  /// The read that nextRead() gave last and that is not answered.
  enum class PendingRead : std::uint8_t {
    kNone,
    kListing,
    kMissingPage,  ///< For a view in use.
    kWatch,
    kAbandoned,  ///< A listing that was given up: its answer is not wanted any more.
  };

  /// @return what an answer counts as, see onReply().
  ReadOutcome classifyReply(const StoreReply& reply, PendingRead answered) const;
  void onHistoryGone(Time now);
  void onPage(const StoreReply& reply, Time now);
  void onBackfillPage(const StoreReply& reply, Time now);
  /// Notes that a listing replaces changes that are not known.
  void recordGapBefore(Revision listed);
  void onEvents(const StoreReply& reply, Time now);
  void onFailure(ReadOutcome outcome, Time now);
  void beginListing();
  void clearListing();
  /// Ends a listing that replaces a lost history: a peer has told what was missing.
  void abandonListing();
  /// @return true where pages are read for a view that is in use.
  bool isBackfilling() const { return backfilling_ && synchronized_ && !hasAllBackends_; }
  StoreRead listRead(StoreRead::Cause cause, const ListingRange& range,
                     const std::string& afterKey);
  StoreRead listingRead();
  StoreRead backfillRead();
  StoreRead watchRead();
  StoreRead::Cause cause() const;
  std::chrono::milliseconds watchWait() const;
  /// @return how long to leave the store alone after an answer.
  std::chrono::milliseconds pauseAfter(std::size_t changes, Time now);
  Duration timeoutNow() const;
  Duration backOffAfter(ReadOutcome outcome);
  /// @return a random time from half of `maxDelay` to all of it.
  Duration randomDelay(Duration maxDelay);

  StoreSink& sink_;
  Random& random_;
  std::chrono::milliseconds watchWait_ = kWatchWait;
  Duration currentFor_ = kViewCurrentFor;
  Duration maxSharedRetryDelay_ = kReadBackOffCovered;
  bool active_ = true;
  bool hasOtherReaders_ = false;
  std::optional<Duration> otherReadersRetryDelay_;
  Duration startupBackOff_ = kReadBackOffAtStart;
  bool urgent_ = false;
  PendingRead pendingRead_ = PendingRead::kNone;
  bool listing_ = true;
  bool synchronized_ = false;
  bool hasAllBackends_ = false;
  std::optional<std::uint32_t> sampleSeed_;  ///< None: first listings are whole.
  bool backfilling_ = false;
  std::string backfillAfterKey_;       ///< Pages up to here were added to a view in use.
  bool watchedSinceBackfill_ = false;  ///< Pages of a view in use take turns with watches.
  Time backendNeededAt_{};
  bool isViewNeeded_ = false;           ///< Packets wait for the first whole view.
  bool allowStale_ = true;              ///< No listing has been tried but the first.
  std::chrono::milliseconds pause_{0};  ///< Before the next watch, which waits so much less.
  bool confirming_ = false;  ///< The last watch was lost; what it missed is not known yet.
  Time nextReadAt_{};
  Time deferredReadAt_{};  ///< Instead, where others read as well and nothing is urgent.
  Time lastAnswerAt_{};
  Time historyGoneAt_{};
  Time rejectedAt_{};
  Time confirmedAt_{};
  Time lastChangeAt_{};
  StoreEra storeEra_{0};      ///< Of the latest answer.
  Revision watchedFrom_ = 0;  ///< Base of the watch that is under way, or was last.
  Revision revision_ = 0;     ///< Changes up to this one are known; base of the next watch.
  Revision listedAt_ = 0;     ///< Of the listing's first page.
  FollowedHistory history_;
  Duration maxRelistDelay_{};
  ListingPlan plan_;
  std::set<std::string> listedKeys_;
  std::uint32_t failuresInRow_ = 0;
  StoreReaderCounters counters_;
};

}  // namespace cobaltgauge::core
