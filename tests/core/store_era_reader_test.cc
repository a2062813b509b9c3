/// @file
/// Tests of StoreReader with a store that is restored from an older copy between request and
/// response.
#include <boost/test/unit_test.hpp>

#include "core/view_updater.h"
#include "sim/seeded_random.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::ReadOutcome;
using namespace std::chrono_literals;

struct StoreEraReaderFixture {
  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::RouteTable routes{0};
  core::ViewUpdater updater{backends, routes, [](const core::ViewChange&) {}};
  core::StoreReader reader{updater, random};
  FakeStore store;
  core::Time now = 1s;

  StoreEraReaderFixture() {
    for (std::uint64_t id = 1; id <= 3; ++id) {
      add(id);
    }
    replyToNext();
    replyToNext();
  }

  void add(std::uint64_t id) {
    store.put("servers/" + std::to_string(id),
              makeRegistration(id, "web", 1, static_cast<std::uint8_t>(id)));
  }

  core::StoreRead nextRead() {
    now = std::max(now, reader.nextReadAt());
    const std::optional<core::StoreRead> read = reader.nextRead(now);
    BOOST_REQUIRE(read.has_value());
    return *read;
  }

  ReadOutcome replyToNext() { return reader.onReply(store.replyTo(nextRead()), now); }

  std::size_t candidates() { return backends.candidates(core::serviceIdOf("web")).size(); }
};

BOOST_FIXTURE_TEST_SUITE(StoreEraReaderTest, StoreEraReaderFixture)

// Guards against a watch that the restored store answers because it has assigned the revisions
// again, without the changes before them.
BOOST_AUTO_TEST_CASE(watch_answered_by_restored_store_relists) {
  const FakeStore::Snapshot snapshot = store.snapshot();
  add(4);
  replyToNext();
  store.restore(snapshot);
  for (std::uint64_t id = 5; id <= 7; ++id) {
    add(id);
  }
  BOOST_TEST((replyToNext() == ReadOutcome::kHistoryGone));
  replyToNext();
  BOOST_TEST(candidates() == 6U);
  BOOST_TEST(!backends.takesNewFlows(core::BackendId{4}));
  BOOST_TEST((replyToNext() == ReadOutcome::kSucceeded));
  BOOST_TEST(reader.revision() == store.revision());
}

// Changes of a peer moved the view to the new era while the watch was pending.
BOOST_AUTO_TEST_CASE(watch_from_earlier_era_is_discarded_after_peer_update) {
  const FakeStore::Snapshot snapshot = store.snapshot();
  add(4);
  replyToNext();
  const core::StoreRead watch = nextRead();
  store.restore(snapshot);
  add(5);
  reader.adopt(store.revision());
  for (std::uint64_t id = 6; id <= 8; ++id) {
    add(id);
  }
  BOOST_TEST((reader.onReply(store.replyTo(watch), now) == ReadOutcome::kHistoryGone));
}

BOOST_AUTO_TEST_CASE(response_of_earlier_era_is_rejected) {
  const FakeStore before = store;
  store.restore(store.snapshot());
  replyToNext();
  replyToNext();
  const core::Revision revision = reader.revision();
  BOOST_TEST((reader.onReply(before.replyTo(nextRead()), now) == ReadOutcome::kOutdatedEra));
  BOOST_TEST(reader.revision() == revision);
  BOOST_TEST(reader.isFailing());
  BOOST_TEST((replyToNext() == ReadOutcome::kSucceeded));
}

BOOST_AUTO_TEST_CASE(listing_with_pages_of_two_eras_restarts) {
  store.compact();
  store.pageSize = 2;
  const FakeStore::Snapshot snapshot = store.snapshot();
  store.restore(snapshot);
  BOOST_TEST((replyToNext() == ReadOutcome::kHistoryGone));
  replyToNext();
  store.restore(snapshot);
  add(0x10);
  BOOST_TEST((replyToNext() == ReadOutcome::kHistoryGone));
  while (reader.isListing()) {
    replyToNext();
  }
  BOOST_TEST(candidates() == 4U);
  BOOST_TEST(reader.revision() == store.revision());
}

BOOST_AUTO_TEST_CASE(each_restore_counts_as_one_history_loss) {
  for (std::uint64_t id = 10; id < 15; ++id) {
    const FakeStore::Snapshot snapshot = store.snapshot();
    add(id);
    replyToNext();
    store.restore(snapshot);
    BOOST_TEST((replyToNext() == ReadOutcome::kHistoryGone));
    replyToNext();
    BOOST_TEST(candidates() == 3U);
  }
  BOOST_TEST(reader.counters().historyGone == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
