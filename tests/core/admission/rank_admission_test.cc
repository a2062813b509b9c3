#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "core/admission/admission_limits.h"
#include "full_backends.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::RankAdmission;

constexpr std::uint32_t kHigh = 1;
constexpr std::uint32_t kLow = 2;

/// Room as the fleet tells it.
class ToldRoom : public core::CapacityView
{
public:
  std::optional<core::ZoneCapacity> Told;
  std::optional<core::ZoneCapacity> GetZoneCapacity(core::ServiceId,
                                                    core::ZoneId,
                                                    core::Time) const override
  {
    return this->Told;
  }
};

/// High callers for so much of the capacity, low ones for the rest.
std::map<std::uint32_t, double> Load(const FullBackends& site,
                                     double high,
                                     double low)
{
  const double capacity = site.GetCapacity();
  return { { kHigh, high * capacity }, { kLow, low * capacity } };
}

BOOST_AUTO_TEST_SUITE(RankAdmissionTest)

// A day on which three fifths of the back ends left: 1.1 to 1.8 times what
// the rest bears was asked for, and replies fared like profile cards.
BOOST_AUTO_TEST_CASE(higher_rank_is_served_and_the_capacity_stays_busy)
{
  for (const double low : { 0.6, 0.8, 1.3, 2.5 }) {
    FullBackends site(8, 24);
    FullBackends without(8, 24, 1, { false, 0 });
    site.Run(1s, Load(site, 0.5, low));
    without.Run(1s, Load(site, 0.5, low));
    site.Run(6s, Load(site, 0.5, low));
    without.Run(6s, Load(site, 0.5, low));
    BOOST_TEST_CONTEXT("low rank wants " << low << " of the capacity")
    {
      BOOST_TEST(site.ServedShare(kHigh) >= 0.97);
      BOOST_TEST(site.CountServed() >= 0.98 * without.CountServed());
      BOOST_TEST(site.Rejections <= without.Rejections / 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(nobody_is_refused_while_there_is_room)
{
  BOOST_TEST(rc::check("no refusal while there is room", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 100);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const double load = *rc::gen::inRange(1, 85) / 100.0;
    FullBackends site(daemons, 20, seed);
    site.Run(2s, Load(site, load / 2, load / 2));
    RC_ASSERT(site.CountRefused() == 0);
  }));
}

BOOST_AUTO_TEST_CASE(a_higher_rank_is_never_worse_off)
{
  BOOST_TEST(rc::check("higher rank never worse off", [] {
    const auto daemons = *rc::gen::inRange<std::size_t>(1, 40);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const double high = *rc::gen::inRange(10, 150) / 100.0;
    const double low = *rc::gen::inRange(10, 150) / 100.0;
    FullBackends site(daemons, 20, seed);
    FullBackends without(daemons, 20, seed, { false, 0 });
    site.Run(1s, Load(site, high, low));
    site.Run(2s, Load(site, high, low));
    without.Run(1s, Load(site, high, low));
    without.Run(2s, Load(site, high, low));
    // Chance moves shares of some hundred callers by a few in a hundred.
    RC_ASSERT(site.ServedShare(kHigh) >= site.ServedShare(kLow) - 0.05);
    RC_ASSERT(site.ServedShare(kHigh) >= without.ServedShare(kHigh) - 0.05);
  }));
}

BOOST_AUTO_TEST_CASE(the_lowest_rank_keeps_its_least_share)
{
  for (const double leastShare : { 0.0, 0.05, 0.2 }) {
    FullBackends site(4, 24, 1, { true, leastShare });
    site.Run(2s, Load(site, 2.0, 1.0));
    site.Run(5s, Load(site, 2.0, 1.0));
    const double share =
      site.Tally[kLow].Served / std::max<double>(site.CountServed(), 1);
    BOOST_TEST_CONTEXT("least share " << leastShare << ", got " << share)
    {
      BOOST_TEST(share >= 0.8 * leastShare);
      BOOST_TEST(share <= 1.2 * leastShare + 0.02);
    }
  }
}

BOOST_AUTO_TEST_CASE(
  it_follows_each_step_of_capacity_within_the_time_of_its_samples)
{
  for (const std::size_t daemons : { 1, 8, 60 }) {
    BOOST_TEST_CONTEXT(daemons << " daemons")
    {
      FullBackends site(daemons, 48);
      if (daemons > 8) {
        site.TellRoom(); // With few samples it takes the fleet's figures.
      }
      const auto load = Load(site, 0.3, 0.6);
      // With some twenty results a second it takes longer.
      const core::Duration settles = daemons > 8 ? 3s : 1500ms;
      site.Run(2s, load);
      BOOST_TEST(site.CountRefused() == 0);
      for (const std::size_t backends : { 24, 30, 20 }) {
        site.SetBackends(backends);
        site.Run(settles, load);
        site.Run(2s, load);
        BOOST_TEST(site.CountServed() >= 0.95 * 2 * site.GetCapacity());
        BOOST_TEST(site.ServedShare(kHigh) >= 0.95);
      }
      site.SetBackends(48);
      site.Run(settles, load);
      site.Run(2s, load);
      // Of these back ends one in fifty openings is rejected by chance.
      BOOST_TEST(site.CountRefused() <= site.CountServed() / 1000);
      BOOST_TEST(site.ServedShare(kLow) >= 0.99);
    }
  }
}

BOOST_AUTO_TEST_CASE(it_does_not_oscillate_with_results_late_or_lost)
{
  for (const auto& [late, lost] :
       { std::pair(300ms, 0.0), std::pair(0ms, 0.3), std::pair(300ms, 0.3) }) {
    FullBackends site(8, 24);
    site.LateBy = late;
    site.LostResults = lost;
    site.Run(3s, Load(site, 0.5, 1.0));
    constexpr int kSpans = 10;
    double high = 0;
    for (int span = 0; span < kSpans; ++span) {
      site.Run(500ms, Load(site, 0.5, 1.0));
      BOOST_TEST_CONTEXT("late " << late.count() << " ms, lost " << lost
                                 << " in span " << span)
      {
        BOOST_TEST(site.CountServed() >= 0.85 * site.GetCapacity() / 2);
        BOOST_TEST(site.ServedShare(kHigh) >= 0.75);
      }
      high += site.ServedShare(kHigh) / kSpans;
    }
    BOOST_TEST(high >= 0.95);
  }
}

BOOST_AUTO_TEST_CASE(a_few_sick_back_ends_are_no_lack_of_room)
{
  for (const std::size_t daemons : { 1, 8, 100 }) {
    FullBackends site(daemons, 40);
    site.Sick = 12;
    site.Run(5s, Load(site, 0.3, 0.3));
    BOOST_TEST_CONTEXT(daemons << " daemons")
    {
      BOOST_TEST(site.CountRefused() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(total_loss_refuses_nobody)
{
  FullBackends site(4, 24);
  site.TellRoom();
  site.Run(2s, Load(site, 0.5, 1.0));
  BOOST_TEST(site.CountRefused() > 0);
  site.Sick = 24;
  site.Run(2500ms, { { kHigh, 300 }, { kLow, 300 } });
  site.Run(1s, { { kHigh, 300 }, { kLow, 300 } });
  BOOST_TEST(site.CountRefused() == 0);
  site.Sick = 0;
  site.Run(2s, Load(site, 0.4, 0.4));
  BOOST_TEST(site.CountRefused() == 0);
}

BOOST_AUTO_TEST_CASE(the_end_of_a_burst_ends_the_limit)
{
  FullBackends site(8, 24);
  site.Run(3s, Load(site, 0.5, 1.5));
  site.Run(500ms, Load(site, 0.3, 0.3)); // Queues drain.
  site.Run(3s, Load(site, 0.3, 0.3));
  BOOST_TEST(site.CountRefused() == 0);
}

BOOST_AUTO_TEST_CASE(idle_slots_anywhere_lift_the_limit)
{
  ToldRoom room;
  FullBackends site(4, 24);
  for (RankAdmission& daemon : site.Daemons) {
    daemon.SetRoom(&room, [](core::ServiceId) {
      return std::vector<core::ZoneId>{ core::ZoneId{ 1 } };
    });
  }
  room.Told = core::ZoneCapacity{ 0.9, 0.4 };
  site.Run(2s, Load(site, 0.5, 1.5));
  BOOST_TEST(site.CountRefused() == 0);
  room.Told = core::ZoneCapacity{ 3.0, 0.4 };
  site.Run(2s, Load(site, 0.5, 1.5));
  BOOST_TEST(site.CountRefused() > 0);
  room.Told.reset();
  site.Run(1s, Load(site, 0.5, 1.5));
  BOOST_TEST(site.CountRefused() > 0);
}

// Three hundred daemons hear of some ten openings a second each.
BOOST_AUTO_TEST_CASE(few_samples_do_little_rather_than_something_wrong)
{
  FullBackends site(300, 48);
  site.TellRoom();
  site.Run(3s, Load(site, 0.5, 1.0));
  site.Run(4s, Load(site, 0.5, 1.0));
  BOOST_TEST(site.ServedShare(kHigh) >= 0.95);
  BOOST_TEST(site.CountServed() >= 0.95 * 4 * site.GetCapacity());
}

BOOST_AUTO_TEST_CASE(
  one_services_limit_refuses_no_other_and_no_split_with_room)
{
  FullBackends site(1, 24);
  site.Run(2s, Load(site, 0.5, 1.5));
  core::Route other = FullBackends::MakeRoute(kLow);
  other.targets = { { "other", 1 } };
  core::Route split = FullBackends::MakeRoute(kLow);
  split.targets = { { "web", 9 }, { "other", 1 } };
  for (int opening = 0; opening < 100; ++opening) {
    BOOST_TEST(site.Daemons[0].Admit(other, site.Now));
    BOOST_TEST(site.Daemons[0].Admit(split, site.Now));
  }
}

BOOST_AUTO_TEST_CASE(lines_are_few_and_tell_begin_and_end)
{
  FullBackends site(1, 24);
  site.Run(1s, Load(site, 0.5, 1.5));
  auto told = site.Daemons[0].TakeChanges(site.Now);
  BOOST_REQUIRE(told.size() == 1U);
  BOOST_TEST(told[0].IsLimited);
  BOOST_TEST(told[0].Service == "web");
  site.Run(500ms, Load(site, 0.5, 1.5));
  BOOST_TEST(site.Daemons[0].TakeChanges(site.Now).empty());
  site.Run(2s, Load(site, 0.2, 0.2));
  told = site.Daemons[0].TakeChanges(site.Now);
  BOOST_REQUIRE(told.size() == 1U);
  BOOST_TEST(!told[0].IsLimited);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
