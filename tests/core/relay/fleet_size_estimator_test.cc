#include "core/relay/fleet_size_estimator.h"

#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

BOOST_FIXTURE_TEST_SUITE(FleetSizeEstimatorTest, RelayFixture)

BOOST_AUTO_TEST_CASE(estimate_is_the_maximum_of_recent_periods)
{
  core::FleetSizeEstimator fleet;
  BOOST_TEST(fleet.GetEstimate(100s) == core::kMaxFleetSize);
  fleet.OnCount(1, 100s);
  BOOST_TEST(fleet.GetEstimate(101s) == core::kMaxFleetSize);
  fleet.OnCount(40, 104s);
  fleet.OnCount(20, 106s);
  BOOST_TEST(fleet.GetEstimate(106s) == 40U);
  BOOST_TEST(fleet.GetLatestCount() == 20U);
  for (core::Time at = 110s; at < 200s; at += 5s) {
    fleet.OnCount(20, at);
  }
  BOOST_TEST(fleet.GetEstimate(200s) == 20U);
}

BOOST_AUTO_TEST_CASE(stale_count_is_discarded)
{
  core::FleetSizeEstimator fleet;
  fleet.OnCount(40, 100s);
  fleet.OnCount(40, 110s);
  BOOST_TEST(fleet.GetEstimate(120s) == 40U);
  BOOST_TEST(fleet.GetEstimate(170s) == core::kMaxFleetSize);
  fleet.OnCount(2, 171s);
  BOOST_TEST(fleet.GetEstimate(172s) == core::kMaxFleetSize);
}

BOOST_AUTO_TEST_CASE(all_daemons_estimate_the_fleet_size)
{
  this->GrowTo(60);
  this->Run(20s);
  for (auto& node : this->Nodes) {
    const auto count = node->Relay.GetFleetSize(node->Clock(this->Now));
    BOOST_TEST(count >= 60U);
    BOOST_TEST(count < 90U);
  }
}

BOOST_AUTO_TEST_CASE(partitioned_half_keeps_the_full_estimate)
{
  this->GrowTo(60);
  this->Run(20s);
  for (std::size_t i = 30; i < 60; ++i) {
    this->At(i).IsPartitioned = true;
  }
  this->Run(10s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Relay.GetFleetSize(node->Clock(this->Now)) >= 60U);
  }
}

BOOST_AUTO_TEST_CASE(started_daemon_assumes_the_largest_fleet)
{
  this->Run(20s);
  this->GrowTo(13);
  this->Run(2s);
  Node& started = this->At(12);
  BOOST_TEST(started.Relay.GetFleetSize(started.Clock(this->Now)) ==
             core::kMaxFleetSize);
  this->Run(10s);
  BOOST_TEST(started.Relay.GetFleetSize(started.Clock(this->Now)) == 13U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
