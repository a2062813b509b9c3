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

/// A daemon that uses address tokens, and one that has no view yet.
struct AddressTokenFixture
{
  sim::SeededRandom Random{ 1 };
  core::EqualWeights Weights;
  core::TokenSteering Steering{ addressTokenOptions(), Weights, Random };
  core::TokenSteering WithoutView{ addressTokenOptions(), Weights, Random };
  core::Time Now = 100s;
  core::Revision Revision = 0;

  AddressTokenFixture()
  {
    this->Steering.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
    for (std::uint8_t host = 1; host <= 6; ++host) {
      this->PutBackend(this->Steering, makeRegistration(host, "web", 1, host));
    }
    this->Steering.setViewState(true, true);
  }

  void PutBackend(core::TokenSteering& steering,
                  const core::Registration& registration)
  {
    const auto id = static_cast<std::uint64_t>(registration.id);
    steering.backends().put(
      TokenFixture::keyOf(id), registration, ++this->Revision, this->Now);
  }

  core::ForwardToBackend OpenFlow(std::uint16_t port)
  {
    this->Now += 100ms;
    const core::Verdict verdict = this->Steering.onPacket(
      TokenFixture::packet(port, core::PacketKind::kOpening), this->Now);
    BOOST_REQUIRE(std::holds_alternative<core::ForwardToBackend>(verdict));
    return std::get<core::ForwardToBackend>(verdict);
  }

  core::Verdict SendPacket(core::TokenSteering& steering,
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

  /// Send tokens of enough hosts to the daemon without view to infer the port.
  void InferPort()
  {
    for (std::uint8_t host = 1; host <= core::kMinHostsForPort; ++host) {
      this->SendPacket(this->WithoutView, host, this->TokenOfHost(host));
    }
    BOOST_REQUIRE((this->WithoutView.takeDiscoveredPort() == 8000));
  }

  core::SteeringToken TokenOfHost(std::uint8_t host) const
  {
    return this->Steering.backends().tokenFor(
      *this->Steering.backends().find(BackendId{ host }));
  }
};

BOOST_FIXTURE_TEST_SUITE(AddressTokenSteeringTest, AddressTokenFixture)

// Packets of open flows must not be dropped when all daemons restart while the
// store is unreachable.
BOOST_AUTO_TEST_CASE(daemon_without_view_forwards_open_flows)
{
  const core::ForwardToBackend opened = this->OpenFlow(1);
  this->InferPort();
  const core::Verdict verdict =
    this->SendPacket(this->WithoutView, 1, opened.token);
  const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
  BOOST_REQUIRE(forward != nullptr);
  BOOST_TEST((forward->backend.endpoint == opened.backend.endpoint));
  BOOST_TEST((forward->backend.id == core::kNoBackend));
  BOOST_TEST((forward->recipient == core::Recipient::kAnyAtAddress));
  BOOST_TEST((forward->reason == RouteReason::kResolvedToken));
}

BOOST_AUTO_TEST_CASE(daemon_without_view_neither_opens_nor_resets_flows)
{
  this->InferPort();
  const core::Verdict opening = this->WithoutView.onPacket(
    TokenFixture::packet(9, core::PacketKind::kOpening), this->Now);
  BOOST_TEST(
    (TokenFixture::dropReasonOf(opening) == DropReason::kNoConfiguration));
  BOOST_TEST(this->WithoutView.takeResets().empty());
  BOOST_TEST(this->WithoutView.takeProbes(this->Now + 10s).empty());
}

BOOST_AUTO_TEST_CASE(flow_of_expired_registration_is_forwarded)
{
  const core::ForwardToBackend opened = this->OpenFlow(1);
  this->PutBackend(this->WithoutView, makeRegistration(50, "web", 1, 50));
  this->WithoutView.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
  this->WithoutView.setViewState(true, true);
  const core::Verdict verdict =
    this->SendPacket(this->WithoutView, 1, opened.token);
  BOOST_TEST(
    (TokenFixture::routeReasonOf(verdict) == RouteReason::kResolvedToken));
}

BOOST_AUTO_TEST_CASE(flows_of_a_dropped_route_are_reset)
{
  const core::ForwardToBackend opened = this->OpenFlow(1);
  this->PutBackend(this->WithoutView, makeRegistration(50, "web", 1, 50));
  this->WithoutView.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
  this->WithoutView.routes().offer(makeRoutes(2, { { 2, "web" } }), this->Now);
  this->WithoutView.setViewState(true, true);
  const core::Verdict verdict =
    this->SendPacket(this->WithoutView, 1, opened.token);
  BOOST_TEST(
    (TokenFixture::refuseReasonOf(verdict) == RefuseReason::kRouteDropped));
}

BOOST_AUTO_TEST_CASE(address_and_hash_tokens_route_to_a_known_backend)
{
  const BackendId backendId{ 3 };
  const core::Verdict byAddress =
    this->SendPacket(this->Steering, 1, this->TokenOfHost(3));
  const core::Verdict byHash =
    this->SendPacket(this->Steering, 2, core::HashTokenOf(backendId));
  const core::Endpoint expected = endpoint(1, 3, 8000);
  for (const core::Verdict& verdict : { byAddress, byHash }) {
    const auto& forward = std::get<core::ForwardToBackend>(verdict);
    BOOST_TEST((forward.backend.endpoint == expected));
    BOOST_TEST((forward.reason == RouteReason::kCarriedToken));
    // Packets forwarded with a hash token get the address token.
    BOOST_TEST((forward.token == this->TokenOfHost(3)));
  }
}

BOOST_AUTO_TEST_CASE(backend_in_another_network_uses_a_hash_token)
{
  core::Registration otherNetwork = makeRegistration(70, "web", 1, 1);
  otherNetwork.endpoint.address.bytes[0] = 172;
  this->PutBackend(this->Steering, otherNetwork);
  const auto* backend = this->Steering.backends().find(BackendId{ 70 });
  BOOST_TEST((this->Steering.backends().tokenFor(*backend) ==
              core::HashTokenOf(BackendId{ 70 })));
  const core::Verdict verdict =
    this->SendPacket(this->Steering, 1, core::HashTokenOf(BackendId{ 70 }));
  BOOST_TEST((TokenFixture::backendOf(verdict) == BackendId{ 70 }));
}

BOOST_AUTO_TEST_CASE(reused_address_belongs_to_the_latest_backend)
{
  const core::SteeringToken token = this->TokenOfHost(2);
  this->Steering.backends().remove(
    TokenFixture::keyOf(2), ++this->Revision, this->Now);
  BOOST_TEST(
    (this->Steering.backends().findByToken(token)->id == BackendId{ 2 }));
  this->PutBackend(this->Steering, makeRegistration(60, "web", 1, 2));
  BOOST_TEST(
    (this->Steering.backends().findByToken(token)->id == BackendId{ 60 }));
  // Only the later backend accepts new flows.
  BOOST_TEST(this->Steering.backends().takesNewFlows(BackendId{ 60 }));
  BOOST_TEST(!this->Steering.backends().takesNewFlows(BackendId{ 2 }));
}

BOOST_AUTO_TEST_CASE(colliding_address_tokens_on_one_host_use_hashes)
{
  const auto& codec = core::AddressTokenCodec(
    *addressTokenOptions().localAddress, addressTokenOptions().hashSeed);
  const core::PortCheck check = codec.GetPortCheck(this->TokenOfHost(1));
  std::uint16_t port = 8001;
  while (!check.Matches(port)) {
    ++port;
  }
  const core::SteeringToken shared = this->TokenOfHost(1);
  core::Registration colliding = makeRegistration(80, "web", 1, 1);
  colliding.endpoint.port = port;
  this->PutBackend(this->Steering, colliding);
  for (const BackendId id : { BackendId{ 1 }, BackendId{ 80 } }) {
    const auto* backend = this->Steering.backends().find(id);
    BOOST_TEST(
      (this->Steering.backends().tokenFor(*backend) == core::HashTokenOf(id)));
    BOOST_TEST(this->Steering.backends().takesNewFlows(id));
  }
  const core::Verdict verdict = this->SendPacket(this->Steering, 1, shared);
  BOOST_TEST(
    (TokenFixture::dropReasonOf(verdict) == DropReason::kUnknownToken));
}

BOOST_AUTO_TEST_CASE(removed_backend_releases_its_token)
{
  const core::SteeringToken token = this->TokenOfHost(2);
  this->Steering.backends().remove(
    TokenFixture::keyOf(2), ++this->Revision, this->Now);
  this->Steering.backends().discardExpired(this->Now + 61s);
  BOOST_TEST(this->Steering.backends().findByToken(token) == nullptr);
}

// Packets of open flows must not make their backend a target for new flows, as
// a later configuration may have removed its service from the route.
BOOST_AUTO_TEST_CASE(responses_without_view_open_no_flow)
{
  this->InferPort();
  this->SendPacket(this->WithoutView, 1, this->TokenOfHost(2), 1);
  this->SendPacket(this->WithoutView, 1, this->TokenOfHost(2), 2);
  const core::Verdict opening = this->WithoutView.onPacket(
    TokenFixture::packet(9, core::PacketKind::kOpening), this->Now);
  BOOST_TEST(
    (TokenFixture::dropReasonOf(opening) == DropReason::kNoConfiguration));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
