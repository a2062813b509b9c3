/// Placement of connection attempts after all backends of a zone failed.
#include <algorithm>

#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;

/// Backends 11 to 50 are in zone "near", 61 to 80 in zone "far"; all have
/// equal weights.
struct FailedGroupFixture : TokenFixture
{
  FailedGroupFixture()
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

  /// Opens a flow every 20 ms; "near" does not respond.
  /// \return the number of attempts sent to "near".
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

BOOST_FIXTURE_TEST_SUITE(FailedGroupTest, FailedGroupFixture)

// Guards against one lost attempt per failed backend.
BOOST_AUTO_TEST_CASE(failed_group_loses_few_openings)
{
  BOOST_TEST(this->Open(3s, ProbeResult::kRefused) <= 10);
  BOOST_TEST(this->steering.unreachableGroups().GetCounters().Detected == 1U);
}

BOOST_AUTO_TEST_CASE(if_disabled_each_failed_backend_loses_an_opening)
{
  this->steering.unreachableGroups().SetEnabled(false);
  BOOST_TEST(this->Open(3s, ProbeResult::kRefused) >= 30);
}

// Accepted connections show that the backends have not failed.
BOOST_AUTO_TEST_CASE(backends_that_accept_connections_are_not_deprioritized)
{
  this->Open(3s, ProbeResult::kConnected);
  BOOST_TEST(this->steering.unreachableGroups().GetCounters().Detected == 0U);
}

BOOST_AUTO_TEST_CASE(recovered_group_is_used_after_one_probe)
{
  this->Open(3s, ProbeResult::kRefused);
  this->now += core::kGroupProbeInterval;
  this->Probe(ProbeResult::kConnected);
  BOOST_TEST(this->steering.unreachableGroups().CountUnreachable(this->now) ==
             0U);
}

// Deprioritized candidates are used if there are no others.
BOOST_AUTO_TEST_CASE(openings_are_placed_when_all_groups_are_unreachable)
{
  this->Open(3s, ProbeResult::kRefused);
  for (std::uint64_t id = 61; id <= 64; ++id) {
    this->steering.onGroupProbe(
      BackendId{ id }, ProbeResult::kRefused, this->now);
  }
  BOOST_TEST(this->steering.unreachableGroups().CountUnreachable(this->now) ==
             2U);
  for (int turn = 0; turn < 50; ++turn) {
    this->backendOf(this->open(++this->Port));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
