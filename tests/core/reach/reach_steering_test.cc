#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::DropReason;
using core::RefuseReason;
using core::RouteReason;

core::TokenSteeringOptions ReachingOptions()
{
  core::TokenSteeringOptions options;
  options.home = endpoint(1, 200, 0).address;
  return options;
}

/// A daemon whose tokens hold addresses, and one that has just started and
/// has no view.
struct ReachFixture
{
  sim::SeededRandom Random{ 1 };
  core::EqualWeights Weights;
  core::TokenSteering Steering{ ReachingOptions(), Weights, Random };
  core::TokenSteering Blind{ ReachingOptions(), Weights, Random };
  core::Time Now = 100s;
  core::Revision Revision = 0;

  ReachFixture()
  {
    this->Steering.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
    for (std::uint8_t host = 1; host <= 6; ++host) {
      this->Put(this->Steering, makeRegistration(host, "web", 1, host));
    }
    this->Steering.setViewState(true, true);
  }

  void Put(core::TokenSteering& steering,
           const core::Registration& registration)
  {
    const auto id = static_cast<std::uint64_t>(registration.id);
    steering.backends().put(
      TokenFixture::keyOf(id), registration, ++this->Revision, this->Now);
  }

  /// Open a flow.
  /// \return how the opening went on.
  core::ForwardToBackend Open(std::uint16_t port)
  {
    this->Now += 100ms;
    const core::Verdict verdict = this->Steering.onPacket(
      TokenFixture::packet(port, core::PacketKind::kOpening), this->Now);
    BOOST_REQUIRE(std::holds_alternative<core::ForwardToBackend>(verdict));
    return std::get<core::ForwardToBackend>(verdict);
  }

  core::Verdict Send(core::TokenSteering& steering,
                     std::uint16_t port,
                     core::SteeringToken token,
                     std::uint32_t acknowledgement = 1)
  {
    core::PacketSummary summary =
      TokenFixture::packet(port, core::PacketKind::kContinuing);
    summary.token = token;
    summary.acknowledgement = acknowledgement;
    summary.sequence = 1000;
    summary.dataLength = 10;
    return steering.onPacket(summary, this->Now);
  }

  /// Show the blind daemon tokens of enough hosts.
  void TellPort()
  {
    for (std::uint8_t host = 1; host <= core::kHostsForPort; ++host) {
      this->Send(this->Blind, host, this->TokenOfHost(host));
    }
    BOOST_REQUIRE((this->Blind.takeFoundPort() == 8000));
  }

  core::SteeringToken TokenOfHost(std::uint8_t host) const
  {
    return this->Steering.backends().tokenFor(
      *this->Steering.backends().find(BackendId{ host }));
  }
};

BOOST_FIXTURE_TEST_SUITE(ReachSteeringTest, ReachFixture)

// After a total loss of power with the store away all packets of open flows
// were dropped, though their back ends lived (lantern-archive, a hunt day:
// 2,052 packets in two seconds).
BOOST_AUTO_TEST_CASE(a_daemon_without_any_view_sends_open_flows_on)
{
  const core::ForwardToBackend opened = this->Open(1);
  this->TellPort();
  const core::Verdict verdict = this->Send(this->Blind, 1, opened.token);
  const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
  BOOST_REQUIRE(forward != nullptr);
  BOOST_TEST((forward->backend.endpoint == opened.backend.endpoint));
  BOOST_TEST((forward->backend.id == core::kNoBackend));
  BOOST_TEST((forward->reason == RouteReason::kReached));
}

BOOST_AUTO_TEST_CASE(
  a_daemon_without_any_view_opens_refuses_and_resets_nothing)
{
  this->TellPort();
  const core::Verdict opening = this->Blind.onPacket(
    TokenFixture::packet(9, core::PacketKind::kOpening), this->Now);
  BOOST_TEST((TokenFixture::dropOf(opening) == DropReason::kNoConfiguration));
  BOOST_TEST(this->Blind.takeResets().empty());
  BOOST_TEST(this->Blind.takeProbes(this->Now + 10s).empty());
}

BOOST_AUTO_TEST_CASE(a_flow_whose_registration_lapsed_before_the_view_goes_on)
{
  const core::ForwardToBackend opened = this->Open(1);
  this->Put(this->Blind, makeRegistration(50, "web", 1, 50));
  this->Blind.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
  this->Blind.setViewState(true, true);
  const core::Verdict verdict = this->Send(this->Blind, 1, opened.token);
  BOOST_TEST((TokenFixture::ruleOf(verdict) == RouteReason::kReached));
}

BOOST_AUTO_TEST_CASE(flows_of_a_dropped_route_are_reset_whatever_their_token)
{
  const core::ForwardToBackend opened = this->Open(1);
  this->Put(this->Blind, makeRegistration(50, "web", 1, 50));
  this->Blind.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
  this->Blind.routes().offer(makeRoutes(2, { { 2, "web" } }), this->Now);
  this->Blind.setViewState(true, true);
  const core::Verdict verdict = this->Send(this->Blind, 1, opened.token);
  BOOST_TEST(
    (TokenFixture::refusalOf(verdict) == RefuseReason::kRouteDropped));
}

BOOST_AUTO_TEST_CASE(both_forms_of_a_token_reach_a_known_back_end)
{
  const BackendId third{ 3 };
  const core::Verdict byAddress =
    this->Send(this->Steering, 1, this->TokenOfHost(3));
  const core::Verdict byHash =
    this->Send(this->Steering, 2, core::HashTokenOf(third));
  const core::Endpoint expected = endpoint(1, 3, 8000);
  for (const core::Verdict& verdict : { byAddress, byHash }) {
    const auto& forward = std::get<core::ForwardToBackend>(verdict);
    BOOST_TEST((forward.backend.endpoint == expected));
    BOOST_TEST((forward.reason == RouteReason::kCarriedToken));
    // The flow carries the present form from now on.
    BOOST_TEST((forward.token == this->TokenOfHost(3)));
  }
}

BOOST_AUTO_TEST_CASE(a_back_end_at_another_network_keeps_the_hash)
{
  core::Registration far = makeRegistration(70, "web", 1, 1);
  far.endpoint.address.bytes[0] = 172;
  this->Put(this->Steering, far);
  const auto* backend = this->Steering.backends().find(BackendId{ 70 });
  BOOST_TEST((this->Steering.backends().tokenFor(*backend) ==
              core::HashTokenOf(BackendId{ 70 })));
  const core::Verdict verdict =
    this->Send(this->Steering, 1, core::HashTokenOf(BackendId{ 70 }));
  BOOST_TEST((TokenFixture::backendOf(verdict) == BackendId{ 70 }));
}

BOOST_AUTO_TEST_CASE(a_reused_address_is_the_last_back_ends)
{
  const core::SteeringToken token = this->TokenOfHost(2);
  this->Steering.backends().remove(
    TokenFixture::keyOf(2), ++this->Revision, this->Now);
  BOOST_TEST(
    (this->Steering.backends().findByToken(token)->id == BackendId{ 2 }));
  this->Put(this->Steering, makeRegistration(60, "web", 1, 2));
  BOOST_TEST(
    (this->Steering.backends().findByToken(token)->id == BackendId{ 60 }));
  // The later one takes flows: the earlier one does not keep its token.
  BOOST_TEST(this->Steering.backends().takesNewFlows(BackendId{ 60 }));
  BOOST_TEST(!this->Steering.backends().takesNewFlows(BackendId{ 2 }));
}

BOOST_AUTO_TEST_CASE(two_back_ends_of_one_host_with_one_token_use_the_hash)
{
  const auto& codec = core::AddressTokenCodec(*ReachingOptions().home,
                                              ReachingOptions().hashSeed);
  const core::PortCheck check = codec.GetPortCheck(this->TokenOfHost(1));
  std::uint16_t port = 8001;
  while (!check.Fits(port)) {
    ++port;
  }
  const core::SteeringToken shared = this->TokenOfHost(1);
  core::Registration twin = makeRegistration(80, "web", 1, 1);
  twin.endpoint.port = port;
  this->Put(this->Steering, twin);
  for (const BackendId id : { BackendId{ 1 }, BackendId{ 80 } }) {
    const auto* backend = this->Steering.backends().find(id);
    BOOST_TEST(
      (this->Steering.backends().tokenFor(*backend) == core::HashTokenOf(id)));
    BOOST_TEST(this->Steering.backends().takesNewFlows(id));
  }
  const core::Verdict verdict = this->Send(this->Steering, 1, shared);
  BOOST_TEST((TokenFixture::dropOf(verdict) == DropReason::kUnknownToken));
}

BOOST_AUTO_TEST_CASE(a_forgotten_back_end_leaves_its_token)
{
  const core::SteeringToken token = this->TokenOfHost(2);
  this->Steering.backends().remove(
    TokenFixture::keyOf(2), ++this->Revision, this->Now);
  this->Steering.backends().discardDeparted(this->Now + 61s);
  BOOST_TEST(this->Steering.backends().findByToken(token) == nullptr);
}

// A daemon without a view once opened flows at back ends that answered others
// of their route. Such flows may be older than a version that took the service
// from the route: CONFIG was broken on cflc-quotes-grown (trouble-3).
BOOST_AUTO_TEST_CASE(answers_alone_open_no_flow)
{
  this->TellPort();
  this->Send(this->Blind, 1, this->TokenOfHost(2), 1);
  this->Send(this->Blind, 1, this->TokenOfHost(2), 2);
  const core::Verdict opening = this->Blind.onPacket(
    TokenFixture::packet(9, core::PacketKind::kOpening), this->Now);
  BOOST_TEST((TokenFixture::dropOf(opening) == DropReason::kNoConfiguration));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
