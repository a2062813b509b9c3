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

BOOST_AUTO_TEST_CASE(opening_is_placed_and_carries_the_token_of_its_backend) {
  const core::Verdict verdict = open(1);
  const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
  BOOST_REQUIRE(forward != nullptr);
  BOOST_TEST((forward->token == core::HashTokenOf(forward->backend.id)));
  BOOST_TEST((routeReasonOf(verdict) == RouteReason::kPlaced));
}

BOOST_AUTO_TEST_CASE(new_flows_go_to_the_backend_with_the_fewest_open_flows) {
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 1; port <= 30; ++port) {
    now += 100ms;
    ++flows[establishFlow(port)];
  }
  for (const auto& [backend, count] : flows) {
    BOOST_TEST(count == 10);
  }
}

// A sampled view may lack all backends of a small service, so it must not refuse.
BOOST_AUTO_TEST_CASE(sampled_view_places_flows_and_refuses_none) {
  steering.setViewState(true, true, false);
  BOOST_TEST((routeReasonOf(open(1)) == RouteReason::kPlaced));
  removeBackends();
  now += 10s;
  BOOST_TEST((dropReasonOf(open(2)) == DropReason::kStaleView));
  now += 10s;
  BOOST_TEST((dropReasonOf(open(3)) == DropReason::kStaleView));
  steering.setViewState(true, true, true);
  open(4);
  now += core::kEmptyServiceGracePeriod;
  BOOST_TEST((refuseReasonOf(open(5)) == RefuseReason::kNoBackend));
}

/// Assigns `weight` to backend 1 and the default weight to all others.
class FirstBackendWeight : public core::PlacementWeights {
 public:
  std::uint32_t weight = core::kDefaultPlacementWeight;
  std::uint32_t weightOf(const core::Registration& registration) override {
    return registration.id == BackendId{1} ? weight : core::kDefaultPlacementWeight;
  }
};

/// Assigns weight zero to backends of the service "web".
class ExcludeWebWeights : public core::PlacementWeights {
 public:
  std::uint32_t weightOf(const core::Registration& registration) override {
    return registration.service == "web" ? 0 : core::kDefaultPlacementWeight;
  }
};

BOOST_AUTO_TEST_CASE(policy_weights_distribute_new_flows) {
  FirstBackendWeight policy;
  core::TokenSteering weightedSteering(core::TokenSteeringOptions{}, policy, random);
  const auto flowsOfFirst = [&](std::uint32_t weight, std::uint16_t firstPort) {
    policy.weight = weight;
    weightedSteering.backends().recomputeWeights();
    int count = 0;
    for (std::uint16_t port = firstPort; port < firstPort + 60; ++port) {
      now += 100ms;
      count += backendOf(weightedSteering.onPacket(packet(port, core::PacketKind::kOpening),
                                                   now)) == BackendId{1}
                   ? 1
                   : 0;
    }
    return count;
  };
  weightedSteering.setViewState(true, true);
  weightedSteering.routes().offer(makeRoutes(1, {{1, "web"}}), now);
  for (std::uint8_t host = 1; host <= 3; ++host) {
    weightedSteering.backends().put(keyOf(host), makeRegistration(host, "web", 1, host), host, now);
  }
  BOOST_TEST(flowsOfFirst(0, 1) == 0);
  BOOST_TEST(flowsOfFirst(400, 100) >= 50);
}

BOOST_AUTO_TEST_CASE(draining_backend_keeps_its_flows_and_gets_no_new_flow) {
  core::Registration leaving = makeRegistration(1, "web", 1, 1);
  leaving.state = core::BackendState::kDraining;
  putBackend(1, leaving);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    now += 100ms;
    BOOST_TEST((backendOf(open(port)) != BackendId{1}));
  }
  BOOST_TEST((backendOf(send(99, BackendId{1}, 5, 10)) == BackendId{1}));
}

BOOST_AUTO_TEST_CASE(opening_without_route_is_refused_only_by_a_current_view) {
  core::PacketSummary unroutable = packet(1, core::PacketKind::kOpening);
  unroutable.flow.destination = endpoint(90, 9, 443);
  const core::Verdict refused = steering.onPacket(unroutable, now);
  BOOST_TEST((refuseReasonOf(refused) == RefuseReason::kNoRoute));
  BOOST_TEST((std::get<core::Refuse>(refused).certainty == core::RefusalCertainty::kNotRun));
  steering.setViewState(true, false);
  BOOST_TEST((dropReasonOf(steering.onPacket(unroutable, now)) == DropReason::kStaleView));
}

BOOST_AUTO_TEST_CASE(opening_before_the_first_routes_is_dropped) {
  core::TokenSteering empty(core::TokenSteeringOptions{}, weights, random);
  const core::Verdict verdict = empty.onPacket(packet(1, core::PacketKind::kOpening), now);
  BOOST_TEST((dropReasonOf(verdict) == DropReason::kNoConfiguration));
}

BOOST_AUTO_TEST_CASE(incomplete_view_places_no_openings) {
  steering.setViewState(false, false);
  BOOST_TEST((dropReasonOf(open(1)) == DropReason::kNoConfiguration));
  BOOST_TEST((backendOf(send(2, BackendId{1}, 1, 10)) == BackendId{1}));
}

BOOST_AUTO_TEST_CASE(service_without_backends_refuses_as_not_run_after_grace_period) {
  removeBackends();
  now += core::kUnannouncedRemovalGracePeriod;
  BOOST_TEST((dropReasonOf(open(1)) == DropReason::kEmptyService));
  now += core::kEmptyServiceGracePeriod;
  const core::Verdict verdict = open(2);
  BOOST_TEST((refuseReasonOf(verdict) == RefuseReason::kNoBackend));
  BOOST_TEST((std::get<core::Refuse>(verdict).certainty == core::RefusalCertainty::kNotRun));
}

// Guards against refused connection attempts, and overload of the first backends that registered
// again, after a store outage in which all registrations expired.
BOOST_AUTO_TEST_CASE(mass_expired_backends_receive_flows_during_grace_period) {
  removeBackends();
  now += 1s;
  const core::Verdict first = open(1);
  BOOST_TEST((routeReasonOf(first) == RouteReason::kPlaced));
  send(1, backendOf(first), 1, 0);
  putBackend(4, makeRegistration(4, "web", 1, 4));
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 2; port <= 9; ++port) {
    now += 100ms;
    ++flows[establishFlow(port)];
  }
  BOOST_TEST(flows.size() == 4U);
  // Backends that did not register again are removed after the grace period.
  now += core::kUnannouncedRemovalGracePeriod;
  for (std::uint16_t port = 20; port <= 29; ++port) {
    now += 100ms;
    BOOST_TEST((establishFlow(port) == BackendId{4}));
  }
}

BOOST_AUTO_TEST_CASE(single_backend_removed_unannounced_gets_no_flow) {
  steering.backends().remove(keyOf(1), ++revision, now);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    now += 50ms;
    BOOST_TEST((backendOf(open(port, 2)) != BackendId{1}));
  }
}

// Guards against a refusal when the policy excludes all expired backends of one split target.
BOOST_AUTO_TEST_CASE(split_uses_another_target_when_policy_excludes_all_expired_backends) {
  core::RouteSet routes = makeRoutes(2, {{1, "web"}});
  routes.routes[0].targets = {{"web", 1}, {"api", 1}};
  ExcludeWebWeights policy;
  core::TokenSteering weightedSteering(core::TokenSteeringOptions{}, policy, random);
  weightedSteering.setViewState(true, true);
  weightedSteering.routes().offer(routes, now);
  weightedSteering.backends().put(keyOf(1), makeRegistration(1, "web", 1, 1), 1, now);
  weightedSteering.backends().put(keyOf(2), makeRegistration(2, "web", 1, 2), 2, now);
  weightedSteering.backends().put(keyOf(60), makeRegistration(60, "api", 2, 1), 3, now);
  weightedSteering.backends().remove(keyOf(1), 4, now);
  weightedSteering.backends().remove(keyOf(2), 5, now);
  for (std::uint16_t port = 1; port <= 10; ++port) {
    now += 100ms;
    const core::Verdict verdict =
        weightedSteering.onPacket(packet(port, core::PacketKind::kOpening), now);
    BOOST_TEST((backendOf(verdict) == BackendId{60}));
  }
}

// A single backend that was removed unannounced is used only if its service has no other.
BOOST_AUTO_TEST_CASE(only_backend_receives_flows_during_grace_period_after_removal) {
  steering.backends().remove(keyOf(1), ++revision, now);
  steering.backends().remove(keyOf(2), ++revision, now);
  now += core::kUnannouncedRemovalGracePeriod;
  steering.backends().remove(keyOf(3), ++revision, now);
  now += 1s;
  BOOST_TEST((backendOf(open(1)) == BackendId{3}));
  now += 1s;
  BOOST_TEST((dropReasonOf(open(2)) == DropReason::kEmptyService));
}

BOOST_AUTO_TEST_CASE(retransmitted_opening_stays_on_backend_with_expired_registration) {
  const BackendId first = backendOf(open(1));
  removeBackends();
  now += 100ms;
  const core::Verdict again = open(1, 1);
  BOOST_TEST((backendOf(again) == first));
  BOOST_TEST((routeReasonOf(again) == RouteReason::kRepeated));
}

BOOST_AUTO_TEST_CASE(draining_backends_get_no_flow_after_removal) {
  for (std::uint8_t host = 1; host <= 3; ++host) {
    core::Registration leaving = makeRegistration(host, "web", 1, host);
    leaving.state = core::BackendState::kDraining;
    putBackend(host, leaving);
  }
  removeBackends();
  BOOST_TEST((dropReasonOf(open(1)) == DropReason::kEmptyService));
}

// Guards against overflow of backend queues when many clients connect at once.
BOOST_AUTO_TEST_CASE(burst_of_openings_is_paced) {
  int placed = 0;
  for (std::uint16_t port = 1; port <= 12; ++port) {
    placed += routeReasonOf(open(port)) == RouteReason::kPlaced ? 1 : 0;
  }
  BOOST_TEST(placed == 3);
  now += 200ms;
  BOOST_TEST((routeReasonOf(open(12, 1)) == RouteReason::kPlaced));
  // The last retransmission is never paced.
  for (std::uint16_t port = 20; port <= 30; ++port) {
    BOOST_TEST(routeReasonOf(open(port, 2)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(split_follows_target_weights_and_skips_empty_targets) {
  core::RouteSet routes = makeRoutes(2, {{1, "web"}});
  routes.routes[0].targets = {{"web", 75}, {"api", 25}};
  steering.routes().offer(routes, now);
  putBackend(60, makeRegistration(60, "api", 2, 1));
  int api = 0;
  for (std::uint16_t port = 1; port <= 200; ++port) {
    now += 100ms;
    api += establishFlow(port) == BackendId{60} ? 1 : 0;
  }
  BOOST_TEST(api >= 49);
  BOOST_TEST(api <= 51);
  steering.backends().remove(keyOf(60), ++revision, now);
  for (std::uint16_t port = 201; port <= 240; ++port) {
    now += 100ms;
    BOOST_TEST((backendOf(open(port)) != BackendId{60}));
  }
}

BOOST_AUTO_TEST_CASE(split_target_of_weight_zero_gets_no_flow) {
  core::RouteSet routes = makeRoutes(2, {{1, "web"}});
  routes.routes[0].targets = {{"api", 0}, {"web", 1}};
  steering.routes().offer(routes, now);
  putBackend(60, makeRegistration(60, "api", 2, 1));
  for (std::uint16_t port = 1; port <= 50; ++port) {
    now += 100ms;
    BOOST_TEST((establishFlow(port) != BackendId{60}));
  }
}

BOOST_AUTO_TEST_CASE(retransmitted_opening_stays_on_responsive_backend) {
  const BackendId first = backendOf(open(1));
  now += 50ms;
  // Another flow shows that the backend responds.
  send(2, first, 1, 10);
  send(2, first, 2, 10, 1010);
  now += 150ms;
  const core::Verdict again = open(1, 1);
  BOOST_TEST((backendOf(again) == first));
  BOOST_TEST((routeReasonOf(again) == RouteReason::kRepeated));
}

BOOST_AUTO_TEST_CASE(retransmitted_opening_moves_away_from_unresponsive_backend) {
  const BackendId first = backendOf(open(1));
  now += 200ms;
  const core::Verdict again = open(1, 1);
  BOOST_TEST((backendOf(again) != first));
  BOOST_TEST((routeReasonOf(again) == RouteReason::kReplaced));
}

// An unresponsive backend has the fewest open flows, but must not be preferred for that.
BOOST_AUTO_TEST_CASE(unresponsive_backend_gets_no_further_openings) {
  const BackendId unresponsive = backendOf(open(1));
  now += 200ms;
  for (std::uint16_t port = 10; port <= 40; ++port) {
    now += 100ms;
    BOOST_TEST((establishFlow(port) != unresponsive));
  }
}

BOOST_AUTO_TEST_CASE(opening_of_established_flow_is_dropped) {
  establishFlow(1);
  now += 600ms;
  BOOST_TEST((dropReasonOf(open(1, 2)) == DropReason::kStaleOpening));
}

BOOST_AUTO_TEST_CASE(reused_source_port_opens_a_new_flow) {
  establishFlow(1);
  now += core::kOpeningRetryWindow + 1s;
  BOOST_TEST((routeReasonOf(open(1)) == RouteReason::kPlaced));
}

BOOST_AUTO_TEST_CASE(openings_queued_during_suspension_are_dropped) {
  steering.onResume();
  BOOST_TEST((dropReasonOf(open(1)) == DropReason::kStaleOpening));
  BOOST_TEST((backendOf(send(2, BackendId{1}, 1, 10)) == BackendId{1}));
  steering.onQueueDrained();
  BOOST_TEST((routeReasonOf(open(3)) == RouteReason::kPlaced));
}

// Guards against slow backends receiving as many flows as the others.
BOOST_AUTO_TEST_CASE(slow_backend_gets_fewer_new_flows) {
  std::uint32_t data = 1000;
  const auto respondAll = [this, &data](core::Duration firstLatency) {
    for (std::uint16_t host = 1; host <= 3; ++host) {
      const auto port = static_cast<std::uint16_t>(500 + host);
      send(port, BackendId{host}, data, 10, data);
      now += host == 1 ? firstLatency : 40ms;
      data += 10;
      send(port, BackendId{host}, data, 0, data);
    }
  };
  for (int round = 0; round < 10; ++round) {
    respondAll(round < 5 ? 40ms : 200ms);
  }
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 1; port <= 18; ++port) {
    now += 60ms;
    ++flows[establishFlow(port)];
  }
  BOOST_TEST(flows[BackendId{1}] < 4);
  BOOST_TEST(steering.lastDecision().slowCandidates == 1U);
  BOOST_TEST((backendOf(send(501, BackendId{1}, data, 10, data)) == BackendId{1}));
}

BOOST_AUTO_TEST_CASE(outlier_gets_no_new_flow_and_keeps_its_own) {
  core::OutlierDetector outliers(1);
  steering.setOutliers(&outliers);
  const BackendId outlier = establishFlow(1);
  outliers.SetOutliers({outlier}, now);
  for (std::uint16_t port = 2; port <= 30; ++port) {
    now += 100ms;
    BOOST_TEST((establishFlow(port) != outlier));
  }
  BOOST_TEST((backendOf(send(1, outlier, 2, 10)) == outlier));
}

BOOST_AUTO_TEST_CASE(outliers_are_ignored_when_too_many) {
  core::OutlierDetector outliers(1);
  steering.setOutliers(&outliers);
  outliers.SetOutliers({BackendId{1}, BackendId{2}}, now);
  std::map<BackendId, int> flows;
  for (std::uint16_t port = 1; port <= 30; ++port) {
    now += 100ms;
    ++flows[establishFlow(port)];
  }
  BOOST_TEST(flows.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
