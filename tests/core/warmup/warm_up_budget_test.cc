#include "core/warmup/warm_up_budget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

#include "core/hashing.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

/// Requirement: in any kRateWindow, a warming-up backend gets at most its rate
/// limit times kMaxRateFactor, plus kMaxExcessOpenings.
constexpr double kMaxRateFactor = 1.5;
constexpr double kMaxExcessOpenings = 5;
constexpr core::Duration kRateWindow = 1s;

/// Daemons that send every warming-up backend as many attempts as allowed.
struct WarmingFleet
{
  std::vector<core::WarmUpBudget> Daemons;
  std::vector<std::vector<core::Time>> Openings; ///< By backend.

  WarmingFleet(std::uint32_t daemons,
               std::uint32_t assumedDaemons,
               std::size_t backends)
    : Openings(backends)
  {
    for (std::uint32_t i = 0; i < daemons; ++i) {
      const std::string name = "daemon-" + std::to_string(i);
      this->Daemons.emplace_back(
        static_cast<std::uint64_t>(core::memberIdOf(name)));
      this->Daemons.back().SetDaemonCount(assumedDaemons);
    }
  }

  void Run(double perSecond, core::Duration span)
  {
    for (core::Time now = 100s; now < 100s + span; now += 20ms) {
      for (core::WarmUpBudget& daemon : this->Daemons) {
        for (std::size_t i = 0; i < this->Openings.size(); ++i) {
          const core::BackendId backend{ core::mixHash(77, i) };
          if (daemon.AllowsOpening(backend, perSecond, now)) {
            daemon.OnOpening(backend, now);
            this->Openings[i].push_back(now);
          }
        }
        daemon.Expire(now);
      }
    }
  }

  /// \return the maximum number of attempts at one backend in a kRateWindow.
  std::size_t MaxInOneWindow() const
  {
    std::size_t max = 0;
    for (const auto& times : this->Openings) {
      for (auto end = times.begin(); end != times.end(); ++end) {
        const auto begin =
          std::lower_bound(times.begin(), end, *end - kRateWindow);
        max = std::max(max, static_cast<std::size_t>(end - begin) + 1);
      }
    }
    return max;
  }

  std::size_t CountOpenings() const
  {
    std::size_t count = 0;
    for (const auto& times : this->Openings) {
      count += times.size();
    }
    return count;
  }
};

BOOST_AUTO_TEST_SUITE(WarmUpBudgetTest)

BOOST_AUTO_TEST_CASE(fleet_stays_within_the_rate_and_uses_its_share)
{
  for (const std::uint32_t daemons : { 1U, 2U, 7U, 30U, 74U, 295U }) {
    for (const double perSecond : { 0.5, 1.0, 4.0, 10.0, 40.0, 100.0 }) {
      WarmingFleet fleet(daemons, daemons, 40);
      fleet.Run(perSecond, 3300ms);
      const double maxOpenings =
        perSecond * kMaxRateFactor + kMaxExcessOpenings;
      BOOST_TEST(static_cast<double>(fleet.MaxInOneWindow()) <= maxOpenings,
                 daemons << " daemons, " << perSecond << " a second");
      // For 40 backends and three windows, with a tolerance for randomness.
      const double expected = perSecond * core::kWarmUpShare * 40 * 3;
      BOOST_TEST(static_cast<double>(fleet.CountOpenings()) >
                   (expected - 20) * 0.5,
                 daemons << " daemons, " << perSecond << " a second");
    }
  }
}

// Two partitions of the fleet that do not know of each other.
BOOST_AUTO_TEST_CASE(fleet_that_undercounts_by_half_stays_within_the_rate)
{
  for (const std::uint32_t daemons : { 20U, 74U, 295U }) {
    for (const double perSecond : { 1.0, 4.0, 10.0, 40.0 }) {
      WarmingFleet fleet(daemons, daemons / 2, 40);
      fleet.Run(perSecond, 2200ms);
      BOOST_TEST(static_cast<double>(fleet.MaxInOneWindow()) <=
                   perSecond * kMaxRateFactor + kMaxExcessOpenings,
                 daemons << " daemons, " << perSecond << " a second");
    }
  }
}

BOOST_AUTO_TEST_CASE(unknown_daemon_count_assumes_a_large_fleet)
{
  core::WarmUpBudget daemon(1);
  std::size_t allowed = 0;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    allowed +=
      daemon.AllowsOpening(core::BackendId{ core::mixHash(5, i) }, 10.0, 100s)
      ? 1
      : 0;
  }
  BOOST_TEST(allowed < 20U);
}

BOOST_AUTO_TEST_CASE(openings_count_for_one_window)
{
  core::WarmUpBudget daemon(1);
  daemon.SetDaemonCount(1);
  const core::BackendId backend{ 9 };
  BOOST_TEST(daemon.AllowsOpening(backend, 3.0, 100s));
  daemon.OnOpening(backend, 100s);
  BOOST_TEST(!daemon.AllowsOpening(backend, 3.0, 101s));
  BOOST_TEST(daemon.AllowsOpening(backend, 3.0, 100s + core::kWarmUpWindow));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
