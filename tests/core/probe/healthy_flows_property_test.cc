#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/constants.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;

/// Healthy backends behind a daemon with lost packets, suspensions, expired
/// registrations and late registration updates.
struct HealthyBackends : TokenFixture
{
  static constexpr std::uint64_t kBackends = 3;
  static constexpr std::uint16_t kFlows = 6;
  std::vector<BackendId> BackendByPort; ///< Of each flow.
  std::uint32_t Sequence = 0;

  HealthyBackends()
  {
    for (std::uint16_t port = 0; port < kFlows; ++port) {
      this->now += core::kOpeningPacingInterval;
      this->BackendByPort.push_back(this->establishFlow(port));
    }
  }

  void PerformRandomAction()
  {
    const int action = *rc::gen::inRange(0, 9);
    const auto port = *rc::gen::inRange<std::uint16_t>(0, kFlows);
    const auto id = *rc::gen::inRange<std::uint64_t>(1, kBackends + 1);
    this->now += std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
    switch (action) {
      case 0: // Data whose response is lost, or a retransmission.
        this->Sequence += *rc::gen::inRange<std::uint32_t>(0, 2) * 10;
        this->SendData(port, 1);
        break;
      case 1:
        this->SendData(port, this->now.count());
        break;
      case 2: // An unanswered opening.
        this->open(static_cast<std::uint16_t>(1'000 + this->Sequence++));
        break;
      case 3:
        this->Probe();
        break;
      case 4:
        this->steering.onTick(this->now);
        break;
      case 5:
        this->steering.onResume();
        this->steering.onQueueDrained();
        break;
      case 6: // The registration expires.
        this->steering.backends().remove(
          keyOf(id), ++this->revision, this->now);
        break;
      case 7:
        this->putBackend(id, this->RegistrationOf(id));
        this->steering.onViewChanged();
        break;
      default: // A late update of the previous backend at the address.
        this->steering.backends().put("servers/before-" + std::to_string(id),
                                      this->RegistrationOf(id + kBackends),
                                      this->GetLateRevision(id),
                                      this->now);
        this->steering.onViewChanged();
        break;
    }
  }

  static core::Registration RegistrationOf(std::uint64_t id)
  {
    const auto host = static_cast<std::uint8_t>((id - 1) % kBackends + 1);
    return makeRegistration(id, "web", 1, host);
  }

  /// Get the revision of a late update of the previous backend: the oldest one
  /// if the daemon does not know that backend yet.
  core::Revision GetLateRevision(std::uint64_t id)
  {
    core::BackendRegistry& backends = this->steering.backends();
    const bool isKnown =
      backends.knows("servers/before-" + std::to_string(id));
    return isKnown ? ++this->revision : 0;
  }

  /// Check that a backend is not a previous one at the same address.
  static bool IsHealthy(BackendId id)
  {
    return static_cast<std::uint64_t>(id) <= kBackends;
  }

  void SendData(std::uint16_t port, std::int64_t acknowledgement)
  {
    const BackendId backend = this->BackendByPort[port];
    const core::Verdict verdict =
      this->send(port,
                 backend,
                 static_cast<std::uint32_t>(acknowledgement),
                 10,
                 this->Sequence);
    // The packet may be dropped if the backend is no longer in the view.
    RC_ASSERT(!refuseReasonOf(verdict).has_value());
  }

  /// Probe with the results that are possible for a healthy backend; see
  /// FailureProbePropertyTest.
  void Probe()
  {
    for (const core::BackendAddress& probed :
         this->steering.takeProbes(this->now)) {
      const auto result = *rc::gen::element(ProbeResult::kConnected,
                                            ProbeResult::kRefused,
                                            ProbeResult::kInconclusive);
      this->steering.onProbe(probed.id, result, this->now);
    }
  }
};

BOOST_AUTO_TEST_SUITE(HealthyFlowsPropertyTest)

BOOST_AUTO_TEST_CASE(no_flow_of_a_healthy_backend_is_reset)
{
  BOOST_TEST(rc::check("flows of healthy backends are not reset", [] {
    HealthyBackends fixture;
    const int actions = *rc::gen::inRange(1, 60);
    for (int i = 0; i < actions; ++i) {
      fixture.PerformRandomAction();
      for (const core::FlowReset& reset : fixture.steering.takeResets()) {
        RC_ASSERT(!HealthyBackends::IsHealthy(reset.backend));
      }
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
