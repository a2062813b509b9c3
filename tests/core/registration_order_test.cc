/// @file
/// Order of a backend's registration updates when the store applies a write late or is restored
/// from an older copy.
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

struct RegistrationOrderFixture {
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::Time now = 100s;

  std::uint64_t startedAtMs = 0;

  RegistryEvent putRegistration(BackendState state, std::uint64_t updateSequence,
                                Revision revision) {
    core::Registration registration = makeRegistration(1, "web", 1, 1);
    registration.startedAtMs = startedAtMs;
    registration.state = state;
    registration.updateSequence = updateSequence;
    return backends.put(kKey, registration, revision, now);
  }

  bool takesNewFlows() const { return backends.takesNewFlows(BackendId{1}); }
};

BOOST_FIXTURE_TEST_SUITE(RegistrationOrderTest, RegistrationOrderFixture)

BOOST_AUTO_TEST_CASE(draining_state_survives_restore_without_it) {
  for (const std::uint64_t numbered : {0U, 1U}) {
    const std::uint64_t base = numbered * 10;
    putRegistration(BackendState::kActive, numbered * base, {StoreEra{1 + base}, 20});
    putRegistration(BackendState::kDraining, numbered * (base + 2), {StoreEra{1 + base}, 46});
    BOOST_TEST(!takesNewFlows());
    putRegistration(BackendState::kActive, numbered * (base + 1), {StoreEra{2 + base}, 30});
    BOOST_TEST(!takesNewFlows());
    putRegistration(BackendState::kDraining, numbered * (base + 3), {StoreEra{2 + base}, 45});
    BOOST_TEST(!takesNewFlows());
  }
}

BOOST_AUTO_TEST_CASE(return_to_active_in_later_era_is_applied) {
  putRegistration(BackendState::kActive, 10, {StoreEra{1}, 20});
  putRegistration(BackendState::kDraining, 12, {StoreEra{1}, 46});
  putRegistration(BackendState::kActive, 13, {StoreEra{2}, 45});
  BOOST_TEST(takesNewFlows());
}

BOOST_AUTO_TEST_CASE(late_older_update_is_ignored) {
  startedAtMs = 5;
  putRegistration(BackendState::kActive, 10, 20);
  putRegistration(BackendState::kDraining, 12, 21);
  BOOST_TEST((putRegistration(BackendState::kActive, 11, 22) == RegistryEvent::kNone));
  BOOST_TEST(!takesNewFlows());
}

// A backend that restarts under the same id numbers its updates from the start.
BOOST_AUTO_TEST_CASE(restarted_update_sequence_is_accepted) {
  putRegistration(BackendState::kActive, 10, 20);
  BOOST_TEST((putRegistration(BackendState::kDraining, 1, 21) == RegistryEvent::kDraining));
  startedAtMs = 5;
  putRegistration(BackendState::kDraining, 10, 22);
  backends.remove(kKey, 23, now);
  putRegistration(BackendState::kActive, 1, 24);
  BOOST_TEST(takesNewFlows());
}

BOOST_AUTO_TEST_CASE(drained_backend_in_restored_store_takes_no_new_flows) {
  putRegistration(BackendState::kActive, 10, {StoreEra{1}, 20});
  putRegistration(BackendState::kDraining, 12, {StoreEra{1}, 46});
  backends.remove(kKey, {StoreEra{1}, 47}, now);
  putRegistration(BackendState::kActive, 11, {StoreEra{2}, 30});
  BOOST_TEST(!takesNewFlows());
}

// Late heartbeats let a registration expire. Heartbeats do not increment the revision, so only the
// item of the restored store shows that the backend is present.
BOOST_AUTO_TEST_CASE(expired_backend_in_restored_store_takes_new_flows) {
  putRegistration(BackendState::kActive, 10, {StoreEra{1}, 20});
  backends.remove(kKey, {StoreEra{1}, 47}, now);
  BOOST_TEST(!takesNewFlows());
  putRegistration(BackendState::kActive, 10, {StoreEra{2}, 20});
  BOOST_TEST(takesNewFlows());
}

BOOST_AUTO_TEST_CASE(later_era_listing_recognizes_unchanged_items) {
  putRegistration(BackendState::kActive, 10, {StoreEra{1}, 20});
  core::Registration item = *backends.findPresent(kKey);
  item.updateSequence = 14;
  BOOST_TEST(backends.isUnchangedSinceEarlierEra(kKey, item, {StoreEra{2}, 20}));
  BOOST_TEST(!backends.isUnchangedSinceEarlierEra(kKey, item, {StoreEra{1}, 20}));
  BOOST_TEST(!backends.isUnchangedSinceEarlierEra(kKey, item, {StoreEra{2}, 45}));
  item.state = BackendState::kDraining;
  BOOST_TEST(!backends.isUnchangedSinceEarlierEra(kKey, item, {StoreEra{2}, 20}));
  backends.remove(kKey, {StoreEra{1}, 47}, now);
  item.state = BackendState::kActive;
  BOOST_TEST(!backends.isUnchangedSinceEarlierEra(kKey, item, {StoreEra{2}, 20}));
}

// The restored store lacked the item, which was then written again with its previous number.
BOOST_AUTO_TEST_CASE(same_revision_number_in_later_era_is_a_change) {
  putRegistration(BackendState::kActive, 10, {StoreEra{1}, 20});
  BOOST_TEST(
      (putRegistration(BackendState::kActive, 11, {StoreEra{2}, 20}) == RegistryEvent::kRefreshed));
  backends.remove(kKey, {StoreEra{2}, 18}, now);
  BOOST_TEST(takesNewFlows());
}

// The address now belongs to a later backend, which the restored store lacked.
BOOST_AUTO_TEST_CASE(restored_stale_backend_yields_to_current_one) {
  for (const std::uint64_t start : {0U, 1000U}) {
    core::BackendRegistry restored{60s, weights};
    const auto put = [&restored, start, this](std::uint64_t id, Revision revision) {
      core::Registration registration = makeRegistration(id, "web", 1, 1);
      registration.startedAtMs = start * id;
      restored.put("servers/" + std::to_string(id), registration, revision, now);
    };
    put(1, {StoreEra{1}, 20});
    restored.remove(kKey, {StoreEra{1}, 40}, now);
    put(2, {StoreEra{1}, 45});
    BOOST_TEST(restored.takesNewFlows(BackendId{2}));
    put(1, {StoreEra{2}, 20});
    restored.retainOnly({kKey}, {StoreEra{2}, 35}, now);
    put(2, {StoreEra{2}, 36});
    BOOST_TEST(!restored.findCandidate(BackendId{2})->isContested);
    const core::PlacementCandidate* stale = restored.findCandidate(BackendId{1});
    BOOST_TEST((start == 0 ? stale->isContested : stale == nullptr));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
