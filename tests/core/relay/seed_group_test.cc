#include "core/relay/seed_group.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

/// A daemon that knows two seeds, and responses of the first one.
struct SeedGroupFixture
{
  core::Endpoint First = endpoint(9, 1, 7720);
  core::Endpoint Second = endpoint(9, 2, 7720);
  core::SeedGroup Seeds{ endpoint(9, 8, 7720) };
  core::RelayTiming Timing;
  core::Time Now = 100s;

  SeedGroupFixture()
  {
    this->Seeds.SetSeeds({ this->First, this->Second });
    this->Seeds.OnTick(this->Now);
  }

  core::ViewUpdate ResponseWithViewAge(core::Duration age) const
  {
    core::ViewUpdate update;
    update.sender = this->First;
    update.echoUs = 1;
    update.clockUs = 5'000'000'000;
    update.confirmedUs =
      update.clockUs - static_cast<std::uint64_t>(age.count());
    return update;
  }
};

BOOST_FIXTURE_TEST_SUITE(SeedGroupTest, SeedGroupFixture)

BOOST_AUTO_TEST_CASE(seeds_are_queried_in_turn)
{
  const core::Endpoint first = this->Seeds.GetNext();
  const core::Endpoint second = this->Seeds.GetNext();
  BOOST_TEST((first != second));
  BOOST_TEST((this->Seeds.GetNext() == first));
}

BOOST_AUTO_TEST_CASE(seed_excludes_itself)
{
  core::SeedGroup seedItself(this->First);
  seedItself.SetSeeds({ this->First, this->Second });
  seedItself.OnTick(this->Now);
  BOOST_TEST(seedItself.IsSelfSeed());
  BOOST_TEST((seedItself.GetNext() == this->Second));
  BOOST_TEST(!seedItself.Contains(this->First));
  BOOST_TEST(!seedItself.HasReachableSeed(this->Now));
}

BOOST_AUTO_TEST_CASE(seeds_are_reachable_until_the_timeout)
{
  BOOST_TEST(this->Seeds.HasReachableSeed(this->Now));
  this->Now += core::kSeedLivenessWindow;
  this->Seeds.OnTick(this->Now);
  BOOST_TEST(!this->Seeds.HasReachableSeed(this->Now));
  this->Seeds.OnUpdate(this->ResponseWithViewAge(0s), this->Timing, this->Now);
  BOOST_TEST(this->Seeds.HasReachableSeed(this->Now));
}

BOOST_AUTO_TEST_CASE(old_view_of_a_seed_indicates_a_failing_store)
{
  const core::Duration limit =
    this->Timing.SeedReadViewAge + core::kSeedReadAttemptWindow;
  this->Seeds.OnUpdate(
    this->ResponseWithViewAge(limit - 1ms), this->Timing, this->Now);
  BOOST_TEST(!this->Seeds.IsStoreFailing(this->Now));
  this->Seeds.OnUpdate(
    this->ResponseWithViewAge(limit), this->Timing, this->Now);
  BOOST_TEST(this->Seeds.IsStoreFailing(this->Now));
  // The failure state expires, and ends early when a seed is served again.
  BOOST_TEST(
    !this->Seeds.IsStoreFailing(this->Now + core::kSeedLivenessWindow));
  this->Seeds.OnUpdate(
    this->ResponseWithViewAge(10ms), this->Timing, this->Now);
  BOOST_TEST(!this->Seeds.IsStoreFailing(this->Now));
}

BOOST_AUTO_TEST_CASE(unrelated_updates_do_not_indicate_a_failing_store)
{
  core::ViewUpdate pushed = this->ResponseWithViewAge(10s);
  pushed.echoUs = 0;
  core::ViewUpdate part = this->ResponseWithViewAge(10s);
  part.confirmedUs = 0;
  core::ViewUpdate fromNonSeed = this->ResponseWithViewAge(10s);
  fromNonSeed.sender = endpoint(9, 30, 7720);
  for (const core::ViewUpdate& update : { pushed, part, fromNonSeed }) {
    this->Seeds.OnUpdate(update, this->Timing, this->Now);
    BOOST_TEST(!this->Seeds.IsStoreFailing(this->Now));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
