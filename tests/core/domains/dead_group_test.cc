/// Openings while all back ends of a zone are gone at once.
#include <algorithm>

#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;

/// Back ends 11 to 50 are of zone "near", 61 to 80 of zone "far"; the policy
/// is that of equal weights.
struct DeadGroupFixture : TokenFixture
{
  DeadGroupFixture()
  {
    this->removeBackends();
    this->steering.backends().retainOnly({}, ++this->revision, this->now);
    this->now += 60s;
    for (std::uint8_t id = 11; id <= 50; ++id) {
      this->putBackendInZone("near", id);
    }
    for (std::uint8_t id = 61; id <= 80; ++id) {
      this->putBackendInZone("far", id);
    }
  }

  static bool IsNear(BackendId backend)
  {
    return static_cast<std::uint64_t>(backend) <= 50;
  }

  /// Let callers open each 20 ms; those at "near" get no answer.
  /// \return openings that went there.
  int Open(core::Duration during, ProbeResult near)
  {
    int lost = 0;
    for (const core::Time end = this->now + during; this->now < end;) {
      const BackendId backend = this->backendOf(this->open(++this->Port));
      if (IsNear(backend)) {
        ++lost;
      } else {
        this->send(this->Port, backend, 1, 0);
      }
      this->now += 20ms;
      this->Probe(near);
    }
    return lost;
  }

  void Probe(ProbeResult near)
  {
    for (const auto& backend : this->steering.takeProbes(this->now)) {
      this->steering.onProbe(
        backend.id, this->ResultOf(backend, near), this->now);
    }
    for (const auto& backend : this->steering.takeGroupProbes(this->now)) {
      this->steering.onGroupProbe(
        backend.id, this->ResultOf(backend, near), this->now);
    }
  }

  static ProbeResult ResultOf(const core::BackendAddress& backend,
                              ProbeResult near)
  {
    return IsNear(backend.id) ? near : ProbeResult::kConnected;
  }

  std::uint16_t Port = 100;
};

BOOST_FIXTURE_TEST_SUITE(DeadGroupTest, DeadGroupFixture)

// Without a group each of the forty costs a caller its try.
BOOST_AUTO_TEST_CASE(forty_dead_back_ends_cost_few_openings)
{
  BOOST_TEST(this->Open(3s, ProbeResult::kRefused) <= 10);
  BOOST_TEST(this->steering.silentGroups().GetCounters().Found == 1U);
}

BOOST_AUTO_TEST_CASE(switched_off_each_costs_an_opening)
{
  this->steering.silentGroups().SetEnabled(false);
  BOOST_TEST(this->Open(3s, ProbeResult::kRefused) >= 30);
}

// They take connections, so it is not their death that leaves callers alone.
BOOST_AUTO_TEST_CASE(back_ends_that_take_connections_stay)
{
  this->Open(3s, ProbeResult::kConnected);
  BOOST_TEST(this->steering.silentGroups().GetCounters().Found == 0U);
}

BOOST_AUTO_TEST_CASE(back_again_they_take_openings_within_a_probe)
{
  this->Open(3s, ProbeResult::kRefused);
  this->now += core::kGroupProbeInterval;
  this->Probe(ProbeResult::kConnected);
  BOOST_TEST(this->steering.silentGroups().CountSilent(this->now) == 0U);
}

// The last candidates are used, whatever is believed of them.
BOOST_AUTO_TEST_CASE(where_all_groups_are_silent_openings_are_still_placed)
{
  this->Open(3s, ProbeResult::kRefused);
  for (std::uint64_t id = 61; id <= 64; ++id) {
    this->steering.onGroupProbe(
      BackendId{ id }, ProbeResult::kRefused, this->now);
  }
  BOOST_TEST(this->steering.silentGroups().CountSilent(this->now) == 2U);
  for (int turn = 0; turn < 50; ++turn) {
    this->backendOf(this->open(++this->Port));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
