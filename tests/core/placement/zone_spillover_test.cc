/// @file
/// Local shares of zones with delayed, lost and wrong statistics.
#include "core/placement/zone_spillover.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/placement/placement_limits.h"
#include "core/placement/queueing_model.h"
#include "core/placement/zone_queue_model.h"
#include "sim/seeded_random.h"

namespace cobaltgauge::tests {
namespace {

/// Demand of a zone during a burst, above its capacity.
constexpr double kBurstDemand = 1.2;

/// Get the difference between the highest and lowest utilization of a zone
/// within some time.
double MeasureSwing(ZoneQueueModel& queues,
                    std::size_t zone,
                    core::Duration time)
{
  double lowest = 10;
  double highest = 0;
  for (core::Duration passed{}; passed < time;
       passed += ZoneQueueModel::kStep) {
    queues.Step();
    lowest = std::min(lowest, queues.Utilization[zone]);
    highest = std::max(highest, queues.Utilization[zone]);
  }
  return highest - lowest;
}

BOOST_AUTO_TEST_SUITE(ZoneSpilloverTest)

BOOST_AUTO_TEST_CASE(QueueingModelMatchesMM2)
{
  for (const double use : { 0.1, 0.5, 0.9 }) {
    BOOST_TEST(core::GetSlotUtilization(core::GetRequestsPerSlot(use)) == use,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(core::GetUtilizationForWait(core::GetRelativeWait(use)) == use,
               boost::test_tools::tolerance(1e-9));
  }
  BOOST_TEST(core::GetRelativeWait(0.5) == 1.0 / 3,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(core::GetSlotUtilization(1e9) == core::kMaxSlotUtilization);
  BOOST_TEST(core::GetSlotUtilization(0) == 0);
}

BOOST_AUTO_TEST_CASE(LightlyLoadedZoneKeepsAllOpenings)
{
  ZoneQueueModel queues(3);
  queues.Demand = { 0.33, 0.2, 0.1 };
  queues.Run(5s);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    BOOST_TEST(queues.LocalShare(zone) == 1);
  }
}

BOOST_AUTO_TEST_CASE(OverloadedZoneSpillsUntilNoZoneIsOverloaded)
{
  for (const core::Duration delay : { 100ms, 300ms, 600ms, 1000ms }) {
    BOOST_TEST_CONTEXT("reports late by " << delay.count() << " us")
    {
      ZoneQueueModel queues(3);
      queues.Delay = delay;
      queues.Run(3s);
      queues.Demand[0] = kBurstDemand;
      queues.Run(700ms + 2 * delay);
      // Neither the local nor another zone is overloaded.
      BOOST_TEST(queues.Utilization[0] < 0.8);
      BOOST_TEST(queues.Utilization[1] < 0.8);
      queues.Run(2s);
      BOOST_TEST(MeasureSwing(queues, 0, 4s) < 0.1);
      queues.Demand[0] = 0.2;
      queues.Run(1s + 2 * delay);
      BOOST_TEST(queues.LocalShare(0) == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(TwoOverloadedZonesShareTheOthers)
{
  ZoneQueueModel queues(4);
  queues.Demand = { kBurstDemand, kBurstDemand, 0.2, 0.2 };
  queues.Run(6s);
  for (std::size_t zone = 0; zone < 4; ++zone) {
    BOOST_TEST(queues.Utilization[zone] < 0.85);
  }
  BOOST_TEST(MeasureSwing(queues, 0, 4s) < 0.15);
}

BOOST_AUTO_TEST_CASE(ZonesKeepTheirOpeningsWhenAllAreOverloaded)
{
  ZoneQueueModel queues(3);
  queues.Demand = { 1.5, 1.5, 1.5 };
  queues.Run(5s);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    BOOST_TEST(queues.LocalShare(zone) > 0.9);
  }
}

BOOST_AUTO_TEST_CASE(LostAndRepeatedReportsCauseNoOscillation)
{
  sim::SeededRandom random(3);
  ZoneQueueModel queues(3);
  std::vector<core::ZoneCapacity> last;
  queues.OnReport = [&](std::vector<core::ZoneCapacity>& capacities) {
    const std::uint64_t action = random.below(4);
    if (action == 0 && !last.empty()) {
      capacities = last;
    }
    last = capacities;
    return action != 1;
  };
  queues.Demand[0] = kBurstDemand;
  queues.Run(5s);
  BOOST_TEST(queues.Utilization[0] < 0.85);
  BOOST_TEST(MeasureSwing(queues, 0, 4s) < 0.35);
}

BOOST_AUTO_TEST_CASE(ReportErrorsCauseProportionalDeviation)
{
  sim::SeededRandom random(3);
  ZoneQueueModel queues(3);
  queues.OnReport = [&](std::vector<core::ZoneCapacity>& capacities) {
    for (core::ZoneCapacity& capacity : capacities) {
      capacity.Utilization *= 0.8 + 0.1 * static_cast<double>(random.below(5));
    }
    return true;
  };
  queues.Demand[0] = kBurstDemand;
  queues.Run(3s);
  BOOST_TEST(MeasureSwing(queues, 0, 4s) < 0.35);
  BOOST_TEST(queues.Utilization[0] < 0.9);
}

BOOST_AUTO_TEST_CASE(PolicyAppliesWithoutStatistics)
{
  ZoneQueueModel queues(3);
  queues.Demand[0] = kBurstDemand;
  queues.Run(3s);
  BOOST_TEST(queues.LocalShare(0) < 0.8);
  queues.OnReport = [](std::vector<core::ZoneCapacity>&) { return false; };
  queues.Run(4s);
  BOOST_TEST(queues.LocalShare(0) == 1);
}

BOOST_AUTO_TEST_CASE(SpilloverStartAndEndAreReportedOnce)
{
  ZoneQueueModel queues(3);
  queues.Demand[0] = kBurstDemand;
  queues.Run(4s);
  const auto started = queues.Spillovers[0].TakeChanges();
  BOOST_REQUIRE(started.size() == 1);
  BOOST_TEST(started[0].Started);
  BOOST_TEST((started[0].Zone == ZoneOf(0)));
  BOOST_TEST(started[0].Demand > started[0].LowestDemand);
  queues.Demand[0] = 0.2;
  queues.Run(4s);
  const auto ended = queues.Spillovers[0].TakeChanges();
  BOOST_REQUIRE(ended.size() == 1);
  BOOST_TEST(!ended[0].Started);
}

// Guards against idle slots in other zones while openings are refused.
BOOST_AUTO_TEST_CASE(LimitedServiceKeepsSlotShareInEachZone)
{
  ZoneQueueModel queues(3);
  queues.Demand = { 0.33, 0.2, 0.1 };
  queues.Run(2s);
  const auto limit = [&queues](bool limited) {
    for (core::ZoneSpillover& spillover : queues.Spillovers) {
      spillover.SetLimited(core::ServiceId{ 1 }, limited);
    }
  };
  limit(true);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    BOOST_TEST(queues.LocalShare(zone) == 1.0 / 3,
               boost::test_tools::tolerance(1e-9));
  }
  limit(false);
  BOOST_TEST(queues.LocalShare(0) == 1);
}

BOOST_AUTO_TEST_CASE(DisabledSpilloverKeepsAllOpenings)
{
  ZoneQueueModel queues(3);
  queues.Spillovers[0].SetEnabled(false);
  queues.Demand[0] = kBurstDemand;
  queues.Run(4s);
  BOOST_TEST(queues.LocalShare(0) == 1);
}

BOOST_AUTO_TEST_CASE(RandomDemandsKeepUtilizationBounded)
{
  const bool holds = rc::check("zones with too little capacity", [] {
    const auto zones = *rc::gen::inRange<std::size_t>(2, 7);
    ZoneQueueModel queues(zones);
    double sum = 0;
    for (double& demand : queues.Demand) {
      demand = *rc::gen::inRange(0, 200) / 100.0;
      sum += demand;
    }
    queues.Delay = *rc::gen::inRange(1, 11) * 100ms;
    queues.Run(8s);
    const double equal = sum / static_cast<double>(zones);
    const double least =
      *std::min_element(queues.Utilization.begin(), queues.Utilization.end());
    for (std::size_t zone = 0; zone < zones; ++zone) {
      RC_ASSERT(queues.LocalShare(zone) >= core::kMinLocalShare);
      RC_ASSERT(queues.LocalShare(zone) <= 1);
      // At most the acceptable utilization, or that of an equal split.
      const double maxUtilization =
        std::max(core::GetMaxLocalUtilization(least), equal);
      RC_ASSERT(queues.Utilization[zone] <= maxUtilization + 0.15);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(EqualDemandKeepsAllOpenings)
{
  const bool holds = rc::check("zones alike", [] {
    ZoneQueueModel queues(*rc::gen::inRange<std::size_t>(2, 7));
    const double demand = *rc::gen::inRange(0, 95) / 100.0;
    for (double& each : queues.Demand) {
      each = demand;
    }
    queues.Run(3s);
    for (std::size_t zone = 0; zone < queues.Demand.size(); ++zone) {
      RC_ASSERT(queues.LocalShare(zone) == 1);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
