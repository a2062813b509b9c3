#include "core/store_reader.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "core/view_updater.h"
#include "sim/seeded_random.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::ReadOutcome;
using core::StoreRead;
using namespace std::chrono_literals;

/// A reader with its view and a store that answers it.
struct ReaderFixture {
  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::RouteTable routes{0};
  std::vector<core::ViewChange> changes;
  core::ViewUpdater updater{backends, routes,
                            [this](const core::ViewChange& change) { changes.push_back(change); }};
  core::StoreReader reader{updater, random};
  FakeStore store;
  core::Time now = 1s;

  /// Advances to the next read and returns it.
  StoreRead nextRead() {
    now = std::max(now, reader.nextReadAt());
    const std::optional<StoreRead> read = reader.nextRead(now);
    BOOST_REQUIRE(read.has_value());
    return *read;
  }

  void replyToNext() { reader.onReply(store.replyTo(nextRead()), now); }
  void failNext(ReadOutcome outcome) {
    nextRead();
    reader.onReply(failedRead(outcome), now);
  }

  /// Reads from a store that holds routes of version 7 and two backends.
  void begin() {
    store.put("op/config", makeRoutes(7, {{1, "web"}}));
    store.put("servers/1", makeRegistration(1, "web", 1, 1));
    store.put("servers/2", makeRegistration(2, "web", 1, 2));
    replyToNext();
    replyToNext();
  }

  std::size_t activeBackends() { return backends.candidates(core::serviceIdOf("web")).size(); }
};

BOOST_FIXTURE_TEST_SUITE(StoreReaderTest, ReaderFixture)

BOOST_AUTO_TEST_CASE(failing_reads_back_off_longer_with_other_readers) {
  begin();
  reader.setHasOtherReaders(true);
  for (std::uint32_t i = 0; i < core::kFailuresBeforeSeedBackoff; ++i) {
    failNext(ReadOutcome::kUnavailable);
    BOOST_TEST((reader.nextReadAt() - now <= core::kMaxReadBackoff));
  }
  failNext(ReadOutcome::kUnavailable);
  BOOST_TEST((reader.nextReadAt() - now >= core::kReadBackoffWithSeed / 2));
  BOOST_TEST((reader.nextReadAt() - now <= core::kReadBackoffWithSeed));
  BOOST_TEST(!reader.nextRead(now + core::kMaxReadBackoff).has_value());
  // A shorter maximum delay is applied.
  reader.setReadTimings(core::kWatchMaxWait / 2, core::kViewFreshnessPeriod,
                        core::kReadBackoffWithSeed / 2);
  failNext(ReadOutcome::kUnavailable);
  BOOST_TEST((reader.nextReadAt() - now <= core::kReadBackoffWithSeed / 2));
}

BOOST_AUTO_TEST_CASE(pauses_and_shortens_watches_with_other_readers) {
  begin();
  reader.setHasOtherReaders(true);
  now += 5s;
  replyToNext();
  BOOST_TEST((reader.nextReadAt() - now == core::kReadHoldOff));
  BOOST_TEST((nextRead().wait == core::kWatchMaxWait - core::kReadHoldOff));
  reader.onReply(store.replyTo({}), now);
  // No pause while packets wait for a backend.
  reader.onBackendNeeded(now);
  replyToNext();
  BOOST_TEST((reader.nextReadAt() == now));
  BOOST_TEST((nextRead().wait == core::kWatchMaxWait));
}

BOOST_AUTO_TEST_CASE(deferred_catch_up_runs_at_once_when_packets_wait) {
  store.put("op/config", makeRoutes(7, {{1, "web"}}));
  reader.setHasOtherReaders(true);
  replyToNext();
  BOOST_REQUIRE(reader.isCatchingUp());
  reader.deferRead(now + core::kPeerCatchUpTimeout);
  BOOST_TEST(!reader.nextRead(now).has_value());
  reader.onBackendNeeded(now);
  replyToNext();
  BOOST_TEST(reader.isSynchronized());
}

// Guards against an extra read by every daemon whose packets waited for the first view.
BOOST_AUTO_TEST_CASE(packets_waiting_for_first_view_do_not_make_changes_urgent) {
  reader.setHasOtherReaders(true);
  reader.onBackendNeeded(now);
  begin();
  BOOST_TEST((reader.nextReadAt() - now == core::kReadHoldOff));
}

BOOST_AUTO_TEST_CASE(deferred_retry_runs_when_urgent_or_without_other_readers) {
  begin();
  reader.setHasOtherReaders(true);
  for (std::uint32_t i = 0; i <= core::kFailuresBeforeSeedBackoff; ++i) {
    failNext(ReadOutcome::kUnavailable);
  }
  reader.setUrgent(true);
  BOOST_TEST((reader.nextReadAt() - now <= core::kMaxReadBackoff));
  reader.setUrgent(false);
  BOOST_TEST((reader.nextReadAt() - now > core::kMaxReadBackoff));
  reader.setHasOtherReaders(false);
  BOOST_TEST((reader.nextReadAt() - now <= core::kMaxReadBackoff));
}

BOOST_AUTO_TEST_CASE(failing_read_is_deferred_when_other_readers_fail) {
  begin();
  reader.setHasOtherReaders(true);
  reader.setOtherReadersFailing(8s);
  failNext(ReadOutcome::kUnavailable);
  BOOST_TEST((reader.nextReadAt() - now >= 4s));
  BOOST_TEST((reader.nextReadAt() - now <= 8s));
  // Without other readers the retry is not deferred.
  reader.setHasOtherReaders(false);
  BOOST_TEST((reader.nextReadAt() - now <= core::kMaxReadBackoff));
}

BOOST_AUTO_TEST_CASE(read_is_deferred_unless_urgent_or_without_other_readers) {
  begin();
  now = reader.nextReadAt();
  reader.deferRead(now + 2s);
  BOOST_TEST(reader.nextRead(now).has_value());
  reader.onReply(store.replyTo({}), now);
  reader.setHasOtherReaders(true);
  reader.deferRead(now + 2s);
  BOOST_TEST(!reader.nextRead(now + 1s).has_value());
  reader.setUrgent(true);
  BOOST_TEST(reader.nextRead(now + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(each_read_reports_its_cause) {
  using Cause = StoreRead::Cause;
  store.put("op/config", makeRoutes(7, {{1, "web"}}));
  StoreRead last;
  const auto causeOfNext = [this, &last] {
    last = nextRead();
    return last.cause;
  };
  BOOST_TEST((causeOfNext() == Cause::kFirstListing));
  reader.onReply(store.replyTo(last), now);
  BOOST_TEST((causeOfNext() == Cause::kCatchUp));
  reader.onReply(store.replyTo(last), now);
  BOOST_TEST((causeOfNext() == Cause::kFollowStore));
  reader.onReply(failedRead(ReadOutcome::kUnavailable), now);
  BOOST_TEST((causeOfNext() == Cause::kRetry));
  reader.onReply(store.replyTo(last), now);
  reader.setUrgent(true);
  BOOST_TEST((causeOfNext() == Cause::kGap));
  reader.setUrgent(false);
  reader.onResume(now);
  BOOST_TEST((causeOfNext() == Cause::kConfirm));
  reader.onReply(failedRead(ReadOutcome::kHistoryGone), now);
  BOOST_TEST((causeOfNext() == Cause::kRelist));
}

BOOST_AUTO_TEST_CASE(lists_then_watches_from_the_listing) {
  begin();
  BOOST_TEST(reader.isSynchronized());
  BOOST_TEST(routes.version() == 7U);
  BOOST_TEST(activeBackends() == 2U);
  const StoreRead read = nextRead();
  BOOST_TEST((read.kind == StoreRead::Kind::kWatch));
  BOOST_TEST(read.afterRevision == 3U);
  BOOST_TEST(reader.isCurrent(now));
}

BOOST_AUTO_TEST_CASE(makes_one_read_at_a_time) {
  nextRead();
  BOOST_TEST(!reader.nextRead(now + 10s).has_value());
}

// Guards against overloading the store with current listings when a whole fleet starts.
BOOST_AUTO_TEST_CASE(first_listing_is_stale_until_watch_catches_up) {
  store.put("op/config", makeRoutes(7, {{1, "web"}}));
  store.put("servers/1", makeRegistration(1, "web", 1, 1));
  store.freezeStale();
  store.put("servers/1", core::RemovedItem{});
  store.put("op/config", makeRoutes(8, {{1, "web"}}));
  const StoreRead list = nextRead();
  BOOST_TEST(list.stale);
  reader.onReply(store.replyTo(list), now);
  BOOST_TEST(!reader.isSynchronized());
  BOOST_TEST(!reader.isCurrent(now));
  const StoreRead watch = nextRead();
  BOOST_TEST(watch.afterRevision == 2U);
  BOOST_TEST(watch.wait.count() == core::kCatchUpWatchMaxWait.count());
  reader.onReply(store.replyTo(watch), now);
  BOOST_TEST(reader.isSynchronized());
  BOOST_TEST(routes.version() == 8U);
  BOOST_TEST(activeBackends() == 0U);
}

// Guards against repeating stale listings that are older than the store's history forever.
BOOST_AUTO_TEST_CASE(stale_listing_before_kept_history_is_relisted) {
  store.put("op/config", makeRoutes(7, {{1, "web"}}));
  store.freezeStale();
  store.put("servers/1", makeRegistration(1, "web", 1, 1));
  store.compact();
  replyToNext();
  replyToNext();
  const StoreRead read = nextRead();
  BOOST_TEST((read.kind == StoreRead::Kind::kList));
  BOOST_TEST(!read.stale);
  reader.onReply(store.replyTo(read), now);
  BOOST_TEST(reader.isSynchronized());
  BOOST_TEST(activeBackends() == 1U);
}

BOOST_AUTO_TEST_CASE(watch_starts_from_oldest_page) {
  core::StoreReply newer;
  newer.revision = 20;
  newer.hasMore = true;
  newer.lastKey = "a";
  core::StoreReply older;
  older.revision = 15;
  nextRead();
  reader.onReply(newer, now);
  nextRead();
  reader.onReply(older, now);
  BOOST_TEST(nextRead().afterRevision == 15U);
}

BOOST_AUTO_TEST_CASE(applies_changes_between_pages) {
  store.pageSize = 1;
  store.put("op/config", makeRoutes(7, {{1, "web"}}));
  store.put("servers/1", makeRegistration(1, "web", 1, 1));
  store.put("servers/2", makeRegistration(2, "web", 1, 2));
  replyToNext();
  replyToNext();
  // Changes an item of the first page and removes one of the second page before the third is read.
  store.put("op/config", makeRoutes(8, {{1, "web"}}));
  store.put("servers/1", core::RemovedItem{});
  replyToNext();
  replyToNext();
  BOOST_TEST(reader.isSynchronized());
  BOOST_TEST(routes.version() == 8U);
  BOOST_TEST(activeBackends() == 1U);
}

BOOST_AUTO_TEST_CASE(relists_when_history_is_gone) {
  begin();
  store.put("servers/1", core::RemovedItem{});
  store.compact();
  replyToNext();
  BOOST_TEST(!reader.isCurrent(now + core::kViewFreshnessPeriod));
  const StoreRead read = nextRead();
  BOOST_TEST((read.kind == StoreRead::Kind::kList));
  reader.onReply(store.replyTo(read), now);
  BOOST_TEST(activeBackends() == 1U);
}

BOOST_AUTO_TEST_CASE(older_item_never_replaces_newer_one) {
  begin();
  core::StoreReply late;
  late.revision = 2;
  core::Registration old = makeRegistration(1, "other", 1, 9);
  late.changes.push_back({"servers/1", 1, old});
  late.changes.push_back({"op/config", 1, makeRoutes(6, {{1, "old"}})});
  nextRead();
  reader.onReply(late, now);
  BOOST_TEST(activeBackends() == 2U);
  BOOST_TEST(routes.version() == 7U);
  BOOST_TEST(reader.revision() == 3U);
}

// An item written by someone else must not keep the backend in use.
BOOST_AUTO_TEST_CASE(unreadable_item_drains_backend_and_is_reported) {
  begin();
  changes.clear();
  store.put("servers/1", core::UnreadableItem{"no address"});
  replyToNext();
  BOOST_TEST(activeBackends() == 1U);
  BOOST_TEST(backends.find(core::BackendId{1}) != nullptr);
  BOOST_REQUIRE(changes.size() == 2U);
  BOOST_TEST(changes[0].key == "servers/1");
  BOOST_TEST(changes[0].revision == 4U);
  BOOST_TEST(changes[0].reason == "no address");
  BOOST_TEST(changes[1].key == "servers/1");
  BOOST_TEST((changes[1].backendEvent == core::RegistryEvent::kDraining));
  // Unreadable routes leave those in effect unchanged.
  store.put("op/config", core::UnreadableItem{"no version"});
  replyToNext();
  BOOST_TEST(routes.version() == 7U);
}

// Guards against a version that stays out of effect while large items of another writer stand
// before it in the history.
BOOST_AUTO_TEST_CASE(watch_with_too_large_response_is_followed_by_listing) {
  begin();
  store.put("op/config", makeRoutes(8, {{1, "web"}}));
  const StoreRead watch = nextRead();
  BOOST_TEST((watch.kind == StoreRead::Kind::kWatch));
  reader.onReply(failedRead(ReadOutcome::kTooLarge), now);
  BOOST_TEST(reader.isSynchronized());
  const StoreRead listing = nextRead();
  BOOST_TEST((listing.kind == StoreRead::Kind::kList));
  BOOST_TEST((listing.cause == StoreRead::Cause::kRelist));
  BOOST_TEST(listing.afterKey.empty());
  BOOST_TEST(!listing.stale);
  reader.onReply(store.replyTo(listing), now);
  BOOST_TEST(routes.version() == 8U);
  BOOST_TEST(reader.counters().tooLarge == 1U);
  BOOST_TEST(reader.counters().failures == 0U);
}

// Guards against a long watch that the store does not answer after the previous one was lost.
BOOST_AUTO_TEST_CASE(lost_watch_is_followed_by_short_watch) {
  begin();
  failNext(ReadOutcome::kConnectionLost);
  const StoreRead read = nextRead();
  BOOST_TEST((read.kind == StoreRead::Kind::kWatch));
  BOOST_TEST(read.wait.count() == core::kConfirmWatchMaxWait.count());
  BOOST_TEST(!reader.isCurrent(now + core::kViewFreshnessPeriod));
  reader.onReply(store.replyTo(read), now);
  BOOST_TEST(nextRead().wait.count() == core::kWatchMaxWait.count());
}

BOOST_AUTO_TEST_CASE(timeouts_grow_and_reset) {
  const core::Duration first = nextRead().timeout;
  reader.onReply(failedRead(ReadOutcome::kTimedOut), now);
  BOOST_TEST(nextRead().timeout.count() == first.count());
  reader.onReply(failedRead(ReadOutcome::kTimedOut), now);
  failNext(ReadOutcome::kTimedOut);
  BOOST_TEST(nextRead().timeout.count() == 2 * first.count());
  reader.onReply(failedRead(ReadOutcome::kTimedOut), now);
  begin();
  failNext(ReadOutcome::kHistoryGone);
  BOOST_TEST(nextRead().timeout.count() == first.count());
}

BOOST_AUTO_TEST_CASE(retries_against_failing_store_are_bounded) {
  begin();
  std::size_t reads = 0;
  for (const core::Time end = now + 10s; now < end; ++reads) {
    failNext(ReadOutcome::kUnavailable);
  }
  BOOST_TEST(reads < 30U);
  BOOST_TEST(reads > 10U);
  BOOST_TEST(activeBackends() == 2U);
}

// Guards against one read per change and daemon in a burst of changes.
BOOST_AUTO_TEST_CASE(burst_of_changes_is_batched) {
  begin();
  const std::uint64_t watchesBefore = reader.counters().watches;
  const core::Time end = now + 4s;
  for (core::ConfigurationVersion version = 8; now < end; ++version) {
    store.put("op/config", makeRoutes(version, {{1, "web"}}));
    if (now >= reader.nextReadAt()) {
      replyToNext();
    }
    now += 50ms;
  }
  BOOST_TEST(reader.counters().watches - watchesBefore <= 11U);
  now = std::max(now, reader.nextReadAt());
  replyToNext();
  BOOST_TEST(reader.revision() == store.revision());
}

// Guards against directing all new flows to the first of several backends that register in a row.
BOOST_AUTO_TEST_CASE(reads_at_once_while_packets_wait) {
  begin();
  for (std::uint64_t id = 10; id < 20; ++id) {
    now += 100ms;
    reader.onBackendNeeded(now);
    store.put("servers/" + std::to_string(id), makeRegistration(id, "web", 2, 1));
    replyToNext();
    BOOST_TEST(reader.nextReadAt().count() == now.count());
  }
}

BOOST_AUTO_TEST_CASE(single_change_is_followed_by_immediate_watch) {
  begin();
  now += 5s;
  store.put("servers/3", makeRegistration(3, "web", 1, 3));
  replyToNext();
  BOOST_TEST(reader.nextReadAt().count() == now.count());
}

BOOST_AUTO_TEST_CASE(resumed_process_reads_immediately) {
  begin();
  nextRead();
  now += 5s;
  reader.onResume(now);
  BOOST_TEST(reader.nextReadAt().count() == now.count());
  BOOST_TEST(nextRead().wait.count() == core::kConfirmWatchMaxWait.count());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
