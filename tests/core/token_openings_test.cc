#include <map>

#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::DropReason;
using core::RefuseReason;
using core::RouteReason;

BOOST_FIXTURE_TEST_SUITE(TokenOpeningsTest, TokenFixture)

BOOST_AUTO_TEST_CASE(an_opening_is_placed_and_stamped_with_the_back_ends_token) {
  const core::Verdict verdict = open(1);
  const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
  BOOST_REQUIRE(forward != nullptr);
  BOOST_TEST((forward->token == core::HashTokenOf(forward->backend.id)));
  BOOST_TEST((ruleOf(verdict) == RouteReason::kPlaced));
}

BOOST_AUTO_TEST_CASE(new_flows_go_where_the_fewest_are_open) {
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 1; port <= 30; ++port) {
    now += 100ms;
    ++flows[openAndAnswer(port)];
  }
  for (const auto& [backend, count] : flows) {
    BOOST_TEST(count == 10);
  }
}

// A sample may hold none of a small service's back ends: that it has none would not be true.
BOOST_AUTO_TEST_CASE(a_sample_of_the_back_ends_places_flows_and_refuses_none) {
  steering.setViewState(true, true, false);
  BOOST_TEST((ruleOf(open(1)) == RouteReason::kPlaced));
  removeBackends();
  now += 10s;
  BOOST_TEST((dropOf(open(2)) == DropReason::kStaleView));
  now += 10s;
  BOOST_TEST((dropOf(open(3)) == DropReason::kStaleView));
  steering.setViewState(true, true, true);
  open(4);
  now += core::kEmptyServicePatience;
  BOOST_TEST((refusalOf(open(5)) == RefuseReason::kNoBackend));
}

/// Weighs the back end with number 1 as `weight`, others as 100.
class FirstWeighs : public core::PlacementWeights {
 public:
  std::uint32_t weight = core::kDefaultPlacementWeight;
  std::uint32_t weightOf(const core::Registration& registration) override {
    return registration.id == BackendId{1} ? weight : core::kDefaultPlacementWeight;
  }
};

/// Gives back ends of the service "web" nothing.
class ExcludesWeb : public core::PlacementWeights {
 public:
  std::uint32_t weightOf(const core::Registration& registration) override {
    return registration.service == "web" ? 0 : core::kDefaultPlacementWeight;
  }
};

BOOST_AUTO_TEST_CASE(the_policys_weights_share_the_flows) {
  FirstWeighs policy;
  core::TokenSteering weighed(core::TokenSteeringOptions{}, policy, random);
  const auto flowsOfFirst = [&](std::uint32_t weight, std::uint16_t firstPort) {
    policy.weight = weight;
    weighed.backends().reweigh();
    int count = 0;
    for (std::uint16_t port = firstPort; port < firstPort + 60; ++port) {
      now += 100ms;
      count +=
          backendOf(weighed.onPacket(packet(port, core::PacketKind::kOpening), now)) == BackendId{1}
              ? 1
              : 0;
    }
    return count;
  };
  weighed.setViewState(true, true);
  weighed.routes().offer(makeRoutes(1, {{1, "web"}}), now);
  for (std::uint8_t host = 1; host <= 3; ++host) {
    weighed.backends().put(keyOf(host), makeRegistration(host, "web", 1, host), host, now);
  }
  BOOST_TEST(flowsOfFirst(0, 1) == 0);
  BOOST_TEST(flowsOfFirst(400, 100) >= 50);
}

BOOST_AUTO_TEST_CASE(a_leaving_back_end_keeps_its_flows_and_gets_no_new_one) {
  core::Registration leaving = makeRegistration(1, "web", 1, 1);
  leaving.state = core::BackendState::kDraining;
  putBackend(1, leaving);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    now += 100ms;
    BOOST_TEST((backendOf(open(port)) != BackendId{1}));
  }
  BOOST_TEST((backendOf(send(99, BackendId{1}, 5, 10)) == BackendId{1}));
}

BOOST_AUTO_TEST_CASE(an_opening_without_route_is_refused_only_by_a_current_view) {
  core::PacketSummary stray = packet(1, core::PacketKind::kOpening);
  stray.flow.destination = endpoint(90, 9, 443);
  const core::Verdict refused = steering.onPacket(stray, now);
  BOOST_TEST((refusalOf(refused) == RefuseReason::kNoRoute));
  BOOST_TEST((std::get<core::Refuse>(refused).certainty == core::RefusalCertainty::kNotRun));
  steering.setViewState(true, false);
  BOOST_TEST((dropOf(steering.onPacket(stray, now)) == DropReason::kStaleView));
}

BOOST_AUTO_TEST_CASE(nothing_is_placed_before_the_first_routes) {
  core::TokenSteering empty(core::TokenSteeringOptions{}, weights, random);
  const core::Verdict verdict = empty.onPacket(packet(1, core::PacketKind::kOpening), now);
  BOOST_TEST((dropOf(verdict) == DropReason::kNoConfiguration));
}

BOOST_AUTO_TEST_CASE(nothing_is_placed_by_a_listing_that_may_be_stale) {
  steering.setViewState(false, false);
  BOOST_TEST((dropOf(open(1)) == DropReason::kNoConfiguration));
  BOOST_TEST((backendOf(send(2, BackendId{1}, 1, 10)) == BackendId{1}));
}

BOOST_AUTO_TEST_CASE(a_service_that_stays_without_back_ends_refuses_as_not_run) {
  removeBackends();
  now += core::kVanishedFallback;
  BOOST_TEST((dropOf(open(1)) == DropReason::kEmptyService));
  now += core::kEmptyServicePatience;
  const core::Verdict verdict = open(2);
  BOOST_TEST((refusalOf(verdict) == RefuseReason::kNoBackend));
  BOOST_TEST((std::get<core::Refuse>(verdict).certainty == core::RefusalCertainty::kNotRun));
}

// The store had lost every registration while it was down; back ends were there all the time and
// registered again within a heartbeat, but openings were refused meanwhile (ptf scale-2), and then
// thrown at the first that were back (lantern-archive, a day of lapses).
BOOST_AUTO_TEST_CASE(registrations_that_lapsed_together_count_beside_those_that_are_back) {
  removeBackends();
  now += 1s;
  const core::Verdict first = open(1);
  BOOST_TEST((ruleOf(first) == RouteReason::kPlaced));
  send(1, backendOf(first), 1, 0);
  putBackend(4, makeRegistration(4, "web", 1, 4));
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 2; port <= 9; ++port) {
    now += 100ms;
    ++flows[openAndAnswer(port)];
  }
  BOOST_TEST(flows.size() == 4U);
  // What has not come back by then is gone.
  now += core::kVanishedFallback;
  for (std::uint16_t port = 20; port <= 29; ++port) {
    now += 100ms;
    BOOST_TEST((openAndAnswer(port) == BackendId{4}));
  }
}

BOOST_AUTO_TEST_CASE(a_back_end_that_vanished_alone_gets_nothing) {
  steering.backends().remove(keyOf(1), ++revision, now);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    now += 50ms;
    BOOST_TEST((backendOf(open(port, 2)) != BackendId{1}));
  }
}

// Lapsed back ends were the last word, even where the policy gives all of them nothing.
BOOST_AUTO_TEST_CASE(where_the_policy_excludes_all_that_lapsed_another_part_of_the_split_serves) {
  core::RouteSet routes = makeRoutes(2, {{1, "web"}});
  routes.routes[0].targets = {{"web", 1}, {"api", 1}};
  ExcludesWeb policy;
  core::TokenSteering weighed(core::TokenSteeringOptions{}, policy, random);
  weighed.setViewState(true, true);
  weighed.routes().offer(routes, now);
  weighed.backends().put(keyOf(1), makeRegistration(1, "web", 1, 1), 1, now);
  weighed.backends().put(keyOf(2), makeRegistration(2, "web", 1, 2), 2, now);
  weighed.backends().put(keyOf(60), makeRegistration(60, "api", 2, 1), 3, now);
  weighed.backends().remove(keyOf(1), 4, now);
  weighed.backends().remove(keyOf(2), 5, now);
  for (std::uint16_t port = 1; port <= 10; ++port) {
    now += 100ms;
    const core::Verdict verdict = weighed.onPacket(packet(port, core::PacketKind::kOpening), now);
    BOOST_TEST((backendOf(verdict) == BackendId{60}));
  }
}

// One alone is no lapse, yet it is all that its service has.
BOOST_AUTO_TEST_CASE(the_only_back_end_stands_in_for_itself_after_it_vanished) {
  steering.backends().remove(keyOf(1), ++revision, now);
  steering.backends().remove(keyOf(2), ++revision, now);
  now += core::kVanishedFallback;
  steering.backends().remove(keyOf(3), ++revision, now);
  now += 1s;
  BOOST_TEST((backendOf(open(1)) == BackendId{3}));
  now += 1s;
  BOOST_TEST((dropOf(open(2)) == DropReason::kEmptyService));
}

BOOST_AUTO_TEST_CASE(a_repeated_opening_stays_where_the_registration_lapsed) {
  const BackendId first = backendOf(open(1));
  removeBackends();
  now += 100ms;
  const core::Verdict again = open(1, 1);
  BOOST_TEST((backendOf(again) == first));
  BOOST_TEST((ruleOf(again) == RouteReason::kRepeated));
}

BOOST_AUTO_TEST_CASE(back_ends_that_announced_their_end_do_not_stand_in) {
  for (std::uint8_t host = 1; host <= 3; ++host) {
    core::Registration leaving = makeRegistration(host, "web", 1, host);
    leaving.state = core::BackendState::kDraining;
    putBackend(host, leaving);
  }
  removeBackends();
  BOOST_TEST((dropOf(open(1)) == DropReason::kEmptyService));
}

// After all daemons had lost power, back ends turned 600 of 22,000 requests away (ptf scale-2).
BOOST_AUTO_TEST_CASE(a_burst_of_openings_is_left_in_part_to_the_callers_repetition) {
  int placed = 0;
  for (std::uint16_t port = 1; port <= 12; ++port) {
    placed += ruleOf(open(port)) == RouteReason::kPlaced ? 1 : 0;
  }
  BOOST_TEST(placed == 3);
  now += 200ms;
  BOOST_TEST((ruleOf(open(12, 1)) == RouteReason::kPlaced));
  // The last copy is never left to a later one.
  for (std::uint16_t port = 20; port <= 30; ++port) {
    BOOST_TEST(ruleOf(open(port, 2)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_weights_and_serves_all_where_a_part_is_empty) {
  core::RouteSet routes = makeRoutes(2, {{1, "web"}});
  routes.routes[0].targets = {{"web", 75}, {"api", 25}};
  steering.routes().offer(routes, now);
  putBackend(60, makeRegistration(60, "api", 2, 1));
  int api = 0;
  for (std::uint16_t port = 1; port <= 200; ++port) {
    now += 100ms;
    api += openAndAnswer(port) == BackendId{60} ? 1 : 0;
  }
  BOOST_TEST(api >= 49);
  BOOST_TEST(api <= 51);
  steering.backends().remove(keyOf(60), ++revision, now);
  for (std::uint16_t port = 201; port <= 240; ++port) {
    now += 100ms;
    BOOST_TEST((backendOf(open(port)) != BackendId{60}));
  }
}

BOOST_AUTO_TEST_CASE(a_part_of_weight_zero_gets_nothing) {
  core::RouteSet routes = makeRoutes(2, {{1, "web"}});
  routes.routes[0].targets = {{"api", 0}, {"web", 1}};
  steering.routes().offer(routes, now);
  putBackend(60, makeRegistration(60, "api", 2, 1));
  for (std::uint16_t port = 1; port <= 50; ++port) {
    now += 100ms;
    BOOST_TEST((openAndAnswer(port) != BackendId{60}));
  }
}

BOOST_AUTO_TEST_CASE(a_repeated_opening_stays_where_a_lost_answer_is_likely) {
  const BackendId first = backendOf(open(1));
  now += 50ms;
  // Another flow proves that the back end lives.
  send(2, first, 1, 10);
  send(2, first, 2, 10, 1010);
  now += 150ms;
  const core::Verdict again = open(1, 1);
  BOOST_TEST((backendOf(again) == first));
  BOOST_TEST((ruleOf(again) == RouteReason::kRepeated));
}

BOOST_AUTO_TEST_CASE(a_repeated_opening_leaves_a_silent_back_end) {
  const BackendId first = backendOf(open(1));
  now += 200ms;
  const core::Verdict again = open(1, 1);
  BOOST_TEST((backendOf(again) != first));
  BOOST_TEST((ruleOf(again) == RouteReason::kReplaced));
}

// Openings used to go on to a silent back end: it has the fewest open flows (cflc scale-1).
BOOST_AUTO_TEST_CASE(a_silent_back_end_attracts_no_further_openings) {
  const BackendId silent = backendOf(open(1));
  now += 200ms;
  for (std::uint16_t port = 10; port <= 40; ++port) {
    now += 100ms;
    BOOST_TEST((openAndAnswer(port) != silent));
  }
}

BOOST_AUTO_TEST_CASE(an_opening_of_a_flow_that_is_open_is_not_sent_to_a_second_back_end) {
  openAndAnswer(1);
  now += 600ms;
  BOOST_TEST((dropOf(open(1, 2)) == DropReason::kStaleOpening));
}

BOOST_AUTO_TEST_CASE(a_port_that_is_used_again_opens_a_new_flow) {
  openAndAnswer(1);
  now += core::kOpeningSpan + 1s;
  BOOST_TEST((ruleOf(open(1)) == RouteReason::kPlaced));
}

BOOST_AUTO_TEST_CASE(openings_that_waited_through_a_suspension_are_dropped) {
  steering.onResume();
  BOOST_TEST((dropOf(open(1)) == DropReason::kStaleOpening));
  BOOST_TEST((backendOf(send(2, BackendId{1}, 1, 10)) == BackendId{1}));
  steering.onQueueDrained();
  BOOST_TEST((ruleOf(open(3)) == RouteReason::kPlaced));
}

// Back ends that took four times as long got as many flows as the others.
BOOST_AUTO_TEST_CASE(a_slow_back_end_gets_fewer_new_flows) {
  std::uint32_t data = 1000;
  const auto answerAll = [this, &data](core::Duration ofFirst) {
    for (std::uint16_t host = 1; host <= 3; ++host) {
      const auto port = static_cast<std::uint16_t>(500 + host);
      send(port, BackendId{host}, data, 10, data);
      now += host == 1 ? ofFirst : 40ms;
      data += 10;
      send(port, BackendId{host}, data, 0, data);
    }
  };
  for (int round = 0; round < 10; ++round) {
    answerAll(round < 5 ? 40ms : 200ms);
  }
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 1; port <= 18; ++port) {
    now += 60ms;
    ++flows[openAndAnswer(port)];
  }
  BOOST_TEST(flows[BackendId{1}] < 4);
  BOOST_TEST(steering.lastDecision().slowCandidates == 1U);
  BOOST_TEST((backendOf(send(501, BackendId{1}, data, 10, data)) == BackendId{1}));
}

BOOST_AUTO_TEST_CASE(an_outlier_gets_no_new_flow_and_keeps_its_own) {
  core::OutlierDetector outliers(1);
  steering.setOutliers(&outliers);
  const BackendId outlier = openAndAnswer(1);
  outliers.Adopt({outlier}, now);
  for (std::uint16_t port = 2; port <= 30; ++port) {
    now += 100ms;
    BOOST_TEST((openAndAnswer(port) != outlier));
  }
  BOOST_TEST((backendOf(send(1, outlier, 2, 10)) == outlier));
}

BOOST_AUTO_TEST_CASE(many_outliers_count_for_nothing) {
  core::OutlierDetector outliers(1);
  steering.setOutliers(&outliers);
  outliers.Adopt({BackendId{1}, BackendId{2}}, now);
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 1; port <= 30; ++port) {
    now += 100ms;
    ++flows[openAndAnswer(port)];
  }
  BOOST_TEST(flows.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
