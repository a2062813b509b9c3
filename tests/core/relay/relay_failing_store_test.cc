/// Who tries a store that fails, and how often.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// Changes must be in force within 3 s on every daemon that is in touch.
constexpr core::Duration kInForceWithin = 3s;

BOOST_FIXTURE_TEST_SUITE(RelayFailingStoreTest, RelayFixture)

// With 295 daemons an outage cost 5,400 refused calls (cflc-quotes-large
// trouble-3).
BOOST_AUTO_TEST_CASE(while_the_store_is_away_few_daemons_try_it)
{
  this->Grow(30);
  this->Run(5s);
  this->RefuseAll(true);
  this->Run(5s);
  const std::uint64_t before = this->CountCalls();
  this->Run(10s);
  // Three seeds try twice a second, the others about once in two seconds.
  BOOST_TEST(this->CountCalls() - before < 240U);
  this->RefuseAll(false);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
}

// 284 followers tried the store twice within a second of its failure
// (cflc-quotes-large trouble-2 and trouble-3).
BOOST_AUTO_TEST_CASE(followers_of_seeds_that_fail_try_one_after_the_other)
{
  this->Grow(40);
  this->Run(5s);
  this->RefuseAll(true);
  std::uint64_t before = this->CountCalls();
  this->Run(core::kFollowerReadViewAge + 500ms);
  // Three seeds try twice a second; 37 others in three seconds.
  BOOST_TEST(this->CountCalls() - before < 25U);
  before = this->CountCalls();
  this->Run(2500ms);
  BOOST_TEST(this->CountCalls() - before < 55U);
  before = this->CountCalls();
  this->Run(6s);
  // The others once in nine seconds.
  BOOST_TEST(this->CountCalls() - before < 75U);
  this->RefuseAll(false);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < 1500ms));
}

// The store turns the seeds away and serves the others: they find out in time.
BOOST_AUTO_TEST_CASE(seeds_that_fail_alone_delay_no_change)
{
  for (const std::size_t daemons : { 7U, 12U, 40U }) {
    RelayFixture fleet;
    fleet.Grow(daemons);
    fleet.Run(5s);
    for (std::size_t i = 0; i < kSeeds; ++i) {
      fleet.At(i).StoreRefuses = true;
    }
    fleet.ChangeRoutes(9);
    BOOST_TEST((fleet.TimeUntilInForce(9) < kInForceWithin));
  }
}

BOOST_AUTO_TEST_CASE(without_seeds_each_daemon_tries_the_store_itself)
{
  this->Run(5s);
  this->RefuseAll(true);
  this->Run(5s);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->Run(core::kSeedLivenessWindow);
  this->RefuseAll(false);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < 1s));
}

BOOST_AUTO_TEST_CASE(a_gap_is_closed_at_once_where_reads_were_rare)
{
  this->Grow(30);
  this->Run(5s);
  this->RefuseAll(true);
  this->Run(10s);
  this->RefuseAll(false);
  this->AddManyRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < 2s));
}

// Only the seeds are served: the others must not wait to learn of a change.
BOOST_AUTO_TEST_CASE(daemons_that_read_rarely_take_changes_from_seeds)
{
  this->Grow(30);
  this->Run(5s);
  this->RefuseAll(true);
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
