#include "core/relay/fleet_count.h"

#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

BOOST_FIXTURE_TEST_SUITE(FleetCountTest, RelayFixture)

BOOST_AUTO_TEST_CASE(the_highest_count_of_the_last_periods_holds)
{
  core::FleetCount fleet;
  BOOST_TEST(fleet.Get(100s) == core::kMaxFleetSize);
  fleet.OnHeard(1, 100s);
  BOOST_TEST(fleet.Get(101s) == core::kMaxFleetSize);
  fleet.OnHeard(40, 104s);
  fleet.OnHeard(20, 106s);
  BOOST_TEST(fleet.Get(106s) == 40U);
  BOOST_TEST(fleet.GetLatest() == 20U);
  for (core::Time at = 110s; at < 200s; at += 5s) {
    fleet.OnHeard(20, at);
  }
  BOOST_TEST(fleet.Get(200s) == 20U);
}

BOOST_AUTO_TEST_CASE(a_count_that_is_no_longer_heard_is_forgotten)
{
  core::FleetCount fleet;
  fleet.OnHeard(40, 100s);
  fleet.OnHeard(40, 110s);
  BOOST_TEST(fleet.Get(120s) == 40U);
  BOOST_TEST(fleet.Get(170s) == core::kMaxFleetSize);
  fleet.OnHeard(2, 171s);
  BOOST_TEST(fleet.Get(172s) == core::kMaxFleetSize);
}

BOOST_AUTO_TEST_CASE(all_daemons_count_the_fleet)
{
  this->Grow(60);
  this->Run(20s);
  for (auto& node : this->Nodes) {
    const auto count = node->Relay.CountFleet(node->Clock(this->Now));
    BOOST_TEST(count >= 60U);
    BOOST_TEST(count < 90U);
  }
}

BOOST_AUTO_TEST_CASE(half_of_the_fleet_cut_off_still_counts_the_whole)
{
  this->Grow(60);
  this->Run(20s);
  for (std::size_t i = 30; i < 60; ++i) {
    this->At(i).PeersCut = true;
  }
  this->Run(10s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Relay.CountFleet(node->Clock(this->Now)) >= 60U);
  }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_has_just_started_takes_the_fleet_for_large)
{
  this->Run(20s);
  this->Grow(13);
  this->Run(2s);
  Node& started = this->At(12);
  BOOST_TEST(started.Relay.CountFleet(started.Clock(this->Now)) ==
             core::kMaxFleetSize);
  this->Run(10s);
  BOOST_TEST(started.Relay.CountFleet(started.Clock(this->Now)) == 13U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
