/// @file
/// A reader whose store comes back from an older copy: what was asked of one copy and answered by
/// another.
#include <boost/test/unit_test.hpp>

#include "core/view_updater.h"
#include "sim/seeded_random.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::ReadOutcome;
using namespace std::chrono_literals;

struct EraReaderFixture {
  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::RouteTable routes{0};
  core::ViewUpdater updater{backends, routes, [](const core::ViewChange&) {}};
  core::StoreReader reader{updater, random};
  FakeStore store;
  core::Time now = 1s;

  EraReaderFixture() {
    for (std::uint64_t id = 1; id <= 3; ++id) {
      add(id);
    }
    answerNext();
    answerNext();
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

  ReadOutcome answerNext() { return reader.onReply(store.answer(nextRead()), now); }

  std::size_t candidates() { return backends.candidates(core::serviceIdOf("web")).size(); }
};

BOOST_FIXTURE_TEST_SUITE(StoreEraReaderTest, EraReaderFixture)

// The store has given out again more revisions than this view had seen, so that a watch from there
// is answered: by what came after, without what came before.
BOOST_AUTO_TEST_CASE(a_watch_that_a_later_copy_answers_misses_nothing) {
  const FakeStore::Copy copy = store.copy();
  add(4);
  answerNext();
  store.comeBackFrom(copy);
  for (std::uint64_t id = 5; id <= 7; ++id) {
    add(id);
  }
  BOOST_TEST((answerNext() == ReadOutcome::kHistoryGone));
  answerNext();
  BOOST_TEST(candidates() == 6U);
  BOOST_TEST(!backends.takesNewFlows(core::BackendId{4}));
  BOOST_TEST((answerNext() == ReadOutcome::kAnswered));
  BOOST_TEST(reader.revision() == store.revision());
}

// A peer's changes have moved the view into the new era while the watch was under way.
BOOST_AUTO_TEST_CASE(
    a_watch_from_an_earlier_era_counts_for_nothing_after_a_peer_told_of_the_new_one) {
  const FakeStore::Copy copy = store.copy();
  add(4);
  answerNext();
  const core::StoreRead watch = nextRead();
  store.comeBackFrom(copy);
  add(5);
  reader.adopt(store.revision());
  for (std::uint64_t id = 6; id <= 8; ++id) {
    add(id);
  }
  BOOST_TEST((reader.onReply(store.answer(watch), now) == ReadOutcome::kHistoryGone));
}

BOOST_AUTO_TEST_CASE(an_answer_of_an_earlier_copy_is_refused) {
  const FakeStore before = store;
  store.comeBackFrom(store.copy());
  answerNext();
  answerNext();
  const core::Revision revision = reader.revision();
  BOOST_TEST((reader.onReply(before.answer(nextRead()), now) == ReadOutcome::kEraOver));
  BOOST_TEST(reader.revision() == revision);
  BOOST_TEST(reader.isFailing());
  BOOST_TEST((answerNext() == ReadOutcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(pages_of_two_copies_make_no_listing) {
  store.compact();
  store.pageSize = 2;
  const FakeStore::Copy copy = store.copy();
  store.comeBackFrom(copy);
  BOOST_TEST((answerNext() == ReadOutcome::kHistoryGone));
  answerNext();
  store.comeBackFrom(copy);
  add(0x10);
  BOOST_TEST((answerNext() == ReadOutcome::kHistoryGone));
  while (reader.isListing()) {
    answerNext();
  }
  BOOST_TEST(candidates() == 4U);
  BOOST_TEST(reader.revision() == store.revision());
}

BOOST_AUTO_TEST_CASE(several_returns_in_a_row_are_one_loss_each) {
  for (std::uint64_t id = 10; id < 15; ++id) {
    const FakeStore::Copy copy = store.copy();
    add(id);
    answerNext();
    store.comeBackFrom(copy);
    BOOST_TEST((answerNext() == ReadOutcome::kHistoryGone));
    answerNext();
    BOOST_TEST(candidates() == 3U);
  }
  BOOST_TEST(reader.counters().historyGone == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
