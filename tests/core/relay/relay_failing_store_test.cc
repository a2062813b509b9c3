/// Retries while the store fails.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// Changes must be in effect within this time on every reachable daemon.
constexpr core::Duration kPropagationLimit = 3s;

BOOST_FIXTURE_TEST_SUITE(RelayFailingStoreTest, RelayFixture)

// Guards against a retry storm of the whole fleet during a store outage.
BOOST_AUTO_TEST_CASE(few_daemons_retry_an_unavailable_store)
{
  this->GrowTo(30);
  this->Run(5s);
  this->SetStoreRefusesAll(true);
  this->Run(5s);
  const std::uint64_t before = this->CountCalls();
  this->Run(10s);
  // Three seeds retry twice a second, the others about once in two seconds.
  BOOST_TEST(this->CountCalls() - before < 240U);
  this->SetStoreRefusesAll(false);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
}

// Guards against all followers retrying at the same time when the store fails.
BOOST_AUTO_TEST_CASE(followers_of_failing_seeds_spread_their_retries)
{
  this->GrowTo(40);
  this->Run(5s);
  this->SetStoreRefusesAll(true);
  std::uint64_t before = this->CountCalls();
  this->Run(core::kFollowerReadViewAge + 500ms);
  // Three seeds retry twice a second, 37 other daemons once in three seconds.
  BOOST_TEST(this->CountCalls() - before < 25U);
  before = this->CountCalls();
  this->Run(2500ms);
  BOOST_TEST(this->CountCalls() - before < 55U);
  before = this->CountCalls();
  this->Run(6s);
  // The other daemons retry once in nine seconds.
  BOOST_TEST(this->CountCalls() - before < 75U);
  this->SetStoreRefusesAll(false);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 1500ms));
}

// The store refuses only the seeds; other daemons must detect this in time.
BOOST_AUTO_TEST_CASE(seeds_refused_by_the_store_do_not_delay_changes)
{
  for (const std::size_t daemons : { 7U, 12U, 40U }) {
    RelayFixture fleet;
    fleet.GrowTo(daemons);
    fleet.Run(5s);
    for (std::size_t i = 0; i < kSeeds; ++i) {
      fleet.At(i).StoreRefuses = true;
    }
    fleet.ChangeRoutes(9);
    BOOST_TEST((fleet.TimeUntilApplied(9) < kPropagationLimit));
  }
}

BOOST_AUTO_TEST_CASE(without_seeds_each_daemon_retries_the_store)
{
  this->Run(5s);
  this->SetStoreRefusesAll(true);
  this->Run(5s);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->Run(core::kSeedLivenessWindow);
  this->SetStoreRefusesAll(false);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 1s));
}

BOOST_AUTO_TEST_CASE(gap_triggers_an_immediate_read_during_back_off)
{
  this->GrowTo(30);
  this->Run(5s);
  this->SetStoreRefusesAll(true);
  this->Run(10s);
  this->SetStoreRefusesAll(false);
  this->AddManyRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 2s));
}

// The store serves only the seeds; other daemons must still receive changes.
BOOST_AUTO_TEST_CASE(daemons_in_back_off_receive_changes_from_seeds)
{
  this->GrowTo(30);
  this->Run(5s);
  this->SetStoreRefusesAll(true);
  this->Run(10s);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).StoreRefuses = false;
  }
  this->Run(1s);
  this->ChangeRoutes(9);
  this->Run(500ms);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Routes.version() == 9U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
