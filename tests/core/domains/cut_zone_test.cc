/// A daemon in a zone that is cut off, with its steering.
#include "core/constants.h"
#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;

/// Back ends 1 to 8 are of zone "far"; "near" is the daemon's own.
struct CutZoneFixture : TokenFixture
{
  CutZoneFixture()
  {
    for (std::uint8_t id = 1; id <= 8; ++id) {
      this->putBackendInZone("far", id);
    }
    for (std::uint8_t id = 9; id <= 12; ++id) {
      this->putBackendInZone("near", id);
    }
  }

  void TakeOutNear()
  {
    this->steering.backends().putEvacuation(
      "evacuations/1", "near", ++this->revision);
  }

  static bool IsFar(BackendId backend)
  {
    return static_cast<std::uint64_t>(backend) <= 8;
  }

  bool IsServing() const { return this->steering.serving().IsServing(); }

  /// Let a caller open each 50 ms while "far" is not reached.
  void OpenWhileCut(core::Duration during)
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

  std::size_t Probe(bool healed)
  {
    for (const auto& backend : this->steering.takeProbes(this->now)) {
      const bool reached = healed || !IsFar(backend.id);
      this->steering.onProbe(backend.id,
                             reached ? ProbeResult::kConnected
                                     : ProbeResult::kTimedOut,
                             this->now);
    }
    const auto probes = this->steering.takeReachabilityProbes(this->now);
    for (const core::BackendAddress& backend : probes) {
      const bool reached = healed || !IsFar(backend.id);
      this->steering.onReachabilityProbe(backend.id,
                                         reached ? ProbeResult::kConnected
                                                 : ProbeResult::kTimedOut,
                                         this->now);
    }
    return probes.size();
  }

  std::uint16_t Port = 100;
};

BOOST_FIXTURE_TEST_SUITE(CutZoneTest, CutZoneFixture)

BOOST_AUTO_TEST_CASE(cut_off_with_back_ends_of_its_own_it_stays)
{
  this->OpenWhileCut(5s);
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_CASE(taken_out_and_cut_off_it_leaves_and_returns_with_the_heal)
{
  this->TakeOutNear();
  this->OpenWhileCut(2s);
  BOOST_TEST(!this->IsServing());
  this->now += core::kReadinessProbeInterval;
  BOOST_TEST(this->Probe(true) == 1U);
  BOOST_TEST(this->IsServing());
}

// Flows that were open before stay with their back ends, which are reached.
BOOST_AUTO_TEST_CASE(answers_on_old_flows_of_a_zone_taken_out_do_not_keep_it)
{
  BackendId backend = core::kNoBackend;
  while (backend == core::kNoBackend || IsFar(backend)) {
    backend = this->establishFlow(++this->Port);
  }
  const std::uint16_t old = this->Port;
  this->TakeOutNear();
  std::uint32_t bytes = 1;
  for (int turn = 0; turn < 10; ++turn) {
    this->OpenWhileCut(200ms);
    const core::Verdict verdict = this->send(old, backend, ++bytes, 0);
    // Out or in, an open flow is forwarded.
    BOOST_TEST((this->backendOf(verdict) == backend));
  }
  BOOST_TEST(!this->IsServing());
}

// Its callers' flows may have been opened at other daemons meanwhile.
BOOST_AUTO_TEST_CASE(
  after_the_heal_it_refuses_no_flow_of_a_back_end_that_lives)
{
  this->TakeOutNear();
  this->OpenWhileCut(2s);
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

BOOST_AUTO_TEST_CASE(cut_off_it_resets_no_flow)
{
  this->TakeOutNear();
  this->OpenWhileCut(2s);
  BOOST_REQUIRE(!this->IsServing());
  this->steering.takeResets();
  this->OpenWhileCut(5s);
  BOOST_TEST(this->steering.takeResets().empty());
}

// It has no say in what reaches it, where most of its zone is out.
BOOST_AUTO_TEST_CASE(an_opening_that_comes_all_the_same_is_sent_on)
{
  this->TakeOutNear();
  this->OpenWhileCut(2s);
  BOOST_REQUIRE(!this->IsServing());
  BOOST_TEST(IsFar(this->backendOf(this->open(++this->Port))));
}

// The store is on this side of the cut: the others' registrations lapse.
BOOST_AUTO_TEST_CASE(with_all_registrations_gone_it_is_ready)
{
  this->TakeOutNear();
  this->OpenWhileCut(2s);
  BOOST_REQUIRE(!this->IsServing());
  this->steering.backends().retainOnly({}, ++this->revision, this->now);
  this->now += core::kReadinessProbeInterval;
  BOOST_TEST(this->Probe(false) == 0U);
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_CASE(it_counts_as_serving_from_its_first_view_on)
{
  BOOST_TEST(this->IsServing());
  this->now += 60s;
  this->steering.onTick(this->now);
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
