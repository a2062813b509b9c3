#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/admission/admission_limits.h"
#include "overload_simulation.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::PriorityAdmission;

constexpr std::uint32_t kHighPriority = 1;
constexpr std::uint32_t kLowPriority = 2;

/// Fleet statistics set by the test.
class FixedStatistics : public core::CapacityView
{
public:
  std::optional<core::ZoneCapacity> Statistics;
  std::optional<core::ZoneCapacity> GetZoneCapacity(core::ServiceId,
                                                    core::ZoneId,
                                                    core::Time) const override
  {
    return this->Statistics;
  }
};

/// Returns client rates for fractions of the total capacity.
std::map<std::uint32_t, double> MakeLoad(const OverloadSimulation& simulation,
                                         double high,
                                         double low)
{
  const double capacity = simulation.GetCapacity();
  return { { kHighPriority, high * capacity },
           { kLowPriority, low * capacity } };
}

BOOST_AUTO_TEST_SUITE(PriorityAdmissionTest)

// Guards against overload affecting all priorities alike, and against a limit
// that leaves capacity unused.
BOOST_AUTO_TEST_CASE(higher_priority_is_served_at_full_utilization)
{
  for (const double low : { 0.6, 0.8, 1.3, 2.5 }) {
    OverloadSimulation simulation(8, 24);
    OverloadSimulation unlimited(8, 24, 1, { false, 0 });
    simulation.Run(1s, MakeLoad(simulation, 0.5, low));
    unlimited.Run(1s, MakeLoad(simulation, 0.5, low));
    simulation.Run(6s, MakeLoad(simulation, 0.5, low));
    unlimited.Run(6s, MakeLoad(simulation, 0.5, low));
    BOOST_TEST_CONTEXT("low priority offers " << low << " of the capacity")
    {
      BOOST_TEST(simulation.ServedShare(kHighPriority) >= 0.97);
      BOOST_TEST(simulation.CountServed() >= 0.98 * unlimited.CountServed());
      BOOST_TEST(simulation.Rejections <= unlimited.Rejections / 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_below_capacity)
{
  BOOST_TEST(rc::check("no refusal below capacity", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 100);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const double load = *rc::gen::inRange(1, 85) / 100.0;
    OverloadSimulation simulation(daemons, 20, seed);
    simulation.Run(2s, MakeLoad(simulation, load / 2, load / 2));
    RC_ASSERT(simulation.CountRefused() == 0);
  }));
}

BOOST_AUTO_TEST_CASE(higher_priority_is_served_at_least_as_well)
{
  BOOST_TEST(rc::check("higher priority never worse off", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 40);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const double high = *rc::gen::inRange(10, 150) / 100.0;
    const double low = *rc::gen::inRange(10, 150) / 100.0;
    OverloadSimulation simulation(daemons, 20, seed);
    OverloadSimulation unlimited(daemons, 20, seed, { false, 0 });
    simulation.Run(1s, MakeLoad(simulation, high, low));
    simulation.Run(2s, MakeLoad(simulation, high, low));
    unlimited.Run(1s, MakeLoad(simulation, high, low));
    unlimited.Run(2s, MakeLoad(simulation, high, low));
    // Tolerance for random variation with a few hundred clients.
    RC_ASSERT(simulation.ServedShare(kHighPriority) >=
              simulation.ServedShare(kLowPriority) - 0.05);
    RC_ASSERT(simulation.ServedShare(kHighPriority) >=
              unlimited.ServedShare(kHighPriority) - 0.05);
  }));
}

BOOST_AUTO_TEST_CASE(lowest_priority_gets_its_reserved_share)
{
  for (const double reservedShare : { 0.0, 0.05, 0.2 }) {
    OverloadSimulation simulation(4, 24, 1, { true, reservedShare });
    simulation.Run(2s, MakeLoad(simulation, 2.0, 1.0));
    simulation.Run(5s, MakeLoad(simulation, 2.0, 1.0));
    const double share = simulation.Tally[kLowPriority].Served /
      std::max<double>(simulation.CountServed(), 1);
    BOOST_TEST_CONTEXT("reserved share " << reservedShare << ", got " << share)
    {
      BOOST_TEST(share >= 0.8 * reservedShare);
      BOOST_TEST(share <= 1.2 * reservedShare + 0.02);
    }
  }
}

BOOST_AUTO_TEST_CASE(limit_follows_capacity_changes)
{
  for (const std::size_t daemons : { 1, 8, 60 }) {
    BOOST_TEST_CONTEXT(daemons << " daemons")
    {
      OverloadSimulation simulation(daemons, 48);
      if (daemons > 8) {
        // Each daemon has too few samples of its own.
        simulation.UseFleetStatistics();
      }
      const auto load = MakeLoad(simulation, 0.3, 0.6);
      // Fewer results per daemon need more time.
      const core::Duration settlingTime = daemons > 8 ? 3s : 1500ms;
      simulation.Run(2s, load);
      BOOST_TEST(simulation.CountRefused() == 0);
      for (const std::size_t backends : { 24, 30, 20 }) {
        simulation.SetBackends(backends);
        simulation.Run(settlingTime, load);
        simulation.Run(2s, load);
        BOOST_TEST(simulation.CountServed() >=
                   0.95 * 2 * simulation.GetCapacity());
        BOOST_TEST(simulation.ServedShare(kHighPriority) >= 0.95);
      }
      simulation.SetBackends(48);
      simulation.Run(settlingTime, load);
      simulation.Run(2s, load);
      // Random placement still causes a few rejections.
      BOOST_TEST(simulation.CountRefused() <= simulation.CountServed() / 1000);
      BOOST_TEST(simulation.ServedShare(kLowPriority) >= 0.99);
    }
  }
}

BOOST_AUTO_TEST_CASE(limit_is_stable_with_delayed_or_lost_results)
{
  for (const auto& [late, lost] :
       { std::pair(300ms, 0.0), std::pair(0ms, 0.3), std::pair(300ms, 0.3) }) {
    OverloadSimulation simulation(8, 24);
    simulation.ResultDelay = late;
    simulation.LostResultShare = lost;
    simulation.Run(3s, MakeLoad(simulation, 0.5, 1.0));
    constexpr int kSpans = 10;
    double high = 0;
    for (int span = 0; span < kSpans; ++span) {
      simulation.Run(500ms, MakeLoad(simulation, 0.5, 1.0));
      BOOST_TEST_CONTEXT("late " << late.count() << " ms, lost " << lost
                                 << " in span " << span)
      {
        BOOST_TEST(simulation.CountServed() >=
                   0.85 * simulation.GetCapacity() / 2);
        BOOST_TEST(simulation.ServedShare(kHighPriority) >= 0.75);
      }
      high += simulation.ServedShare(kHighPriority) / kSpans;
    }
    BOOST_TEST(high >= 0.95);
  }
}

BOOST_AUTO_TEST_CASE(some_faulty_backends_do_not_start_a_limit)
{
  for (const std::size_t daemons : { 1, 8, 100 }) {
    OverloadSimulation simulation(daemons, 40);
    simulation.FaultyBackends = 12;
    simulation.Run(5s, MakeLoad(simulation, 0.3, 0.3));
    BOOST_TEST_CONTEXT(daemons << " daemons")
    {
      BOOST_TEST(simulation.CountRefused() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_when_all_backends_fail)
{
  OverloadSimulation simulation(4, 24);
  simulation.UseFleetStatistics();
  simulation.Run(2s, MakeLoad(simulation, 0.5, 1.0));
  BOOST_TEST(simulation.CountRefused() > 0);
  simulation.FaultyBackends = 24;
  simulation.Run(2500ms, { { kHighPriority, 300 }, { kLowPriority, 300 } });
  simulation.Run(1s, { { kHighPriority, 300 }, { kLowPriority, 300 } });
  BOOST_TEST(simulation.CountRefused() == 0);
  simulation.FaultyBackends = 0;
  simulation.Run(2s, MakeLoad(simulation, 0.4, 0.4));
  BOOST_TEST(simulation.CountRefused() == 0);
}

BOOST_AUTO_TEST_CASE(limit_ends_after_a_burst)
{
  OverloadSimulation simulation(8, 24);
  simulation.Run(3s, MakeLoad(simulation, 0.5, 1.5));
  simulation.Run(500ms, MakeLoad(simulation, 0.3, 0.3)); // Drains the queues.
  simulation.Run(3s, MakeLoad(simulation, 0.3, 0.3));
  BOOST_TEST(simulation.CountRefused() == 0);
}

BOOST_AUTO_TEST_CASE(reported_idle_slots_remove_the_limit)
{
  FixedStatistics fleet;
  OverloadSimulation simulation(4, 24);
  for (PriorityAdmission& daemon : simulation.Daemons) {
    daemon.SetCapacityView(&fleet, [](core::ServiceId) {
      return std::vector<core::ZoneId>{ core::ZoneId{ 1 } };
    });
  }
  fleet.Statistics = core::ZoneCapacity{ 0.9, 0.4 };
  simulation.Run(2s, MakeLoad(simulation, 0.5, 1.5));
  BOOST_TEST(simulation.CountRefused() == 0);
  fleet.Statistics = core::ZoneCapacity{ 3.0, 0.4 };
  simulation.Run(2s, MakeLoad(simulation, 0.5, 1.5));
  BOOST_TEST(simulation.CountRefused() > 0);
  fleet.Statistics.reset();
  simulation.Run(1s, MakeLoad(simulation, 0.5, 1.5));
  BOOST_TEST(simulation.CountRefused() > 0);
}

// Each daemon sees only about ten attempts per second.
BOOST_AUTO_TEST_CASE(many_daemons_with_few_samples_keep_utilization)
{
  OverloadSimulation simulation(300, 48);
  simulation.UseFleetStatistics();
  simulation.Run(3s, MakeLoad(simulation, 0.5, 1.0));
  simulation.Run(4s, MakeLoad(simulation, 0.5, 1.0));
  BOOST_TEST(simulation.ServedShare(kHighPriority) >= 0.95);
  BOOST_TEST(simulation.CountServed() >= 0.95 * 4 * simulation.GetCapacity());
}

BOOST_AUTO_TEST_CASE(limit_does_not_affect_other_services_or_splits)
{
  OverloadSimulation simulation(1, 24);
  simulation.Run(2s, MakeLoad(simulation, 0.5, 1.5));
  core::Route other = OverloadSimulation::MakeRoute(kLowPriority);
  other.targets = { { "other", 1 } };
  core::Route split = OverloadSimulation::MakeRoute(kLowPriority);
  split.targets = { { "web", 9 }, { "other", 1 } };
  for (int opening = 0; opening < 100; ++opening) {
    BOOST_TEST(simulation.Daemons[0].Admit(other, simulation.Now));
    BOOST_TEST(simulation.Daemons[0].Admit(split, simulation.Now));
  }
}

BOOST_AUTO_TEST_CASE(changes_report_start_and_end_of_a_limit)
{
  OverloadSimulation simulation(1, 24);
  simulation.Run(1s, MakeLoad(simulation, 0.5, 1.5));
  auto changes = simulation.Daemons[0].TakeChanges(simulation.Now);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].IsLimited);
  BOOST_TEST(changes[0].Service == "web");
  simulation.Run(500ms, MakeLoad(simulation, 0.5, 1.5));
  BOOST_TEST(simulation.Daemons[0].TakeChanges(simulation.Now).empty());
  simulation.Run(2s, MakeLoad(simulation, 0.2, 0.2));
  changes = simulation.Daemons[0].TakeChanges(simulation.Now);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(!changes[0].IsLimited);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
