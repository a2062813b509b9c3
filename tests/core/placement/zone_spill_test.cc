/// Shares that zones keep, over figures of any kind.
#include "core/placement/zone_spill.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/placement/placement_limits.h"
#include "core/placement/waiting.h"
#include "core/placement/zone_queues.h"
#include "sim/seeded_random.h"

namespace cobaltgauge::tests {
namespace {

/// A zone's callers five times as many, where it was used to a quarter.
constexpr double kBurst = 1.2;

/// Get how far the use of a zone swings within some time.
double SwingOf(ZoneQueues& queues, std::size_t zone, core::Duration time)
{
  double lowest = 10;
  double highest = 0;
  for (core::Duration passed{}; passed < time; passed += ZoneQueues::kStep) {
    queues.Step();
    lowest = std::min(lowest, queues.Use[zone]);
    highest = std::max(highest, queues.Use[zone]);
  }
  return highest - lowest;
}

BOOST_AUTO_TEST_SUITE(ZoneSpillSuite)

BOOST_AUTO_TEST_CASE(WaitsAreThoseOfAQueueWithTwoSlots)
{
  for (const double use : { 0.1, 0.5, 0.9 }) {
    BOOST_TEST(core::GetUse(core::GetInFlight(use)) == use,
               boost::test_tools::tolerance(1e-9));
    BOOST_TEST(core::GetUseOfWait(core::GetWait(use)) == use,
               boost::test_tools::tolerance(1e-9));
  }
  BOOST_TEST(core::GetWait(0.5) == 1.0 / 3,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(core::GetUse(1e9) == core::kMostUse);
  BOOST_TEST(core::GetUse(0) == 0);
}

BOOST_AUTO_TEST_CASE(ACalmZoneKeepsAll)
{
  ZoneQueues queues(3);
  queues.Demand = { 0.33, 0.2, 0.1 };
  queues.Run(5s);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    BOOST_TEST(queues.Kept(zone) == 1);
  }
}

BOOST_AUTO_TEST_CASE(AFullZoneSpillsUntilNoneIsFull)
{
  for (const core::Duration delay : { 100ms, 300ms, 600ms, 1000ms }) {
    BOOST_TEST_CONTEXT("reports late by " << delay.count() << " us")
    {
      ZoneQueues queues(3);
      queues.Delay = delay;
      queues.Run(3s);
      queues.Demand[0] = kBurst;
      queues.Run(700ms + 2 * delay);
      // The zone's tries fit, and those of other zones still do.
      BOOST_TEST(queues.Use[0] < 0.8);
      BOOST_TEST(queues.Use[1] < 0.8);
      queues.Run(2s);
      BOOST_TEST(SwingOf(queues, 0, 4s) < 0.1);
      queues.Demand[0] = 0.2;
      queues.Run(1s + 2 * delay);
      BOOST_TEST(queues.Kept(0) == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(TwoFullZonesShareTheThird)
{
  ZoneQueues queues(4);
  queues.Demand = { kBurst, kBurst, 0.2, 0.2 };
  queues.Run(6s);
  for (std::size_t zone = 0; zone < 4; ++zone) {
    BOOST_TEST(queues.Use[zone] < 0.85);
  }
  BOOST_TEST(SwingOf(queues, 0, 4s) < 0.15);
}

BOOST_AUTO_TEST_CASE(ZonesThatAreAllFullKeepTheirOpenings)
{
  ZoneQueues queues(3);
  queues.Demand = { 1.5, 1.5, 1.5 };
  queues.Run(5s);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    BOOST_TEST(queues.Kept(zone) > 0.9);
  }
}

BOOST_AUTO_TEST_CASE(LostAndRepeatedReportsDoNotMakeItSwing)
{
  sim::SeededRandom random(3);
  ZoneQueues queues(3);
  std::vector<core::ZoneRoom> last;
  queues.OnReport = [&](std::vector<core::ZoneRoom>& rooms) {
    const std::uint64_t drawn = random.below(4);
    if (drawn == 0 && !last.empty()) {
      rooms = last;
    }
    last = rooms;
    return drawn != 1;
  };
  queues.Demand[0] = kBurst;
  queues.Run(5s);
  BOOST_TEST(queues.Use[0] < 0.85);
  BOOST_TEST(SwingOf(queues, 0, 4s) < 0.35);
}

BOOST_AUTO_TEST_CASE(WrongReportsMoveItByAsMuchAsTheyAreWrong)
{
  sim::SeededRandom random(3);
  ZoneQueues queues(3);
  queues.OnReport = [&](std::vector<core::ZoneRoom>& rooms) {
    for (core::ZoneRoom& room : rooms) {
      room.Utilization *= 0.8 + 0.1 * static_cast<double>(random.below(5));
    }
    return true;
  };
  queues.Demand[0] = kBurst;
  queues.Run(3s);
  BOOST_TEST(SwingOf(queues, 0, 4s) < 0.35);
  BOOST_TEST(queues.Use[0] < 0.9);
}

BOOST_AUTO_TEST_CASE(WithoutFiguresThePolicyHoldsAgain)
{
  ZoneQueues queues(3);
  queues.Demand[0] = kBurst;
  queues.Run(3s);
  BOOST_TEST(queues.Kept(0) < 0.8);
  queues.OnReport = [](std::vector<core::ZoneRoom>&) { return false; };
  queues.Run(4s);
  BOOST_TEST(queues.Kept(0) == 1);
}

BOOST_AUTO_TEST_CASE(SpillingIsToldOnceWhenItBeginsAndOnceWhenItEnds)
{
  ZoneQueues queues(3);
  queues.Demand[0] = kBurst;
  queues.Run(4s);
  const auto begun = queues.Spills[0].TakeChanges();
  BOOST_REQUIRE(begun.size() == 1);
  BOOST_TEST(begun[0].Began);
  BOOST_TEST((begun[0].Zone == ZoneOf(0)));
  BOOST_TEST(begun[0].Demand > begun[0].Least);
  queues.Demand[0] = 0.2;
  queues.Run(4s);
  const auto ended = queues.Spills[0].TakeChanges();
  BOOST_REQUIRE(ended.size() == 1);
  BOOST_TEST(!ended[0].Began);
}

// Limited daemons that kept to their own zone left slots of others idle while
// openings were refused.
BOOST_AUTO_TEST_CASE(WhileLimitedEachZoneKeepsItsPartOfTheSlots)
{
  ZoneQueues queues(3);
  queues.Demand = { 0.33, 0.2, 0.1 };
  queues.Run(2s);
  const auto limit = [&queues](bool limited) {
    for (core::ZoneSpill& spill : queues.Spills) {
      spill.SetLimited(core::ServiceId{ 1 }, limited);
    }
  };
  limit(true);
  for (std::size_t zone = 0; zone < 3; ++zone) {
    BOOST_TEST(queues.Kept(zone) == 1.0 / 3,
               boost::test_tools::tolerance(1e-9));
  }
  limit(false);
  BOOST_TEST(queues.Kept(0) == 1);
}

BOOST_AUTO_TEST_CASE(SwitchedOffItKeepsAll)
{
  ZoneQueues queues(3);
  queues.Spills[0].SetEnabled(false);
  queues.Demand[0] = kBurst;
  queues.Run(4s);
  BOOST_TEST(queues.Kept(0) == 1);
}

BOOST_AUTO_TEST_CASE(ManyDemands)
{
  const bool holds = rc::check("zones with too little room", [] {
    const auto zones = *rc::gen::inRange<std::size_t>(2, 7);
    ZoneQueues queues(zones);
    double sum = 0;
    for (double& demand : queues.Demand) {
      demand = *rc::gen::inRange(0, 200) / 100.0;
      sum += demand;
    }
    queues.Delay = *rc::gen::inRange(1, 11) * 100ms;
    queues.Run(8s);
    const double equal = sum / static_cast<double>(zones);
    const double least =
      *std::min_element(queues.Use.begin(), queues.Use.end());
    for (std::size_t zone = 0; zone < zones; ++zone) {
      RC_ASSERT(queues.Kept(zone) >= core::kLeastKept);
      RC_ASSERT(queues.Kept(zone) <= 1);
      // No more than it bears, or than all would get of an equal split.
      const double bears = std::max(core::GetBearableUse(least), equal);
      RC_ASSERT(queues.Use[zone] <= bears + 0.15);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(EqualUseKeepsThePolicysWeights)
{
  const bool holds = rc::check("zones alike", [] {
    ZoneQueues queues(*rc::gen::inRange<std::size_t>(2, 7));
    const double demand = *rc::gen::inRange(0, 95) / 100.0;
    for (double& each : queues.Demand) {
      each = demand;
    }
    queues.Run(3s);
    for (std::size_t zone = 0; zone < queues.Demand.size(); ++zone) {
      RC_ASSERT(queues.Kept(zone) == 1);
    }
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
