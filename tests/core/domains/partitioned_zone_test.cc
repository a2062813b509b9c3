/// Steering of a daemon in a zone that is partitioned from the others.
#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;

/// Backends 1 to 8 are in zone "far", 9 to 12 in the daemon's zone "near".
struct PartitionedZoneFixture : TokenFixture
{
  PartitionedZoneFixture()
  {
    for (std::uint8_t id = 1; id <= 8; ++id) {
      this->putBackendInZone("far", id);
    }
    for (std::uint8_t id = 9; id <= 12; ++id) {
      this->putBackendInZone("near", id);
    }
  }

  void EvacuateNear()
  {
    this->steering.backends().putEvacuation(
      "evacuations/1", "near", ++this->revision);
  }

  static bool IsFar(BackendId backend)
  {
    return static_cast<std::uint64_t>(backend) <= 8;
  }

  bool IsServing() const { return this->steering.serving().IsServing(); }

  /// Opens a flow every 50 ms while "far" is unreachable.
  void OpenWhilePartitioned(core::Duration during)
  {
    for (const core::Time end = this->now + during; this->now < end;) {
      const BackendId backend = this->backendOf(this->open(++this->Port));
      this->now += 5ms;
      if (!IsFar(backend)) {
        this->send(this->Port, backend, 1, 0);
      }
      this->now += 45ms;
      this->steering.onTick(this->now);
      this->Probe(false);
    }
  }

  std::size_t Probe(bool recovered)
  {
    for (const auto& backend : this->steering.takeProbes(this->now)) {
      const bool reached = recovered || !IsFar(backend.id);
      this->steering.onProbe(backend.id,
                             reached ? ProbeResult::kConnected
                                     : ProbeResult::kTimedOut,
                             this->now);
    }
    const auto probes = this->steering.takeReachabilityProbes(this->now);
    for (const core::BackendAddress& backend : probes) {
      const bool reached = recovered || !IsFar(backend.id);
      this->steering.onReachabilityProbe(backend.id,
                                         reached ? ProbeResult::kConnected
                                                 : ProbeResult::kTimedOut,
                                         this->now);
    }
    return probes.size();
  }

  std::uint16_t Port = 100;
};

BOOST_FIXTURE_TEST_SUITE(PartitionedZoneTest, PartitionedZoneFixture)

BOOST_AUTO_TEST_CASE(partitioned_daemon_with_local_backends_keeps_serving)
{
  this->OpenWhilePartitioned(5s);
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_CASE(
  evacuated_and_partitioned_daemon_stops_serving_until_recovery)
{
  this->EvacuateNear();
  this->OpenWhilePartitioned(2s);
  BOOST_TEST(!this->IsServing());
  this->now += core::kReadinessProbeInterval;
  BOOST_TEST(this->Probe(true) == 1U);
  BOOST_TEST(this->IsServing());
}

// Established flows keep their backends, which are still reachable.
BOOST_AUTO_TEST_CASE(responses_on_flows_of_an_evacuated_zone_do_not_count)
{
  BackendId backend = core::kNoBackend;
  while (backend == core::kNoBackend || IsFar(backend)) {
    backend = this->establishFlow(++this->Port);
  }
  const std::uint16_t oldPort = this->Port;
  this->EvacuateNear();
  std::uint32_t bytes = 1;
  for (int turn = 0; turn < 10; ++turn) {
    this->OpenWhilePartitioned(200ms);
    const core::Verdict verdict = this->send(oldPort, backend, ++bytes, 0);
    // Forwarded whether the daemon is serving or not.
    BOOST_TEST((this->backendOf(verdict) == backend));
  }
  BOOST_TEST(!this->IsServing());
}

// The flows may have been opened at other daemons meanwhile.
BOOST_AUTO_TEST_CASE(after_recovery_flows_of_live_backends_are_forwarded)
{
  this->EvacuateNear();
  this->OpenWhilePartitioned(2s);
  BOOST_REQUIRE(!this->IsServing());
  BOOST_REQUIRE(this->steering.health().counters().declaredDead > 1U);
  this->now += core::kReadinessProbeInterval;
  this->Probe(true);
  BOOST_REQUIRE(this->IsServing());
  for (std::uint8_t id = 1; id <= 3; ++id) {
    const core::Verdict verdict =
      this->send(9000 + id, BackendId{ id }, 1, 10);
    BOOST_TEST((this->backendOf(verdict) == BackendId{ id }));
  }
}

BOOST_AUTO_TEST_CASE(partitioned_daemon_resets_no_flow)
{
  this->EvacuateNear();
  this->OpenWhilePartitioned(2s);
  BOOST_REQUIRE(!this->IsServing());
  this->steering.takeResets();
  this->OpenWhilePartitioned(5s);
  BOOST_TEST(this->steering.takeResets().empty());
}

// Routers may still send it flows if most daemons of the zone are out.
BOOST_AUTO_TEST_CASE(daemon_that_is_not_serving_still_forwards_openings)
{
  this->EvacuateNear();
  this->OpenWhilePartitioned(2s);
  BOOST_REQUIRE(!this->IsServing());
  BOOST_TEST(IsFar(this->backendOf(this->open(++this->Port))));
}

// If the store is in this partition, registrations of the others expire.
BOOST_AUTO_TEST_CASE(daemon_without_any_registered_backend_is_serving)
{
  this->EvacuateNear();
  this->OpenWhilePartitioned(2s);
  BOOST_REQUIRE(!this->IsServing());
  this->steering.backends().retainOnly({}, ++this->revision, this->now);
  this->now += core::kReadinessProbeInterval;
  BOOST_TEST(this->Probe(false) == 0U);
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_CASE(daemon_is_serving_initially)
{
  BOOST_TEST(this->IsServing());
  this->now += 60s;
  this->steering.onTick(this->now);
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
