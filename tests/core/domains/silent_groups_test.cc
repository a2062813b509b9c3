#include "core/domains/silent_groups.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>

#include <boost/test/unit_test.hpp>

#include "core/constants.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;
using core::BackendGroup;
using core::BackendId;
using core::ProbeResult;
using core::ServiceId;
using core::ZoneId;

constexpr BackendGroup kGroup{ ServiceId{ 1 }, ZoneId{ 1 } };
constexpr BackendGroup kElsewhere{ ServiceId{ 1 }, ZoneId{ 2 } };
constexpr std::uint64_t kMembers = 40;

core::PlacementCandidate MakeCandidate(std::uint64_t id,
                                       const BackendGroup& group = kGroup)
{
  core::PlacementCandidate candidate;
  candidate.id = BackendId{ id };
  candidate.service = group.Service;
  candidate.zone = group.Zone;
  return candidate;
}

/// One daemon; back ends 1 to 40 are one group.
struct GroupsFixture
{
  core::SilentGroups Groups;
  core::Time Now = 100s;

  void OnProbe(std::uint64_t id, ProbeResult result)
  {
    if (this->Groups.OnProbe(BackendId{ id }, kGroup, result, this->Now)) {
      std::vector<BackendId> members;
      for (std::uint64_t member = 1; member <= kMembers; ++member) {
        members.push_back(BackendId{ member });
      }
      this->Groups.Mark(kGroup, members, this->Now);
    }
  }

  /// Make the probes that are due, of members from `first` on.
  std::size_t Probe(std::uint64_t first, ProbeResult result)
  {
    std::size_t probes = 0;
    for (const core::GroupProbes& due : this->Groups.TakeProbes(this->Now)) {
      for (std::size_t index = 0; index < due.Count; ++index) {
        this->OnProbe(first + probes++, result);
      }
    }
    return probes;
  }

  void FindGroup()
  {
    this->OnProbe(1, ProbeResult::kRefused);
    this->Probe(2, ProbeResult::kRefused);
    BOOST_REQUIRE(this->Groups.CountSilent(this->Now) == 1U);
  }

  bool ComesLast(std::uint64_t id, const BackendGroup& group = kGroup) const
  {
    return this->Groups.IsDeprioritized(MakeCandidate(id, group), this->Now);
  }
};

BOOST_FIXTURE_TEST_SUITE(SilentGroupsTest, GroupsFixture)

BOOST_AUTO_TEST_CASE(forty_that_die_at_once_cost_one_caller_its_try)
{
  this->OnProbe(1, ProbeResult::kRefused);
  BOOST_TEST(!this->ComesLast(40));
  BOOST_TEST(this->Probe(2, ProbeResult::kRefused) ==
             core::kUnconnectedForGroup - 1);
  BOOST_TEST(this->ComesLast(40));
  BOOST_TEST(!this->ComesLast(41, kElsewhere));
  BOOST_TEST(this->Groups.TakeFound().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_group_of_which_others_connect_is_not_silent)
{
  this->OnProbe(1, ProbeResult::kRefused);
  this->Probe(2, ProbeResult::kConnected);
  BOOST_TEST(!this->ComesLast(1));
  BOOST_TEST(this->Groups.IsEmpty());
}

// A full back end turns callers away, and takes connections.
BOOST_AUTO_TEST_CASE(overload_marks_nothing)
{
  for (std::uint64_t id = 1; id <= kMembers; ++id) {
    this->OnProbe(id, ProbeResult::kConnected);
  }
  BOOST_TEST(this->Groups.CountSilent(this->Now) == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_in_between_begins_the_count_anew)
{
  this->OnProbe(1, ProbeResult::kRefused);
  this->OnProbe(2, ProbeResult::kRefused);
  this->Groups.OnAnswer(BackendId{ 3 }, kGroup, this->Now);
  this->OnProbe(4, ProbeResult::kRefused);
  this->OnProbe(5, ProbeResult::kRefused);
  BOOST_TEST(this->Groups.CountSilent(this->Now) == 0U);
}

BOOST_AUTO_TEST_CASE(the_same_one_again_and_again_is_no_group)
{
  for (int turn = 0; turn < 20; ++turn) {
    this->OnProbe(1, ProbeResult::kTimedOut);
  }
  BOOST_TEST(this->Groups.CountSilent(this->Now) == 0U);
}

BOOST_AUTO_TEST_CASE(one_answer_ends_it_for_all)
{
  this->FindGroup();
  this->Groups.OnAnswer(BackendId{ 17 }, kGroup, this->Now);
  BOOST_TEST(!this->ComesLast(1));
  BOOST_TEST(this->Groups.GetCounters().Ended == 1U);
}

BOOST_AUTO_TEST_CASE(those_that_come_back_under_new_ids_take_flows_at_once)
{
  this->FindGroup();
  BOOST_TEST(!this->ComesLast(kMembers + 1));
  this->Groups.OnAnswer(BackendId{ kMembers + 1 }, kGroup, this->Now);
  BOOST_TEST(this->ComesLast(1));
}

BOOST_AUTO_TEST_CASE(it_is_tried_again_by_few_and_fades_without_them)
{
  this->FindGroup();
  std::size_t probes = 0;
  for (int turn = 0; turn < 40; ++turn) {
    this->Now += 100ms;
    probes += this->Probe(7, ProbeResult::kRefused);
    BOOST_TEST(this->ComesLast(40));
  }
  BOOST_TEST(probes == 4s / core::kGroupProbeEvery);
  this->Now += core::kGroupSilentFor;
  BOOST_TEST(!this->ComesLast(40));
  this->Groups.Expire(this->Now);
  BOOST_TEST(this->Groups.IsEmpty());
}

BOOST_AUTO_TEST_CASE(a_notice_has_the_group_probed_and_no_more)
{
  this->Groups.OnNotice(kGroup, this->Now);
  BOOST_TEST(!this->ComesLast(1));
  BOOST_TEST(this->Probe(1, ProbeResult::kRefused) ==
             core::kUnconnectedForGroup);
  BOOST_TEST(this->ComesLast(40));
}

// A daemon that lies, or hears late what is over, moves no opening.
BOOST_AUTO_TEST_CASE(a_notice_that_is_wrong_costs_a_few_connections)
{
  std::size_t probes = 0;
  for (int turn = 0; turn < 1000; ++turn) {
    this->Groups.OnNotice(kGroup, this->Now);
    probes += this->Probe(1, ProbeResult::kConnected);
    BOOST_TEST(!this->ComesLast(1));
    this->Now += 10ms;
  }
  BOOST_TEST(probes <= 10 * core::kUnconnectedForGroup);
}

/// Daemons in a ring that tell each other what they found.
bool FadesInARing(const std::vector<int>& deaths)
{
  std::array<GroupsFixture, 5> ring;
  core::Time now = 100s;
  const auto step = [&](ProbeResult result) {
    now += 50ms;
    for (std::size_t index = 0; index < ring.size(); ++index) {
      ring[index].Now = now;
      ring[index].Probe(1, result);
      if (!ring[index].Groups.TakeFound().empty()) {
        ring[(index + 1) % ring.size()].Groups.OnNotice(kGroup, now);
        ring[(index + 4) % ring.size()].Groups.OnNotice(kGroup, now);
      }
      ring[index].Groups.Expire(now);
    }
  };
  for (const int death : deaths) {
    ring.at(static_cast<std::size_t>(death) % ring.size())
      .OnProbe(static_cast<std::uint64_t>(death) + 1, ProbeResult::kRefused);
    step(ProbeResult::kRefused);
  }
  // All are back; nobody is told.
  for (int turn = 0; turn < 2s / 50ms; ++turn) {
    step(ProbeResult::kConnected);
  }
  return std::all_of(
    ring.begin(), ring.end(), [](const GroupsFixture& daemon) {
      return daemon.Groups.IsEmpty();
    });
}

BOOST_AUTO_TEST_CASE(echoes_between_daemons_keep_nothing_alive)
{
  BOOST_TEST(rc::check("a ring forgets", [] {
    RC_ASSERT(FadesInARing(*rc::gen::container<std::vector<int>>(
      rc::gen::inRange(0, static_cast<int>(kMembers)))));
  }));
}

BOOST_AUTO_TEST_CASE(after_a_suspension_nothing_is_known)
{
  this->FindGroup();
  this->Groups.OnResume();
  BOOST_TEST(!this->ComesLast(1));
}

BOOST_AUTO_TEST_CASE(whatever_was_seen_fades)
{
  const bool fades = rc::check("fades without news", [] {
    GroupsFixture daemon;
    const auto steps = *rc::gen::container<std::vector<int>>(
      rc::gen::inRange(0, static_cast<int>(4 * kMembers)));
    for (const int step : steps) {
      const std::uint64_t id = 1 + static_cast<std::uint64_t>(step) % kMembers;
      const auto act = static_cast<std::uint64_t>(step) / kMembers;
      daemon.Now += 7ms;
      if (act == 0) {
        daemon.Groups.OnAnswer(BackendId{ id }, kGroup, daemon.Now);
        RC_ASSERT(!daemon.ComesLast(id));
      } else {
        daemon.OnProbe(
          id, act == 1 ? ProbeResult::kTimedOut : ProbeResult::kRefused);
      }
    }
    daemon.Now += core::kGroupSilentFor;
    for (std::uint64_t id = 1; id <= kMembers; ++id) {
      RC_ASSERT(!daemon.ComesLast(id));
    }
  });
  BOOST_TEST(fades);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
