/// Backends that restart under the same id, and unreadable items that replace a registration.
#include "core/constants.h"
#include "core/token_steering.h"
#include "core/view_updater.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::RouteReason;

struct RestartedBackendsFixture : TokenFixture {
  core::OutlierDetector outliers{1};
  core::ChangeLog log;
  std::vector<core::ViewChange> reports;
  core::ViewUpdater updater{steering.backends(), steering.routes(),
                            [this](const core::ViewChange& change) { reports.push_back(change); },
                            &log};

  RestartedBackendsFixture() { steering.setOutliers(&outliers); }

  static core::Registration incarnation(std::uint64_t startedAtMs) {
    core::Registration registration = makeRegistration(1, "web", 1, 1);
    registration.startedAtMs = startedAtMs;
    return registration;
  }

  void restart() {
    putBackend(1, incarnation(1000));
    putBackend(1, incarnation(2000));
  }

  /// Leaves a connection attempt unanswered until the backend's probe times out and it is
  /// considered dead.
  void markDead(BackendId backend) {
    std::uint16_t port = 500;
    for (BackendId opened = backendOf(open(port)); opened != backend;
         opened = backendOf(open(++port))) {
      send(port, opened, 1, 0);
    }
    now += core::kResponseTimeout + 10ms;
    for (const core::BackendAddress& probed : steering.takeProbes(now)) {
      steering.onProbe(probed.id, core::ProbeResult::kTimedOut, now);
    }
    BOOST_REQUIRE(steering.health().isDead(backend));
  }
};

BOOST_FIXTURE_TEST_SUITE(RestartedBackendsTest, RestartedBackendsFixture)

// Guards against resetting flows of the new incarnation because the previous one was found dead.
BOOST_AUTO_TEST_CASE(restart_clears_dead_state) {
  putBackend(1, incarnation(1000));
  markDead(BackendId{1});
  putBackend(1, incarnation(2000));
  steering.onViewChanged();
  BOOST_TEST(!steering.health().isDead(BackendId{1}));
  BOOST_TEST((routeReasonOf(send(9, BackendId{1}, 1, 100)) == RouteReason::kCarriedToken));
}

BOOST_AUTO_TEST_CASE(flows_of_previous_incarnation_are_dropped_without_reset) {
  putBackend(1, incarnation(1000));
  std::uint16_t port = 1;
  while (establishFlow(port) != BackendId{1}) {
    now += 200ms;
    ++port;
  }
  steering.takeResets();
  BOOST_TEST(steering.flows().openFlowCount(BackendId{1}) > 0U);
  putBackend(1, incarnation(2000));
  steering.onViewChanged();
  BOOST_TEST(steering.flows().openFlowCount(BackendId{1}) == 0U);
  BOOST_TEST(steering.takeResets().empty());
}

BOOST_AUTO_TEST_CASE(restart_clears_outlier_state) {
  putBackend(1, incarnation(1000));
  outliers.SetOutliers({BackendId{1}}, now);
  putBackend(1, incarnation(2000));
  steering.onViewChanged();
  BOOST_TEST(!outliers.IsOutlier(BackendId{1}));
}

BOOST_AUTO_TEST_CASE(unreadable_item_drains_backend_and_keeps_its_flows) {
  const BackendId backend = establishFlow(1);
  const std::string key = keyOf(static_cast<std::uint64_t>(backend));
  updater.onChange({key, ++revision, core::UnreadableItem{"bytes"}}, now);
  BOOST_TEST(!steering.backends().takesNewFlows(backend));
  BOOST_TEST((routeReasonOf(send(1, backend, 2, 100)) == RouteReason::kCarriedToken));
  for (std::uint16_t port = 2; port < 30; ++port) {
    now += 200ms;
    BOOST_TEST((establishFlow(port) != backend));
  }
  // The next update of the backend itself reactivates it.
  putBackend(static_cast<std::uint64_t>(backend),
             makeRegistration(static_cast<std::uint64_t>(backend), "web", 1,
                              static_cast<std::uint8_t>(backend)));
  BOOST_TEST(steering.backends().takesNewFlows(backend));
}

// Followers receive only the logged changes.
BOOST_AUTO_TEST_CASE(unreadable_item_is_logged_as_draining_for_followers) {
  log.Close(revision);
  updater.onChange({keyOf(1), ++revision, core::UnreadableItem{"bytes"}}, now);
  log.Close(revision);
  const auto range = log.Since(revision - 1);
  BOOST_REQUIRE(range.has_value());
  BOOST_REQUIRE(range->Changes.size() == 1U);
  const auto& registration = std::get<core::Registration>(range->Changes[0].item);
  BOOST_TEST((registration.state == core::BackendState::kDraining));
}

BOOST_AUTO_TEST_CASE(unreadable_item_of_unknown_key_changes_nothing) {
  const std::size_t before = steering.backends().size();
  updater.onChange({keyOf(77), ++revision, core::UnreadableItem{"bytes"}}, now);
  BOOST_TEST(steering.backends().size() == before);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].kind == core::ViewChange::Kind::kUnreadable));
}

// Guards against removing the backend at the end of the listing, which would make it a fallback
// target.
BOOST_AUTO_TEST_CASE(unreadable_item_in_listing_is_not_a_fallback_target) {
  updater.onChange({keyOf(1), ++revision, core::UnreadableItem{"bytes"}}, now);
  steering.backends().remove(keyOf(2), ++revision, now);
  steering.backends().remove(keyOf(3), ++revision, now);
  updater.onListed({keyOf(1)}, revision, now);
  now += 100ms;
  const core::Verdict verdict = open(9);
  if (std::holds_alternative<core::ForwardToBackend>(verdict)) {
    BOOST_TEST((backendOf(verdict) != BackendId{1}));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
