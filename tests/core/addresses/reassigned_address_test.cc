/// Flows of backends at whose address another backend registers.
#include "core/addresses/address_claim.h"
#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::PacketKind;
using core::Recipient;

/// A daemon that has watched the store all along, and one that starts later.
struct ReassignedAddressFixture
{
  sim::SeededRandom Random{ 1 };
  core::EqualWeights Weights;
  core::TokenSteering Watching{ addressTokenOptions(), Weights, Random };
  core::TokenSteering StartedLater{ addressTokenOptions(), Weights, Random };
  core::Time Now = 100s;
  const std::vector<std::uint8_t> Acknowledgement{ 7, 8, 9 };
  std::uint16_t NextPort = 1000;

  ReassignedAddressFixture()
  {
    for (core::TokenSteering* daemon :
         { &this->Watching, &this->StartedLater }) {
      daemon->routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
      daemon->setViewState(true, true);
    }
  }

  /// Apply a write of a backend at the address that all of them share.
  void Put(core::TokenSteering& daemon,
           std::uint64_t id,
           core::Revision revision,
           std::uint64_t startedAtMs = 0)
  {
    core::Registration registration = makeRegistration(id, "web", 1, 1);
    registration.startedAtMs = startedAtMs;
    daemon.backends().put(
      TokenFixture::keyOf(id), registration, revision, this->Now);
    daemon.onViewChanged();
  }

  void Remove(core::TokenSteering& daemon,
              std::uint64_t id,
              core::Revision revision)
  {
    daemon.backends().remove(TokenFixture::keyOf(id), revision, this->Now);
    daemon.onViewChanged();
  }

  /// Open a flow through a daemon and acknowledge the response.
  void EstablishFlow(core::TokenSteering& daemon, std::uint16_t port)
  {
    this->Now += 100ms;
    const core::Verdict opened = daemon.onPacket(
      TokenFixture::packet(port, PacketKind::kOpening), this->Now);
    BOOST_REQUIRE(std::holds_alternative<core::ForwardToBackend>(opened));
    this->Send(daemon, port);
  }

  /// Add backends at other addresses.
  void PutOthers(core::TokenSteering& daemon)
  {
    for (std::uint8_t host = 11; host <= 16; ++host) {
      daemon.backends().put(TokenFixture::keyOf(host),
                            makeRegistration(host, "web", 1, host),
                            core::Revision(host),
                            this->Now);
    }
  }

  /// Open flows until a backend has one, and leave that one unanswered until
  /// the backend is to be probed.
  void Suspect(core::TokenSteering& daemon, std::uint64_t id)
  {
    BackendId opened = core::kNoBackend;
    for (; opened != BackendId{ id }; ++this->NextPort) {
      BOOST_REQUIRE(this->NextPort < 2000);
      this->Now += 100ms;
      core::PacketSummary packet =
        TokenFixture::packet(this->NextPort, PacketKind::kOpening);
      opened = TokenFixture::backendOf(daemon.onPacket(packet, this->Now));
      packet.kind = PacketKind::kContinuing;
      packet.token =
        daemon.backends().tokenFor(*daemon.backends().find(opened));
      packet.acknowledgement = 1;
      if (opened != BackendId{ id }) {
        daemon.onPacket(packet, this->Now);
      }
    }
    this->Now += core::kResponseTimeout + 10ms;
    BOOST_REQUIRE(daemon.health().isSuspected(BackendId{ id }, this->Now));
    BOOST_REQUIRE(!daemon.takeProbes(this->Now).empty());
  }

  void MarkDead(core::TokenSteering& daemon, std::uint64_t id)
  {
    this->Suspect(daemon, id);
    daemon.onProbe(BackendId{ id }, core::ProbeResult::kTimedOut, this->Now);
    BOOST_REQUIRE(daemon.health().isDead(BackendId{ id }));
    daemon.takeResets();
  }

  /// Send a packet of an established flow at the shared address.
  core::Verdict Send(core::TokenSteering& daemon,
                     std::uint16_t port,
                     std::uint32_t dataLength = 0)
  {
    core::PacketSummary packet =
      TokenFixture::packet(port, PacketKind::kContinuing);
    packet.token = daemon.backends().tokenFor(
      { BackendId{ 1 }, core::serviceIdOf("web"), endpoint(1, 1, 8000) });
    packet.acknowledgement = 1;
    packet.sequence = 1000;
    packet.dataLength = dataLength;
    packet.bytes = this->Acknowledgement;
    return daemon.onPacket(packet, this->Now);
  }

  /// Check that a flow is forwarded to the address, for any backend there.
  bool IsKept(core::TokenSteering& daemon, std::uint16_t port)
  {
    const core::Verdict verdict = this->Send(daemon, port, 10);
    const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
    daemon.onTick(this->Now);
    return forward != nullptr &&
      forward->backend.endpoint == endpoint(1, 1, 8000) &&
      forward->recipient == Recipient::kAnyAtAddress &&
      daemon.takeResets().empty();
  }
};

BOOST_FIXTURE_TEST_SUITE(ReassignedAddressTest, ReassignedAddressFixture)

// Guards against resets of open flows of a live backend after a delayed write
// of the previous backend at its address.
BOOST_AUTO_TEST_CASE(late_write_of_ended_backend_resets_no_flow)
{
  this->Put(this->Watching, 1, 10);
  this->Remove(this->Watching, 1, 12);
  this->Put(this->Watching, 2, 11);
  this->Put(this->Watching, 1, 20);
  this->Put(this->StartedLater, 1, 20);
  this->Put(this->StartedLater, 2, 11);
  for (core::TokenSteering* daemon :
       { &this->Watching, &this->StartedLater }) {
    BOOST_TEST(this->IsKept(*daemon, 1));
    this->Remove(*daemon, 1, 30);
    BOOST_TEST(this->IsKept(*daemon, 1));
    BOOST_TEST(daemon->backends().takesNewFlows(BackendId{ 2 }));
    this->Now += 2s;
    BOOST_TEST(this->IsKept(*daemon, 1));
  }
}

// Guards against resets of flows that a daemon attributed to the previous
// backend because it did not know the current one yet.
BOOST_AUTO_TEST_CASE(registration_after_the_first_packet_resets_no_flow)
{
  this->Put(this->Watching, 1, 10, 1000);
  this->Send(this->Watching, 1);
  this->Put(this->Watching, 2, 20, 2000);
  BOOST_TEST(this->IsKept(this->Watching, 1));
}

// Guards against lost requests on idle flows of a backend that has ended: the
// current backend at the address resets them.
BOOST_AUTO_TEST_CASE(idle_flows_of_a_reassigned_address_get_one_keepalive)
{
  for (const std::uint64_t start : { 0U, 1000U }) {
    core::TokenSteering daemon(
      addressTokenOptions(), this->Weights, this->Random);
    daemon.routes().offer(makeRoutes(1, { { 1, "web" } }), this->Now);
    daemon.setViewState(true, true);
    this->Put(daemon, 1, 10, start);
    this->EstablishFlow(daemon, 1);
    BOOST_TEST(daemon.takeKeepAlives().empty());
    this->Put(daemon, 2, 20, 2 * start);
    const std::vector<core::FlowKeepAlive> sent = daemon.takeKeepAlives();
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].packet == this->Acknowledgement);
    BOOST_TEST(sent[0].flow.source.port == 1);
    BOOST_TEST((sent[0].forward.backend.endpoint == endpoint(1, 1, 8000)));
    BOOST_TEST((sent[0].forward.recipient == Recipient::kAnyAtAddress));
    BOOST_TEST(
      (sent[0].forward.token ==
       daemon.backends().tokenFor(*daemon.backends().find(BackendId{ 2 }))));
    this->Remove(daemon, 1, 21);
    this->Now += 2s;
    daemon.onTick(this->Now);
    BOOST_TEST(daemon.takeKeepAlives().empty());
  }
}

// The client itself retransmits unacknowledged data.
BOOST_AUTO_TEST_CASE(flows_with_unacknowledged_data_get_no_keepalive)
{
  this->Put(this->Watching, 1, 10);
  this->EstablishFlow(this->Watching, 1);
  this->Send(this->Watching, 1, 10);
  this->Put(this->Watching, 2, 20);
  BOOST_TEST(this->Watching.takeKeepAlives().empty());
}

// Guards against resets of flows of the current backend because the previous
// one was found dead and a delayed write brought its item back.
BOOST_AUTO_TEST_CASE(dead_state_ends_when_the_address_is_reassigned)
{
  this->Put(this->Watching, 1, 10);
  this->PutOthers(this->Watching);
  this->MarkDead(this->Watching, 1);
  this->Put(this->Watching, 2, 20);
  BOOST_TEST(this->IsKept(this->Watching, 500));
  this->Put(this->Watching, 1, 30);
  BOOST_TEST(this->IsKept(this->Watching, 500));
}

// Guards against a backend that has ended but seems to respond, because a
// connection to its address reaches the current backend there.
BOOST_AUTO_TEST_CASE(connection_to_a_shared_address_proves_no_response)
{
  this->Put(this->Watching, 1, 10);
  this->PutOthers(this->Watching);
  this->Put(this->Watching, 2, 20);
  this->Put(this->Watching, 1, 30);
  this->Suspect(this->Watching, 1);
  this->Watching.onProbe(
    BackendId{ 1 }, core::ProbeResult::kConnected, this->Now);
  BOOST_TEST(this->Watching.health().isSuspected(BackendId{ 1 }, this->Now));
  this->Remove(this->Watching, 2, 31);
  this->Watching.onProbe(
    BackendId{ 1 }, core::ProbeResult::kConnected, this->Now);
  BOOST_TEST(!this->Watching.health().isSuspected(BackendId{ 1 }, this->Now));
}

// A second response to a retransmitted connection attempt would break the flow
// if its first backend is alive.
BOOST_AUTO_TEST_CASE(pending_connection_attempt_stays_at_a_contested_backend)
{
  this->Put(this->Watching, 1, 10);
  core::PacketSummary packet = TokenFixture::packet(1, PacketKind::kOpening);
  BOOST_TEST((TokenFixture::backendOf(this->Watching.onPacket(
                packet, this->Now)) == BackendId{ 1 }));
  this->Put(this->Watching, 2, 20);
  this->Now += core::kResponseTimeout;
  packet.openingRetransmission = 1;
  const core::Verdict verdict = this->Watching.onPacket(packet, this->Now);
  BOOST_TEST((TokenFixture::backendOf(verdict) == BackendId{ 1 }));
  BOOST_TEST((std::get<core::ForwardToBackend>(verdict).recipient ==
              Recipient::kBackend));
}

BOOST_AUTO_TEST_CASE(contested_backend_gets_new_flows_only_if_it_is_the_last)
{
  this->Put(this->Watching, 1, 10);
  this->Put(this->Watching, 2, 20);
  for (std::uint16_t port = 1; port <= 20; ++port) {
    this->Now += 1s;
    const core::Verdict verdict = this->Watching.onPacket(
      TokenFixture::packet(port, PacketKind::kOpening), this->Now);
    BOOST_TEST((TokenFixture::backendOf(verdict) == BackendId{ 2 }));
    this->Send(this->Watching, port);
  }
  core::Registration draining = makeRegistration(2, "web", 1, 1);
  draining.state = core::BackendState::kDraining;
  this->Watching.backends().put(
    TokenFixture::keyOf(2), draining, 30, this->Now);
  const core::Verdict verdict = this->Watching.onPacket(
    TokenFixture::packet(99, PacketKind::kOpening), this->Now);
  BOOST_TEST((TokenFixture::backendOf(verdict) == BackendId{ 1 }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
