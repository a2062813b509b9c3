#include "core/backend_registry.h"

#include <boost/test/unit_test.hpp>

#include "core/hashing.h"
#include "core/weighted_split.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::AddressClaim;
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

BOOST_AUTO_TEST_CASE(reports_event_of_each_item) {
  core::Registration item = makeRegistration(1, "web", 1, 1);
  BOOST_TEST((registry.put("servers/1", item, 1, now) == RegistryEvent::kAdded));
  BOOST_TEST((registry.put("servers/1", item, 2, now) == RegistryEvent::kRefreshed));
  item.softwareVersion = "v2";
  BOOST_TEST((registry.put("servers/1", item, 3, now) == RegistryEvent::kChanged));
  item.state = core::BackendState::kDraining;
  BOOST_TEST((registry.put("servers/1", item, 4, now) == RegistryEvent::kDraining));
  BOOST_TEST((registry.remove("servers/1", 5, now) == RegistryEvent::kRemoved));
  BOOST_TEST((registry.remove("servers/1", 6, now) == RegistryEvent::kNone));
  item.state = core::BackendState::kActive;
  BOOST_TEST((registry.put("servers/1", item, 7, now) == RegistryEvent::kReactivated));
}

BOOST_AUTO_TEST_CASE(older_item_does_not_restore_removed_backend) {
  const core::Registration item = makeRegistration(1, "web", 1, 1);
  registry.put("servers/1", item, 1, now);
  registry.remove("servers/1", 5, now);
  BOOST_TEST((registry.put("servers/1", item, 4, now) == RegistryEvent::kNone));
  BOOST_TEST(!registry.takesNewFlows(BackendId{1}));
}

BOOST_AUTO_TEST_CASE(listing_removes_absent_items_except_newer_ones) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.put("servers/2", makeRegistration(2, "web", 1, 2), 2, now);
  registry.put("servers/3", makeRegistration(3, "web", 1, 3), 9, now);
  const std::vector<std::string> removed = registry.retainOnly({"servers/1"}, 5, now);
  BOOST_TEST(removed == std::vector<std::string>{"servers/2"});
  BOOST_TEST(registry.candidates(web).size() == 2U);
}

BOOST_AUTO_TEST_CASE(backends_with_colliding_tokens_do_not_both_take_flows) {
  // Searches for two ids with the same 32-bit token.
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
  // The order in which a daemon hears of them makes no difference.
  core::BackendRegistry reversed{60s, weights};
  reversed.put("servers/b", makeRegistration(id, "web", 1, 2), 2, now);
  BOOST_TEST(reversed.findCandidate(BackendId{id}) != nullptr);
  reversed.put("servers/a", makeRegistration(other, "web", 1, 1), 3, now);
  BOOST_TEST(reversed.findCandidate(BackendId{other}) != nullptr);
  BOOST_TEST(reversed.findCandidate(BackendId{id}) == nullptr);
  reversed.remove("servers/a", 4, now);
  reversed.discardExpired(now + 60s);
  BOOST_TEST(reversed.findCandidate(BackendId{id}) != nullptr);
}

core::Registration startedAt(std::uint64_t startedAtMs, std::uint64_t id = 1) {
  core::Registration item = makeRegistration(id, "web", 1, 1);
  item.startedAtMs = startedAtMs;
  return item;
}

// Listings are ordered by key, so the later backend may come before the one that it replaced.
BOOST_AUTO_TEST_CASE(latest_backend_at_address_is_independent_of_listing_order) {
  registry.put("servers/a", startedAt(2000, 1), 10, now);
  registry.put("servers/b", startedAt(1000, 2), 5, now);
  BOOST_TEST(registry.takesNewFlows(BackendId{1}));
  BOOST_TEST(!registry.takesNewFlows(BackendId{2}));
  BOOST_TEST((registry.claimOf(BackendId{2}) == AddressClaim::kSuperseded));
  BOOST_TEST((registry.claimOf(BackendId{1}) == AddressClaim::kUndisputed));
}

// Without start times, the later write may be a delayed one of a backend that has ended.
BOOST_AUTO_TEST_CASE(later_write_at_address_deprioritizes_the_earlier_backend) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 5, now);
  BOOST_TEST((registry.claimOf(BackendId{2}) == AddressClaim::kContested));
  BOOST_TEST((registry.claimOf(BackendId{1}) == AddressClaim::kUndisputed));
  BOOST_TEST(registry.findCandidate(BackendId{2})->isContested);
  BOOST_TEST(!registry.findCandidate(BackendId{1})->isContested);
}

// Guards against superseding a live backend when the store applies a delayed write of a crashed one
// at the same address, at daemons that have seen the crashed one before and at those that have not.
BOOST_AUTO_TEST_CASE(late_update_of_previous_backend_does_not_supersede_current_one) {
  core::BackendRegistry startedLater{60s, weights};
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 20, now);
  registry.remove("servers/a", 25, now);
  startedLater.put("servers/b", makeRegistration(2, "web", 1, 1), 20, now);
  for (core::BackendRegistry* daemon : {&registry, &startedLater}) {
    daemon->put("servers/a", makeRegistration(1, "web", 1, 1), 30, now);
    BOOST_TEST((daemon->claimOf(BackendId{2}) == AddressClaim::kContested));
    BOOST_TEST(daemon->takesNewFlows(BackendId{2}));
    daemon->put("servers/b", makeRegistration(2, "web", 1, 1), 40, now);
    BOOST_TEST((daemon->claimOf(BackendId{2}) == AddressClaim::kUndisputed));
  }
}

// Guards against a verdict about an address that outlasts the item that caused it.
BOOST_AUTO_TEST_CASE(claim_ends_when_the_other_item_leaves_the_address) {
  for (const std::uint64_t start : {0U, 2000U}) {
    core::BackendRegistry backends{60s, weights};
    const auto isUndisputed = [&backends] {
      return backends.claimOf(BackendId{2}) == AddressClaim::kUndisputed &&
             backends.takesNewFlows(BackendId{2});
    };
    backends.put("servers/b", startedAt(start / 2, 2), 20, now);
    backends.put("servers/a", startedAt(start, 1), 30, now);
    BOOST_TEST(!isUndisputed());
    backends.remove("servers/a", 31, now);
    BOOST_TEST(isUndisputed());
    backends.put("servers/a", startedAt(start, 1), 32, now);
    BOOST_TEST(!isUndisputed());
    core::Registration moved = startedAt(start, 1);
    moved.endpoint.port = 9000;
    backends.put("servers/a", moved, 33, now);
    BOOST_TEST(isUndisputed());
    backends.put("servers/a", startedAt(start, 1), 34, now);
    BOOST_TEST(!isUndisputed());
    backends.retainOnly({"servers/b"}, 35, now);
    BOOST_TEST(isUndisputed());
  }
}

// Guards against a cached candidate list that keeps a backend after it changed its service.
BOOST_AUTO_TEST_CASE(changing_service_leaves_previous_service) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  BOOST_TEST(registry.candidates(web).size() == 1U);
  registry.put("servers/a", makeRegistration(1, "api", 1, 1), 20, now);
  BOOST_TEST(registry.candidates(web).empty());
  BOOST_TEST(registry.candidates(core::serviceIdOf("api")).size() == 1U);
  BOOST_TEST(registry.nameOf(web).empty());
}

BOOST_AUTO_TEST_CASE(changing_address_leaves_previous_address) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/a", makeRegistration(1, "web", 1, 2), 20, now);
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 30, now);
  BOOST_TEST((registry.claimOf(BackendId{1}) == AddressClaim::kUndisputed));
  BOOST_TEST(registry.candidates(web).size() == 2U);
}

BOOST_AUTO_TEST_CASE(cached_candidate_lists_follow_every_change) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.put("servers/2", makeRegistration(2, "web", 1, 2), 2, now);
  BOOST_TEST(registry.candidates(web).size() == 2U);
  core::Registration leaving = makeRegistration(1, "web", 1, 1);
  leaving.state = core::BackendState::kDraining;
  registry.put("servers/1", leaving, 3, now);
  BOOST_TEST(registry.candidates(web).size() == 1U);
  BOOST_TEST(registry.findCandidate(BackendId{1}) == nullptr);
  core::Registration earlier = makeRegistration(2, "web", 1, 2);
  earlier.startedAtMs = 1000;
  registry.put("servers/2", earlier, 4, now);
  core::Registration later = makeRegistration(3, "web", 1, 2);
  later.startedAtMs = 2000;
  registry.put("servers/3", later, 5, now);
  BOOST_TEST(registry.findCandidate(BackendId{2}) == nullptr);
  BOOST_TEST(registry.findCandidate(BackendId{3}) != nullptr);
  registry.remove("servers/3", 6, now);
  BOOST_TEST(registry.findCandidate(BackendId{2}) != nullptr);
  registry.remove("servers/2", 7, now);
  BOOST_TEST(registry.candidateCount() == 0U);
  BOOST_TEST(registry.activeCount() == 0U);
}

BOOST_AUTO_TEST_CASE(unannounced_removals_are_reported_by_last_removal) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.remove("servers/1", 2, now);
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 3, now + 1s);
  registry.remove("servers/1", 4, now + 1s);
  BOOST_TEST(registry.unannouncedRemovalsSince(web, now - 1s).size() == 1U);
  BOOST_TEST(registry.unannouncedRemovalsSince(web, now + 1s).empty());
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 5, now + 2s);
  BOOST_TEST(registry.unannouncedRemovalsSince(web, now - 1s).empty());
}

BOOST_AUTO_TEST_CASE(pages_cover_all_present_backends) {
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

BOOST_AUTO_TEST_CASE(restart_under_same_id_is_reported) {
  registry.put("servers/1", startedAt(1000), 1, now);
  BOOST_TEST((registry.put("servers/1", startedAt(1000), 2, now) == RegistryEvent::kRefreshed));
  BOOST_TEST(registry.takeRestarted().empty());
  BOOST_TEST((registry.put("servers/1", startedAt(2000), 3, now) == RegistryEvent::kRestarted));
  BOOST_TEST((registry.takeRestarted() == std::vector<BackendId>{BackendId{1}}));
  BOOST_TEST(registry.takeRestarted().empty());
}

// The store may apply a write of the previous incarnation seconds after the new registration.
BOOST_AUTO_TEST_CASE(late_update_of_previous_incarnation_is_ignored) {
  registry.put("servers/1", startedAt(1000), 1, now);
  core::Registration next = startedAt(2000);
  next.endpoint.port = 9000;
  registry.put("servers/1", next, 2, now);
  core::Registration late = startedAt(1000);
  late.state = core::BackendState::kDraining;
  BOOST_TEST((registry.put("servers/1", late, 3, now) == RegistryEvent::kNone));
  BOOST_TEST(registry.takesNewFlows(BackendId{1}));
  BOOST_TEST(registry.find(BackendId{1})->endpoint.port == 9000U);
  // Without start times, updates are ordered by revision only.
  BOOST_TEST((registry.put("servers/2", makeRegistration(2, "web", 1, 2), 4, now) ==
              RegistryEvent::kAdded));
  BOOST_TEST((registry.put("servers/2", makeRegistration(2, "web", 1, 2), 5, now) ==
              RegistryEvent::kRefreshed));
}

// Guards against daemons that ignore a backend because of an incarnation that the store no longer
// shows, such as one that reported a wrong start time.
BOOST_AUTO_TEST_CASE(earlier_incarnation_is_accepted_after_removal_of_the_later_one) {
  registry.put("servers/1", startedAt(2000), 1, now);
  registry.remove("servers/1", 2, now);
  BOOST_TEST((registry.put("servers/1", startedAt(1000), 3, now) == RegistryEvent::kRestarted));
  BOOST_TEST(registry.takesNewFlows(BackendId{1}));
  BOOST_TEST((registry.takeRestarted() == std::vector<BackendId>{BackendId{1}}));
}

BOOST_AUTO_TEST_CASE(removal_does_not_supersede_other_backends) {
  registry.put("servers/a", makeRegistration(1, "web", 1, 1), 10, now);
  registry.put("servers/b", makeRegistration(2, "web", 1, 1), 20, now);
  registry.retainOnly({"servers/b"}, 30, now);
  BOOST_TEST((registry.claimOf(BackendId{2}) == AddressClaim::kUndisputed));
}

BOOST_AUTO_TEST_CASE(removed_backends_are_discarded_after_retention) {
  registry.put("servers/1", makeRegistration(1, "web", 1, 1), 1, now);
  registry.remove("servers/1", 2, now);
  registry.discardExpired(now + 59s);
  BOOST_TEST(registry.size() == 1U);
  registry.discardExpired(now + 60s);
  BOOST_TEST(registry.size() == 0U);
}

BOOST_AUTO_TEST_CASE(splits_with_random_offsets_keep_weights_across_daemons) {
  int first = 0;
  constexpr int kDaemons = 200;
  for (std::uint64_t start = 0; start < kDaemons; ++start) {
    core::WeightedSplit split({{"a", 90}, {"b", 10}}, core::mixHash(start, 1));
    first += split.next() == 0 ? 1 : 0;
  }
  // Without random offsets, every daemon would begin with the first target.
  BOOST_TEST(first > 160);
  BOOST_TEST(first < 195);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
