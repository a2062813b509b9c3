/// Tests of StoreReader with a sampled first listing of many backends.
#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "core/store_reader.h"
#include "core/view_updater.h"
#include "sim/seeded_random.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::StoreRead;
using Kind = core::ListingRange::Kind;
using namespace std::chrono_literals;

constexpr std::uint64_t kBackends = 10'000;

struct SampledViewFixture {
  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::RouteTable routes{0};
  core::ChangeLog log;
  std::vector<core::ViewChange> changes;
  core::ViewUpdater updater{backends, routes,
                            [this](const core::ViewChange& change) { changes.push_back(change); },
                            &log};
  core::StoreReader reader{updater, random};
  FakeStore store;
  core::Time now = 1s;

  SampledViewFixture() {
    store.put("op/config", makeRoutes(7, {{1, "web"}}));
    for (std::uint64_t id = 1; id <= kBackends; ++id) {
      store.put(keyOf(id), backend(id));
    }
    reader.enableSampling(3);
  }

  static std::string keyOf(std::uint64_t id) { return "servers/" + std::to_string(id); }
  static core::Registration backend(std::uint64_t id) {
    return makeRegistration(id, "web", static_cast<std::uint8_t>(1 + id / 200),
                            static_cast<std::uint8_t>(id % 200));
  }

  StoreRead nextRead() {
    now = std::max(now, reader.nextReadAt());
    const std::optional<StoreRead> read = reader.nextRead(now);
    BOOST_REQUIRE(read.has_value());
    return *read;
  }
  StoreRead replyToNext() {
    StoreRead read = nextRead();
    reader.onReply(store.replyTo(read), now);
    return read;
  }
  /// Reads until the view is synchronized.
  void begin() {
    while (!reader.isSynchronized()) {
      replyToNext();
    }
  }
  void backfillAll() {
    reader.setBackfilling(true);
    while (!reader.hasAllBackends()) {
      replyToNext();
    }
  }
  std::uint64_t unknownId() {
    for (std::uint64_t id = 1;; ++id) {
      if (!backends.knows(keyOf(id))) {
        return id;
      }
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(SampledViewTest, SampledViewFixture)

// Guards against reading all backends before the first flow can be accepted.
BOOST_AUTO_TEST_CASE(accepts_flows_after_two_listings_and_a_watch) {
  BOOST_TEST((replyToNext().range.kind == Kind::kOperators));
  BOOST_TEST((replyToNext().range.kind == Kind::kBackendPartition));
  BOOST_TEST((replyToNext().kind == StoreRead::Kind::kWatch));
  BOOST_TEST(reader.isSynchronized());
  BOOST_TEST(!reader.hasAllBackends());
  BOOST_TEST(routes.version() == 7U);
  BOOST_TEST(backends.size() >= core::kPlacementSampleSize);
  BOOST_TEST(backends.size() <= 100U);
}

BOOST_AUTO_TEST_CASE(backfill_pages_alternate_with_watches_until_done) {
  begin();
  reader.setBackfilling(true);
  BOOST_TEST((replyToNext().cause == StoreRead::Cause::kMissingPage));
  const StoreRead watch = replyToNext();
  BOOST_TEST((watch.kind == StoreRead::Kind::kWatch));
  BOOST_TEST((watch.wait == core::kCatchUpWatchMaxWait));
  BOOST_TEST((replyToNext().cause == StoreRead::Cause::kMissingPage));
  backfillAll();
  BOOST_TEST(backends.size() == kBackends);
  BOOST_TEST((nextRead().kind == StoreRead::Kind::kWatch));
}

BOOST_AUTO_TEST_CASE(follower_reads_only_backfill_pages) {
  begin();
  reader.setActive(false);
  BOOST_TEST(!reader.isActive());
  reader.setBackfilling(true);
  BOOST_TEST(reader.isActive());
  BOOST_TEST((replyToNext().cause == StoreRead::Cause::kMissingPage));
  BOOST_TEST((replyToNext().cause == StoreRead::Cause::kMissingPage));
  // A pending backfill page does not show that the view is current.
  now += 10s;
  nextRead();
  BOOST_TEST(!reader.isCurrent(now));
}

// Guards against propagating backfilled backends to followers as changes.
BOOST_AUTO_TEST_CASE(backfilled_backends_are_not_logged_as_changes) {
  begin();
  log.Close(reader.revision());
  changes.clear();
  backfillAll();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].kind == core::ViewChange::Kind::kAllBackendsKnown));
  BOOST_TEST(changes[0].backends == kBackends);
  store.put("servers/1", core::RemovedItem{});
  while (backends.candidates(core::serviceIdOf("web")).size() == kBackends) {
    replyToNext();
  }
  log.Close(reader.revision());
  const auto range = log.Since(store.revision() - 1);
  BOOST_REQUIRE(range.has_value());
  BOOST_TEST(range->Changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(older_backfill_page_does_not_restore_removed_backend) {
  begin();
  const std::uint64_t id = unknownId();
  const core::StoreChange seen{keyOf(id), id + 1, backend(id)};
  updater.onChange({keyOf(id), store.revision() + 1, core::RemovedItem{}}, now);
  updater.onMissingItem(seen, now);
  BOOST_TEST(!backends.takesNewFlows(core::BackendId{id}));
  // A later registration is applied.
  updater.onMissingItem({keyOf(id), store.revision() + 2, backend(id)}, now);
  BOOST_TEST(backends.takesNewFlows(core::BackendId{id}));
}

BOOST_AUTO_TEST_CASE(lost_history_during_sampling_restarts_sample) {
  store.freezeStale();
  store.put(keyOf(kBackends + 1), backend(kBackends + 1));
  store.compact();
  replyToNext();
  replyToNext();
  replyToNext();  // The watch; the history is gone.
  const StoreRead again = nextRead();
  BOOST_TEST((again.range.kind == Kind::kOperators));
  BOOST_TEST(!again.stale);
  reader.onReply(store.replyTo(again), now);
  replyToNext();
  BOOST_TEST(reader.isSynchronized());
  BOOST_TEST(!reader.hasAllBackends());
}

BOOST_AUTO_TEST_CASE(lost_history_with_view_in_use_lists_everything) {
  begin();
  store.compact();
  store.put(keyOf(1), core::RemovedItem{});
  store.compact();
  while (!reader.isListing()) {
    replyToNext();
  }
  BOOST_TEST((nextRead().range.kind == Kind::kEverything));
}

// The listing ends after a peer supplied a full view, and must not remove anything from it.
BOOST_AUTO_TEST_CASE(late_sample_does_not_remove_backends_from_full_view) {
  replyToNext();
  const StoreRead part = nextRead();
  for (std::uint64_t id = 1; id <= kBackends; ++id) {
    updater.onChange({keyOf(id), id + 1, backend(id)}, now);
  }
  reader.adopt(store.revision());
  reader.markAllBackendsKnown();
  reader.onReply(store.replyTo(part), now);
  BOOST_TEST(reader.hasAllBackends());
  BOOST_TEST(backends.candidates(core::serviceIdOf("web")).size() == kBackends);
}

BOOST_AUTO_TEST_CASE(small_fleet_gets_full_view_at_once) {
  FakeStore small;
  small.put("op/config", makeRoutes(7, {{1, "web"}}));
  for (std::uint64_t id = 1; id <= 18; ++id) {
    small.put(keyOf(id), backend(id));
  }
  std::swap(store, small);
  begin();
  BOOST_TEST(reader.hasAllBackends());
  BOOST_TEST(backends.size() == 18U);
  BOOST_TEST(reader.counters().lists == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
