#include "core/domains/unreachable_groups.h"

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
constexpr BackendGroup kOtherZoneGroup{ ServiceId{ 1 }, ZoneId{ 2 } };
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

/// One daemon; backends 1 to 40 are one group.
struct GroupsFixture
{
  core::UnreachableGroups Groups;
  core::Time Now = 100s;

  void OnProbe(std::uint64_t id, ProbeResult result)
  {
    if (this->Groups.OnProbe(BackendId{ id }, kGroup, result, this->Now)) {
      std::vector<BackendId> members;
      for (std::uint64_t member = 1; member <= kMembers; ++member) {
        members.push_back(BackendId{ member });
      }
      this->Groups.MarkUnreachable(kGroup, members, this->Now);
    }
  }

  /// Makes the due probes, starting with member `first`.
  std::size_t Probe(std::uint64_t first, ProbeResult result)
  {
    std::size_t probes = 0;
    for (const core::GroupProbeRequest& due :
         this->Groups.TakeProbes(this->Now)) {
      for (std::size_t index = 0; index < due.Count; ++index) {
        this->OnProbe(first + probes++, result);
      }
    }
    return probes;
  }

  void DetectGroup()
  {
    this->OnProbe(1, ProbeResult::kRefused);
    this->Probe(2, ProbeResult::kRefused);
    BOOST_REQUIRE(this->Groups.CountUnreachable(this->Now) == 1U);
  }

  bool IsDeprioritized(std::uint64_t id,
                       const BackendGroup& group = kGroup) const
  {
    return this->Groups.IsDeprioritized(MakeCandidate(id, group), this->Now);
  }
};

BOOST_FIXTURE_TEST_SUITE(UnreachableGroupsTest, GroupsFixture)

BOOST_AUTO_TEST_CASE(failed_probes_deprioritize_the_whole_group)
{
  this->OnProbe(1, ProbeResult::kRefused);
  BOOST_TEST(!this->IsDeprioritized(40));
  BOOST_TEST(this->Probe(2, ProbeResult::kRefused) ==
             core::kGroupUnreachableThreshold - 1);
  BOOST_TEST(this->IsDeprioritized(40));
  BOOST_TEST(!this->IsDeprioritized(41, kOtherZoneGroup));
  BOOST_TEST(this->Groups.TakeDetected().size() == 1U);
}

BOOST_AUTO_TEST_CASE(successful_probe_keeps_the_group_reachable)
{
  this->OnProbe(1, ProbeResult::kRefused);
  this->Probe(2, ProbeResult::kConnected);
  BOOST_TEST(!this->IsDeprioritized(1));
  BOOST_TEST(this->Groups.IsEmpty());
}

// Overloaded backends reject clients but accept connections.
BOOST_AUTO_TEST_CASE(overloaded_backends_are_not_unreachable)
{
  for (std::uint64_t id = 1; id <= kMembers; ++id) {
    this->OnProbe(id, ProbeResult::kConnected);
  }
  BOOST_TEST(this->Groups.CountUnreachable(this->Now) == 0U);
}

BOOST_AUTO_TEST_CASE(response_resets_the_count)
{
  this->OnProbe(1, ProbeResult::kRefused);
  this->OnProbe(2, ProbeResult::kRefused);
  this->Groups.OnResponse(BackendId{ 3 }, kGroup, this->Now);
  this->OnProbe(4, ProbeResult::kRefused);
  this->OnProbe(5, ProbeResult::kRefused);
  BOOST_TEST(this->Groups.CountUnreachable(this->Now) == 0U);
}

BOOST_AUTO_TEST_CASE(repeated_failures_of_one_member_are_not_a_group)
{
  for (int turn = 0; turn < 20; ++turn) {
    this->OnProbe(1, ProbeResult::kTimedOut);
  }
  BOOST_TEST(this->Groups.CountUnreachable(this->Now) == 0U);
}

BOOST_AUTO_TEST_CASE(one_response_restores_the_group)
{
  this->DetectGroup();
  this->Groups.OnResponse(BackendId{ 17 }, kGroup, this->Now);
  BOOST_TEST(!this->IsDeprioritized(1));
  BOOST_TEST(this->Groups.GetCounters().Recovered == 1U);
}

BOOST_AUTO_TEST_CASE(new_members_are_not_deprioritized)
{
  this->DetectGroup();
  BOOST_TEST(!this->IsDeprioritized(kMembers + 1));
  this->Groups.OnResponse(BackendId{ kMembers + 1 }, kGroup, this->Now);
  BOOST_TEST(this->IsDeprioritized(1));
}

BOOST_AUTO_TEST_CASE(unreachable_group_is_probed_and_expires_without_probes)
{
  this->DetectGroup();
  std::size_t probes = 0;
  for (int turn = 0; turn < 40; ++turn) {
    this->Now += 100ms;
    probes += this->Probe(7, ProbeResult::kRefused);
    BOOST_TEST(this->IsDeprioritized(40));
  }
  BOOST_TEST(probes == 4s / core::kGroupProbeInterval);
  this->Now += core::kGroupUnreachableTtl;
  BOOST_TEST(!this->IsDeprioritized(40));
  this->Groups.Expire(this->Now);
  BOOST_TEST(this->Groups.IsEmpty());
}

BOOST_AUTO_TEST_CASE(notice_only_triggers_probes)
{
  this->Groups.OnNotice(kGroup, this->Now);
  BOOST_TEST(!this->IsDeprioritized(1));
  BOOST_TEST(this->Probe(1, ProbeResult::kRefused) ==
             core::kGroupUnreachableThreshold);
  BOOST_TEST(this->IsDeprioritized(40));
}

// Wrong or late notices do not affect placement.
BOOST_AUTO_TEST_CASE(wrong_notices_cause_few_probes)
{
  std::size_t probes = 0;
  for (int turn = 0; turn < 1000; ++turn) {
    this->Groups.OnNotice(kGroup, this->Now);
    probes += this->Probe(1, ProbeResult::kConnected);
    BOOST_TEST(!this->IsDeprioritized(1));
    this->Now += 10ms;
  }
  BOOST_TEST(probes <= 10 * core::kGroupUnreachableThreshold);
}

/// Returns whether daemons that notify each other in a ring discard all state
/// after the backends have recovered.
bool ExpiresInRing(const std::vector<int>& failures)
{
  std::array<GroupsFixture, 5> ring;
  core::Time now = 100s;
  const auto step = [&](ProbeResult result) {
    now += 50ms;
    for (std::size_t index = 0; index < ring.size(); ++index) {
      ring[index].Now = now;
      ring[index].Probe(1, result);
      if (!ring[index].Groups.TakeDetected().empty()) {
        ring[(index + 1) % ring.size()].Groups.OnNotice(kGroup, now);
        ring[(index + 4) % ring.size()].Groups.OnNotice(kGroup, now);
      }
      ring[index].Groups.Expire(now);
    }
  };
  for (const int failure : failures) {
    ring.at(static_cast<std::size_t>(failure) % ring.size())
      .OnProbe(static_cast<std::uint64_t>(failure) + 1, ProbeResult::kRefused);
    step(ProbeResult::kRefused);
  }
  // All backends recover, without a notice.
  for (int turn = 0; turn < 2s / 50ms; ++turn) {
    step(ProbeResult::kConnected);
  }
  return std::all_of(
    ring.begin(), ring.end(), [](const GroupsFixture& daemon) {
      return daemon.Groups.IsEmpty();
    });
}

BOOST_AUTO_TEST_CASE(notices_do_not_sustain_each_other)
{
  BOOST_TEST(rc::check("a ring discards recovered groups", [] {
    RC_ASSERT(ExpiresInRing(*rc::gen::container<std::vector<int>>(
      rc::gen::inRange(0, static_cast<int>(kMembers)))));
  }));
}

BOOST_AUTO_TEST_CASE(resume_clears_all_state)
{
  this->DetectGroup();
  this->Groups.OnResume();
  BOOST_TEST(!this->IsDeprioritized(1));
}

BOOST_AUTO_TEST_CASE(state_expires_without_new_evidence)
{
  const bool expires = rc::check("state expires without new evidence", [] {
    GroupsFixture daemon;
    const auto steps = *rc::gen::container<std::vector<int>>(
      rc::gen::inRange(0, static_cast<int>(4 * kMembers)));
    for (const int step : steps) {
      const std::uint64_t id = 1 + static_cast<std::uint64_t>(step) % kMembers;
      const auto action = static_cast<std::uint64_t>(step) / kMembers;
      daemon.Now += 7ms;
      if (action == 0) {
        daemon.Groups.OnResponse(BackendId{ id }, kGroup, daemon.Now);
        RC_ASSERT(!daemon.IsDeprioritized(id));
      } else {
        daemon.OnProbe(
          id, action == 1 ? ProbeResult::kTimedOut : ProbeResult::kRefused);
      }
    }
    daemon.Now += core::kGroupUnreachableTtl;
    for (std::uint64_t id = 1; id <= kMembers; ++id) {
      RC_ASSERT(!daemon.IsDeprioritized(id));
    }
  });
  BOOST_TEST(expires);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
