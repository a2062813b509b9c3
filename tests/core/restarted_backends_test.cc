/// Back ends that start again under their ids, and entries that other writers put in their place.
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

  static core::Registration run(std::uint64_t startedAtMs) {
    core::Registration registration = makeRegistration(1, "web", 1, 1);
    registration.startedAtMs = startedAtMs;
    return registration;
  }

  void restart() {
    putBackend(1, run(1000));
    putBackend(1, run(2000));
  }

  /// Leaves an opening on the back end unanswered until it is proven dead.
  void kill(BackendId backend) {
    std::uint16_t port = 500;
    for (BackendId opened = backendOf(open(port)); opened != backend;
         opened = backendOf(open(++port))) {
      send(port, opened, 1, 0);
    }
    now += core::kAnswerPatience + 10ms;
    for (const core::BackendAddress& probed : steering.takeProbes(now)) {
      steering.onProbe(probed.id, core::ProbeResult::kTimedOut, now);
    }
    BOOST_REQUIRE(steering.health().isDead(backend));
  }
};

BOOST_FIXTURE_TEST_SUITE(RestartedBackendsTest, RestartedBackendsFixture)

// The dead run's proof of death reset flows that other daemons had opened at the new one.
BOOST_AUTO_TEST_CASE(a_proof_of_death_ends_with_the_run) {
  putBackend(1, run(1000));
  kill(BackendId{1});
  putBackend(1, run(2000));
  steering.onViewChanged();
  BOOST_TEST(!steering.health().isDead(BackendId{1}));
  BOOST_TEST((ruleOf(send(9, BackendId{1}, 1, 100)) == RouteReason::kCarriedToken));
}

BOOST_AUTO_TEST_CASE(flows_of_the_run_before_no_longer_count_and_are_not_reset_here) {
  putBackend(1, run(1000));
  std::uint16_t port = 1;
  while (openAndAnswer(port) != BackendId{1}) {
    now += 200ms;
    ++port;
  }
  steering.takeResets();
  BOOST_TEST(steering.flows().openOn(BackendId{1}) > 0U);
  putBackend(1, run(2000));
  steering.onViewChanged();
  BOOST_TEST(steering.flows().openOn(BackendId{1}) == 0U);
  BOOST_TEST(steering.takeResets().empty());
}

BOOST_AUTO_TEST_CASE(an_outlier_that_starts_again_is_none) {
  putBackend(1, run(1000));
  outliers.Adopt({BackendId{1}}, now);
  putBackend(1, run(2000));
  steering.onViewChanged();
  BOOST_TEST(!outliers.IsOutlier(BackendId{1}));
}

BOOST_AUTO_TEST_CASE(an_entry_that_turns_unreadable_takes_the_back_end_out_and_keeps_its_flows) {
  const BackendId backend = openAndAnswer(1);
  const std::string key = keyOf(static_cast<std::uint64_t>(backend));
  updater.onChange({key, ++revision, core::UnreadableItem{"bytes"}}, now);
  BOOST_TEST(!steering.backends().takesNewFlows(backend));
  BOOST_TEST((ruleOf(send(1, backend, 2, 100)) == RouteReason::kCarriedToken));
  for (std::uint16_t port = 2; port < 30; ++port) {
    now += 200ms;
    BOOST_TEST((openAndAnswer(port) != backend));
  }
  // Its own next word brings it back.
  putBackend(static_cast<std::uint64_t>(backend),
             makeRegistration(static_cast<std::uint64_t>(backend), "web", 1,
                              static_cast<std::uint8_t>(backend)));
  BOOST_TEST(steering.backends().takesNewFlows(backend));
}

// Followers learn of the store by changes alone.
BOOST_AUTO_TEST_CASE(who_follows_is_told_that_an_entry_turned_unreadable) {
  log.Close(revision);
  updater.onChange({keyOf(1), ++revision, core::UnreadableItem{"bytes"}}, now);
  log.Close(revision);
  const auto excerpt = log.Since(revision - 1);
  BOOST_REQUIRE(excerpt.has_value());
  BOOST_REQUIRE(excerpt->Changes.size() == 1U);
  const auto& told = std::get<core::Registration>(excerpt->Changes[0].item);
  BOOST_TEST((told.state == core::BackendState::kDraining));
}

BOOST_AUTO_TEST_CASE(an_unreadable_entry_of_nobody_changes_nothing) {
  const std::size_t before = steering.backends().size();
  updater.onChange({keyOf(77), ++revision, core::UnreadableItem{"bytes"}}, now);
  BOOST_TEST(steering.backends().size() == before);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].kind == core::ViewChange::Kind::kUnreadable));
}

// A listing taken as the truth would let it vanish, and so be a last resort again.
BOOST_AUTO_TEST_CASE(an_unreadable_entry_in_a_listing_is_no_last_resort) {
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
