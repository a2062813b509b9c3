/// @file
/// Capacity of zones, estimated from the outcomes of openings.
#include "core/placement/local_capacity_estimator.h"

#include <boost/test/unit_test.hpp>

#include "core/placement/placement_limits.h"
#include "core/placement/queueing_model.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;
using core::OpeningOutcome;

struct EstimatorFixture
{
  static constexpr core::ServiceId kService{ 7 };
  static constexpr core::ZoneId kLocal{ 1 };
  static constexpr core::ZoneId kOther{ 2 };
  core::LocalCapacityEstimator Estimator;
  core::Time Now = 100s;

  /// End openings at a rate of 40 per second.
  void EndOpenings(core::ZoneId zone,
                   int count,
                   core::Duration took,
                   OpeningOutcome outcome = OpeningOutcome::kServed)
  {
    for (int opening = 0; opening < count; ++opening) {
      this->Now += 25ms;
      this->Estimator.OnOpeningEnded(
        { core::BackendId{ 1 }, kService, zone, 0, outcome, took }, this->Now);
    }
  }
  double DemandOf(core::ZoneId zone) const
  {
    return core::GetDemand(
      *this->Estimator.GetZoneCapacity(kService, zone, this->Now));
  }
};

BOOST_FIXTURE_TEST_SUITE(LocalCapacityEstimatorTest, EstimatorFixture)

BOOST_AUTO_TEST_CASE(ServiceWithoutOpeningsHasNoEstimate)
{
  BOOST_TEST(
    !this->Estimator.GetZoneCapacity(kService, kLocal, this->Now).has_value());
}

BOOST_AUTO_TEST_CASE(TypicalResponseTimesIndicateCapacity)
{
  this->EndOpenings(kLocal, 80, 40ms);
  BOOST_TEST(this->DemandOf(kLocal) == 0);
  // There are no recent samples of the other zone, and after a while none of
  // the local one.
  BOOST_TEST(this->DemandOf(kOther) == core::kUnsampledUtilization,
             boost::test_tools::tolerance(1e-9));
  this->Now += 2s;
  BOOST_TEST(this->DemandOf(kLocal) == core::kUnsampledUtilization,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(SlowResponsesAndRejectionsIndicateOverload)
{
  this->EndOpenings(kLocal, 80, 40ms);
  this->EndOpenings(kLocal, 16, 120ms);
  BOOST_TEST(this->DemandOf(kLocal) > 0.65);
  this->EndOpenings(kLocal, 16, 5ms, OpeningOutcome::kRejected);
  BOOST_TEST(this->DemandOf(kLocal) > 1.0);
  this->EndOpenings(kLocal, 60, 40ms);
  BOOST_TEST(this->DemandOf(kLocal) == 0);
}

// Guards against an idle estimate when too few openings are served to measure
// response times.
BOOST_AUTO_TEST_CASE(ZoneThatRejectsMostOpeningsIsNotIdle)
{
  this->EndOpenings(kLocal, 80, 40ms);
  this->Now += 3s;
  this->EndOpenings(kLocal, 2, 40ms);
  this->EndOpenings(kLocal, 8, 5ms, OpeningOutcome::kRejected);
  BOOST_TEST(this->DemandOf(kLocal) > 1.0);
}

BOOST_AUTO_TEST_CASE(BurstDoesNotRaiseTheBaseline)
{
  this->EndOpenings(kLocal, 80, 40ms);
  this->EndOpenings(kLocal, 400, 120ms);
  BOOST_TEST(this->DemandOf(kLocal) > 0.6);
}

BOOST_AUTO_TEST_CASE(UnansweredOpeningsAreNotOverload)
{
  this->EndOpenings(kLocal, 80, 40ms);
  this->EndOpenings(kLocal, 16, 1000ms, OpeningOutcome::kUnanswered);
  BOOST_TEST(this->DemandOf(kLocal) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
