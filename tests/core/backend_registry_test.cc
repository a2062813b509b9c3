#include "core/backend_registry.h"

#include <boost/test/unit_test.hpp>

#include "core/hashing.h"
#include "core/weighted_split.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::RegistryEvent;
using namespace std::chrono_literals;

struct RegistryFixture {
  core::EqualWeights weights;
  core::BackendRegistry registry{60s, weights};
  core::Time now = 100s;
  core::ServiceId web = core::serviceIdOf("web");
};

BOOST_FIXTURE_TEST_SUITE(BackendRegistryTest, RegistryFixture)

BOOST_AUTO_TEST_CASE(reports_what_an_item_changed) {
  core::Registration item = makeRegistration(1, "web", 1, 1);
  BOOST_TEST((registry.put("servers/1", item, 1, now) == RegistryEvent::kAdded));
  BOOST_TEST((registry.put("servers/1", item, 2, now) == RegistryEvent::kRefreshed));
  item.softwareVersion = "v2";
  BOOST_TEST((registry.put("servers/1", item, 3, now) == RegistryEvent::kChanged));
  item.state = core::BackendState::kDraining;
  BOOST_TEST((registry.put("servers/1", item, 4, now) == RegistryEvent::kLeaving));
  BOOST_TEST((registry.remove("servers/1", 5, now) == RegistryEvent::kVanished));
  BOOST_TEST((registry.remove("servers/1", 6, now) == RegistryEvent::kNone));
  item.state = core::BackendState::kActive;
  BOOST_TEST((registry.put("servers/1", item, 7, now) == RegistryEvent::kReturned));
}

BOOST_AUTO_TEST_CASE(a_late_item_does_not_bring_a_removed_back_end_back) {
  const core::Registration item = makeRegistration(1, "web", 1, 1);
  registry.put("servers/1", item, 1, now);
  registry.remove("servers/1", 5, now);
  BOOST_TEST((registry.put("servers/1", item, 4, now) == RegistryEvent::kNone));
  BOOST_TEST(!registry.takesNewFlows(BackendId{1}));
}

BOOST_AUTO_TEST_CASE(a_listing_removes_what_is_not_on_it_but_nothing_newer) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.put("servers/2", makeRegistration(2, "web", 1, 2), 2, now);
  registry.put("servers/3", makeRegistration(3, "web", 1, 3), 9, now);
  const std::vector<std::string> vanished = registry.retainOnly({"servers/1"}, 5, now);
  BOOST_TEST(vanished == std::vector<std::string>{"servers/2"});
  BOOST_TEST(registry.candidates(web).size() == 2U);
}

BOOST_AUTO_TEST_CASE(two_back_ends_with_one_token_do_not_both_take_flows) {
  // Ids whose tokens collide are found by search, as the token has 32 bits.
  std::unordered_map<core::SteeringToken, std::uint64_t> seen;
  std::uint64_t id = 1;
  while (seen.try_emplace(core::HashTokenOf(BackendId{id}), id).second) {
    ++id;
  }
  const std::uint64_t other = seen.at(core::HashTokenOf(BackendId{id}));
  registry.put("servers/a", makeRegistration(other, "web", 1, 1), 1, now);
  registry.put("servers/b", makeRegistration(id, "web", 1, 2), 2, now);
  BOOST_TEST(registry.takesNewFlows(BackendId{other}));
  BOOST_TEST(!registry.takesNewFlows(BackendId{id}));
  BOOST_TEST((registry.findByToken(core::HashTokenOf(BackendId{id}))->id == BackendId{other}));
}

// A listing gives items by key; the later back end may come before the one that it replaced.
BOOST_AUTO_TEST_CASE(the_last_at_an_address_is_known_in_whatever_order_they_are_listed) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/b", makeRegistration(2, "other", 1, 1), 5, now);
  BOOST_TEST(registry.takesNewFlows(BackendId{1}));
  BOOST_TEST(registry.hasEnded(BackendId{2}));
  BOOST_TEST(!registry.hasEnded(BackendId{1}));
}

// A write that the store took seconds late named a crashed back end after the one that had taken
// its address; that one was given up for good.
BOOST_AUTO_TEST_CASE(a_late_word_of_the_one_before_does_not_end_the_one_that_lives) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 20, now);
  BOOST_TEST(registry.hasEnded(BackendId{1}));
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 30, now);
  BOOST_TEST(!registry.hasEnded(BackendId{2}));
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 40, now);
  BOOST_TEST(!registry.hasEnded(BackendId{2}));
}

// A listing with both shows the late word alone; the next word of the living one corrects that.
BOOST_AUTO_TEST_CASE(who_writes_again_has_not_ended) {
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 20, now);
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 30, now);
  BOOST_TEST(registry.hasEnded(BackendId{2}));
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 40, now);
  BOOST_TEST(!registry.hasEnded(BackendId{2}));
  BOOST_TEST(registry.takesNewFlows(BackendId{2}));
}

// A list that was collected before the change went on offering it to the service that it left.
BOOST_AUTO_TEST_CASE(one_that_registers_for_another_service_leaves_the_one_before) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  BOOST_TEST(registry.candidates(web).size() == 1U);
  registry.put("servers/a", makeRegistration(1, "api", 1, 1), 20, now);
  BOOST_TEST(registry.candidates(web).empty());
  BOOST_TEST(registry.candidates(core::serviceIdOf("api")).size() == 1U);
  BOOST_TEST(registry.nameOf(web).empty());
}

BOOST_AUTO_TEST_CASE(one_that_registers_at_another_address_is_not_found_at_the_one_before) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/a", makeRegistration(1, "web", 1, 2), 20, now);
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 30, now);
  BOOST_TEST(!registry.hasEnded(BackendId{1}));
  BOOST_TEST(registry.candidates(web).size() == 2U);
}

BOOST_AUTO_TEST_CASE(lists_that_were_collected_follow_every_change) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.put("servers/2", makeRegistration(2, "web", 1, 2), 2, now);
  BOOST_TEST(registry.candidates(web).size() == 2U);
  core::Registration leaving = makeRegistration(1, "web", 1, 1);
  leaving.state = core::BackendState::kDraining;
  registry.put("servers/1", leaving, 3, now);
  BOOST_TEST(registry.candidates(web).size() == 1U);
  BOOST_TEST(registry.findCandidate(BackendId{1}) == nullptr);
  registry.put("servers/3", makeRegistration(3, "web", 1, 2), 4, now);
  BOOST_TEST(registry.findCandidate(BackendId{2}) == nullptr);
  BOOST_TEST(registry.findCandidate(BackendId{3}) != nullptr);
  registry.remove("servers/3", 5, now);
  BOOST_TEST(registry.candidateCount() == 0U);
  BOOST_TEST(registry.activeCount() == 0U);
}

BOOST_AUTO_TEST_CASE(what_vanished_is_told_by_its_last_departure) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.remove("servers/1", 2, now);
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 3, now + 1s);
  registry.remove("servers/1", 4, now + 1s);
  BOOST_TEST(registry.vanishedSince(web, now - 1s).size() == 1U);
  BOOST_TEST(registry.vanishedSince(web, now + 1s).empty());
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 5, now + 2s);
  BOOST_TEST(registry.vanishedSince(web, now - 1s).empty());
}

BOOST_AUTO_TEST_CASE(pages_go_through_all_that_are_there) {
  for (std::uint8_t id = 1; id <= 5; ++id) {
    registry.put("servers/" + std::to_string(id), makeRegistration(id, "web", 1, id), id, now);
  }
  registry.remove("servers/2", 9, now);
  const std::vector<core::StoreChange> first = registry.contentsAfter("", 2);
  BOOST_REQUIRE(first.size() == 2U);
  BOOST_TEST(first[1].key == "servers/3");
  BOOST_TEST(registry.contentsAfter(first[1].key, 9).size() == 2U);
  BOOST_TEST(registry.contentsAfter("servers/5", 9).empty());
}

core::Registration startedAt(std::uint64_t startedAtMs) {
  core::Registration item = makeRegistration(1, "web", 1, 1);
  item.startedAtMs = startedAtMs;
  return item;
}

BOOST_AUTO_TEST_CASE(one_that_starts_again_under_its_id_is_told) {
  registry.put("servers/1", startedAt(1000), 1, now);
  BOOST_TEST((registry.put("servers/1", startedAt(1000), 2, now) == RegistryEvent::kRefreshed));
  BOOST_TEST(registry.takeRestarted().empty());
  BOOST_TEST((registry.put("servers/1", startedAt(2000), 3, now) == RegistryEvent::kRestarted));
  BOOST_TEST((registry.takeRestarted() == std::vector<BackendId>{BackendId{1}}));
  BOOST_TEST(registry.takeRestarted().empty());
}

// The store may take a write of the run before seconds after the new one registered.
BOOST_AUTO_TEST_CASE(a_late_word_of_the_run_before_changes_nothing) {
  registry.put("servers/1", startedAt(1000), 1, now);
  core::Registration next = startedAt(2000);
  next.endpoint.port = 9000;
  registry.put("servers/1", next, 2, now);
  core::Registration late = startedAt(1000);
  late.state = core::BackendState::kDraining;
  BOOST_TEST((registry.put("servers/1", late, 3, now) == RegistryEvent::kNone));
  BOOST_TEST(registry.takesNewFlows(BackendId{1}));
  BOOST_TEST(registry.find(BackendId{1})->endpoint.port == 9000U);
  // Of what is not told no order follows.
  BOOST_TEST((registry.put("servers/2", makeRegistration(2, "web", 1, 2), 4, now) ==
              RegistryEvent::kAdded));
  BOOST_TEST((registry.put("servers/2", makeRegistration(2, "web", 1, 2), 5, now) ==
              RegistryEvent::kRefreshed));
}

BOOST_AUTO_TEST_CASE(a_removal_ends_nobody) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 20, now);
  registry.retainOnly({"servers/b"}, 30, now);
  BOOST_TEST(!registry.hasEnded(BackendId{2}));
}

BOOST_AUTO_TEST_CASE(departed_back_ends_are_forgotten_in_time) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.remove("servers/1", 2, now);
  registry.forgetDeparted(now + 59s);
  BOOST_TEST(registry.size() == 1U);
  registry.forgetDeparted(now + 60s);
  BOOST_TEST(registry.size() == 0U);
}

BOOST_AUTO_TEST_CASE(splits_that_start_apart_keep_the_weights_between_them) {
  int first = 0;
  constexpr int kDaemons = 200;
  for (std::uint64_t start = 0; start < kDaemons; ++start) {
    core::WeightedSplit split({{"a", 90}, {"b", 10}}, core::mixHash(start, 1));
    first += split.next() == 0 ? 1 : 0;
  }
  // A plain round robin would begin with the first target at every daemon.
  BOOST_TEST(first > 160);
  BOOST_TEST(first < 195);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
