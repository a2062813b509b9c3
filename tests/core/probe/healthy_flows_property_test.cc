#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/constants.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;

/// Back ends that live and answer every connection, under a daemon that loses
/// packets, stands still, and has a view that lapses and comes back late.
struct HealthyBackends : TokenFixture
{
  static constexpr std::uint64_t kBackends = 3;
  static constexpr std::uint16_t kFlows = 6;
  std::vector<BackendId> BackendByPort; ///< Their back ends, by port.
  std::uint32_t Sequence = 0;

  HealthyBackends()
  {
    for (std::uint16_t port = 0; port < kFlows; ++port) {
      this->now += core::kOpeningSpacing;
      this->BackendByPort.push_back(this->openAndAnswer(port));
    }
  }

  void PerformRandomAction()
  {
    const int action = *rc::gen::inRange(0, 9);
    const auto port = *rc::gen::inRange<std::uint16_t>(0, kFlows);
    const auto id = *rc::gen::inRange<std::uint64_t>(1, kBackends + 1);
    this->now += std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
    switch (action) {
      case 0: // Data whose answer is lost, or that was sent before.
        this->Sequence += *rc::gen::inRange<std::uint32_t>(0, 2) * 10;
        this->SendData(port, 1);
        break;
      case 1:
        this->SendData(port, this->now.count());
        break;
      case 2: // An opening that nobody answers.
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
      case 6: // The registration lapses.
        this->steering.backends().remove(
          keyOf(id), ++this->revision, this->now);
        break;
      case 7:
        this->putBackend(id, this->RegistrationOf(id));
        this->steering.onViewChanged();
        break;
      default: // A late word of the one that was at the address before.
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

  /// \return a revision of one that came before: it is known already, and
  /// only its last word is late.
  core::Revision GetLateRevision(std::uint64_t id)
  {
    core::BackendRegistry& backends = this->steering.backends();
    const bool isKnown =
      backends.knows("servers/before-" + std::to_string(id));
    return isKnown ? ++this->revision : 0;
  }

  /// Tell the living ones from those that were at their addresses before.
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
    // It may be dropped, where the view has forgotten the back end.
    RC_ASSERT(!refusalOf(verdict).has_value());
  }

  /// What a trial says of a back end that answers: see DeathTrial's property.
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
  BOOST_TEST(rc::check("flows of living back ends pass", [] {
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
