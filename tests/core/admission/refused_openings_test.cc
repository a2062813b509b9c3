#include <boost/test/unit_test.hpp>

#include "core/admission/admission_limits.h"
#include "core/hashing.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::RefuseReason;

/// Three overloaded backends and two routes of different priorities.
struct OverloadFixture : TokenFixture
{
  core::PriorityAdmission Admission{ {} };
  std::uint16_t LastPlaced = 0;

  OverloadFixture()
  {
    this->steering.setAdmission(&this->Admission);
    core::RouteSet routes = makeRoutes(2, { { 1, "web" }, { 2, "web" } });
    routes.routes[0].priority = 2;
    routes.routes[1].priority = 1;
    this->steering.routes().offer(routes, this->now);
    for (std::uint16_t port = 1; port <= 200; ++port) {
      this->now += 5ms;
      if (routeReasonOf(this->open(port))) {
        this->LastPlaced = port;
      }
      this->FinishOpening(port);
    }
  }

  core::Verdict OpenHighPriority(std::uint16_t port)
  {
    core::PacketSummary summary = packet(port, core::PacketKind::kOpening);
    summary.flow.destination = endpoint(90, 2, 443);
    return this->steering.onPacket(summary, this->now);
  }

  /// Reports a result; every backend rejects half of its attempts.
  void FinishOpening(std::uint16_t port)
  {
    core::OpeningResult result;
    result.Backend = core::BackendId{ port % 3U + 1 };
    result.Service = core::serviceIdOf("web");
    result.Outcome = port % 2 == 0 ? core::OpeningOutcome::kServed
                                   : core::OpeningOutcome::kRejected;
    this->Admission.OnOpeningEnded(result, this->now);
  }

  /// Opens flows until one is refused.  \return its port, or zero.
  std::uint16_t FindRefused(std::uint32_t retransmission)
  {
    for (std::uint16_t port = 1000; port < 1100; ++port) {
      if (refuseReasonOf(this->open(port, retransmission)) ==
          RefuseReason::kOverloaded) {
        return port;
      }
    }
    return 0;
  }
};

BOOST_FIXTURE_TEST_SUITE(RefusedOpeningsTest, OverloadFixture)

BOOST_AUTO_TEST_CASE(refusal_states_that_the_request_was_not_run)
{
  const std::uint16_t port = this->FindRefused(0);
  BOOST_REQUIRE(port != 0);
  const core::Verdict verdict = this->open(port);
  const auto* refusal = std::get_if<core::Refuse>(&verdict);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->certainty == core::RefusalCertainty::kNotRun));
}

BOOST_AUTO_TEST_CASE(retransmitted_opening_is_not_refused)
{
  BOOST_TEST(this->FindRefused(1) == 0);
}

BOOST_AUTO_TEST_CASE(forwarded_opening_is_not_refused)
{
  BOOST_REQUIRE(this->FindRefused(0) != 0);
  BOOST_TEST(!refuseReasonOf(this->open(this->LastPlaced)).has_value());
}

BOOST_AUTO_TEST_CASE(higher_priority_is_placed_while_lower_is_refused)
{
  this->OpenHighPriority(2000);
  this->now += core::kAdmissionInterval;
  BOOST_REQUIRE(this->FindRefused(0) != 0);
  BOOST_TEST((refuseReasonOf(this->OpenHighPriority(3000)) !=
              RefuseReason::kOverloaded));
}

BOOST_AUTO_TEST_CASE(stale_view_refuses_nothing)
{
  this->steering.setViewState(true, false);
  BOOST_TEST(this->FindRefused(0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
