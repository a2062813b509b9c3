/// @file
/// What a back end has said of itself, and a store that shows something older: it came back from a
/// copy, or took a write late.
#include <boost/test/unit_test.hpp>

#include "core/backend_registry.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::BackendState;
using core::RegistryEvent;
using core::Revision;
using core::StoreEra;
using namespace std::chrono_literals;

constexpr const char* kKey = "servers/1";

struct AnnouncedEndsFixture {
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::Time now = 100s;

  std::uint64_t startedAtMs = 0;

  RegistryEvent say(BackendState state, std::uint64_t statement, Revision revision) {
    core::Registration registration = makeRegistration(1, "web", 1, 1);
    registration.startedAtMs = startedAtMs;
    registration.state = state;
    registration.statement = statement;
    return backends.put(kKey, registration, revision, now);
  }

  bool takesNewFlows() const { return backends.takesNewFlows(BackendId{1}); }
};

BOOST_FIXTURE_TEST_SUITE(AnnouncedEndsTest, AnnouncedEndsFixture)

BOOST_AUTO_TEST_CASE(an_announced_end_outlives_a_copy_without_it) {
  for (const std::uint64_t told : {0U, 1U}) {
    const std::uint64_t base = told * 10;
    say(BackendState::kActive, told * base, {StoreEra{1 + base}, 20});
    say(BackendState::kDraining, told * (base + 2), {StoreEra{1 + base}, 46});
    BOOST_TEST(!takesNewFlows());
    say(BackendState::kActive, told * (base + 1), {StoreEra{2 + base}, 30});
    BOOST_TEST(!takesNewFlows());
    say(BackendState::kDraining, told * (base + 3), {StoreEra{2 + base}, 45});
    BOOST_TEST(!takesNewFlows());
  }
}

BOOST_AUTO_TEST_CASE(an_end_that_is_taken_back_in_a_later_era_is_taken_back) {
  say(BackendState::kActive, 10, {StoreEra{1}, 20});
  say(BackendState::kDraining, 12, {StoreEra{1}, 46});
  say(BackendState::kActive, 13, {StoreEra{2}, 45});
  BOOST_TEST(takesNewFlows());
}

BOOST_AUTO_TEST_CASE(an_older_statement_that_the_store_takes_late_changes_nothing) {
  startedAtMs = 5;
  say(BackendState::kActive, 10, 20);
  say(BackendState::kDraining, 12, 21);
  BOOST_TEST((say(BackendState::kActive, 11, 22) == RegistryEvent::kNone));
  BOOST_TEST(!takesNewFlows());
}

// It has started again under its id, and begins its numbers anew.
BOOST_AUTO_TEST_CASE(numbers_that_begin_anew_are_taken) {
  say(BackendState::kActive, 10, 20);
  BOOST_TEST((say(BackendState::kDraining, 1, 21) == RegistryEvent::kLeaving));
  startedAtMs = 5;
  say(BackendState::kDraining, 10, 22);
  backends.remove(kKey, 23, now);
  say(BackendState::kActive, 1, 24);
  BOOST_TEST(takesNewFlows());
}

BOOST_AUTO_TEST_CASE(a_back_end_that_left_and_is_back_in_a_copy_takes_no_new_flow) {
  say(BackendState::kActive, 10, {StoreEra{1}, 20});
  say(BackendState::kDraining, 12, {StoreEra{1}, 46});
  backends.remove(kKey, {StoreEra{1}, 47}, now);
  say(BackendState::kActive, 11, {StoreEra{2}, 30});
  BOOST_TEST(!takesNewFlows());
}

// A registration lapses where its heartbeats are late. They raise no revision, so nothing but the
// copy's item would say that the back end is there.
BOOST_AUTO_TEST_CASE(a_back_end_that_lapsed_and_is_back_in_a_copy_takes_flows) {
  say(BackendState::kActive, 10, {StoreEra{1}, 20});
  backends.remove(kKey, {StoreEra{1}, 47}, now);
  BOOST_TEST(!takesNewFlows());
  say(BackendState::kActive, 10, {StoreEra{2}, 20});
  BOOST_TEST(takesNewFlows());
}

BOOST_AUTO_TEST_CASE(a_listing_of_a_later_era_knows_what_was_there_before) {
  say(BackendState::kActive, 10, {StoreEra{1}, 20});
  core::Registration item = *backends.presentAt(kKey);
  item.statement = 14;
  BOOST_TEST(backends.knowsFromEarlierEra(kKey, item, {StoreEra{2}, 20}));
  BOOST_TEST(!backends.knowsFromEarlierEra(kKey, item, {StoreEra{1}, 20}));
  BOOST_TEST(!backends.knowsFromEarlierEra(kKey, item, {StoreEra{2}, 45}));
  item.state = BackendState::kDraining;
  BOOST_TEST(!backends.knowsFromEarlierEra(kKey, item, {StoreEra{2}, 20}));
  backends.remove(kKey, {StoreEra{1}, 47}, now);
  item.state = BackendState::kActive;
  BOOST_TEST(!backends.knowsFromEarlierEra(kKey, item, {StoreEra{2}, 20}));
}

// A copy lacked it, and it was written again under the number that it had had before.
BOOST_AUTO_TEST_CASE(a_change_under_the_same_number_is_a_change) {
  say(BackendState::kActive, 10, {StoreEra{1}, 20});
  BOOST_TEST((say(BackendState::kActive, 11, {StoreEra{2}, 20}) == RegistryEvent::kRefreshed));
  backends.remove(kKey, {StoreEra{2}, 18}, now);
  BOOST_TEST(takesNewFlows());
}

// Its address belongs to a later back end, which the copy lacked.
BOOST_AUTO_TEST_CASE(a_ghost_ends_when_the_back_end_at_its_address_is_written_again) {
  const auto put = [this](std::uint64_t id, Revision revision) {
    backends.put("servers/" + std::to_string(id), makeRegistration(id, "web", 1, 1), revision, now);
  };
  put(1, {StoreEra{1}, 20});
  backends.remove(kKey, {StoreEra{1}, 40}, now);
  put(2, {StoreEra{1}, 45});
  BOOST_TEST(backends.takesNewFlows(BackendId{2}));
  put(1, {StoreEra{2}, 20});
  backends.retainOnly({kKey}, {StoreEra{2}, 35}, now);
  put(2, {StoreEra{2}, 36});
  BOOST_TEST(backends.takesNewFlows(BackendId{2}));
  BOOST_TEST(!takesNewFlows());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
