#include <boost/test/unit_test.hpp>

#include "core/admission/admission_limits.h"
#include "core/hashing.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::RefuseReason;

/// Three back ends that are full, and two routes of different rank.
struct FullFixture : TokenFixture
{
  core::RankAdmission Admission{ {} };
  std::uint16_t LastPlaced = 0;

  FullFixture()
  {
    this->steering.setAdmission(&this->Admission);
    core::RouteSet routes = makeRoutes(2, { { 1, "web" }, { 2, "web" } });
    routes.routes[0].priority = 2;
    routes.routes[1].priority = 1;
    this->steering.routes().offer(routes, this->now);
    for (std::uint16_t port = 1; port <= 200; ++port) {
      this->now += 5ms;
      if (ruleOf(this->open(port))) {
        this->LastPlaced = port;
      }
      this->End(port);
    }
  }

  core::Verdict OpenHigh(std::uint16_t port)
  {
    core::PacketSummary summary = packet(port, core::PacketKind::kOpening);
    summary.flow.destination = endpoint(90, 2, 443);
    return this->steering.onPacket(summary, this->now);
  }

  /// Half of the openings are turned away, by every back end.
  void End(std::uint16_t port)
  {
    core::OpeningResult result;
    result.Backend = core::BackendId{ port % 3U + 1 };
    result.Service = core::serviceIdOf("web");
    result.Outcome = port % 2 == 0 ? core::OpeningOutcome::kServed
                                   : core::OpeningOutcome::kRejected;
    this->Admission.OnOpeningEnded(result, this->now);
  }

  /// Open until one is refused. \return its port, or zero.
  std::uint16_t FindRefused(std::uint32_t copy)
  {
    for (std::uint16_t port = 1000; port < 1100; ++port) {
      if (refusalOf(this->open(port, copy)) == RefuseReason::kNoRoom) {
        return port;
      }
    }
    return 0;
  }
};

BOOST_FIXTURE_TEST_SUITE(RefusedOpeningsTest, FullFixture)

BOOST_AUTO_TEST_CASE(an_opening_is_refused_as_not_run)
{
  const std::uint16_t port = this->FindRefused(0);
  BOOST_REQUIRE(port != 0);
  const core::Verdict verdict = this->open(port);
  const auto* refusal = std::get_if<core::Refuse>(&verdict);
  BOOST_REQUIRE(refusal != nullptr);
  BOOST_TEST((refusal->certainty == core::RefusalCertainty::kNotRun));
}

BOOST_AUTO_TEST_CASE(a_copy_of_an_opening_that_may_have_been_sent_on_is_not)
{
  BOOST_TEST(this->FindRefused(1) == 0);
}

BOOST_AUTO_TEST_CASE(an_opening_that_was_sent_on_is_not_refused)
{
  BOOST_REQUIRE(this->FindRefused(0) != 0);
  BOOST_TEST(!refusalOf(this->open(this->LastPlaced)).has_value());
}

BOOST_AUTO_TEST_CASE(the_higher_rank_is_placed_while_the_lower_is_refused)
{
  this->OpenHigh(2000);
  this->now += core::kAdmissionStep;
  BOOST_REQUIRE(this->FindRefused(0) != 0);
  BOOST_TEST((refusalOf(this->OpenHigh(3000)) != RefuseReason::kNoRoom));
}

BOOST_AUTO_TEST_CASE(a_view_that_may_be_stale_refuses_nobody)
{
  this->steering.setViewState(true, false);
  BOOST_TEST(this->FindRefused(0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
