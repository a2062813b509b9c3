/// How evacuations of zones reach every daemon by the relay.
#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

constexpr const char* kKey = "op/evacuate/a";
/// A zone must be out this long after its evacuation was acknowledged.
constexpr core::Duration kOutWithin = 3s;

struct RelayedEvacuationsFixture : RelayFixture
{
  /// \return how long it takes until the zone is out, or back, on all daemons
  /// that live.
  core::Duration TimeUntil(bool evacuated)
  {
    const core::Time began = this->Now;
    const auto differs = [evacuated](const std::unique_ptr<Node>& node) {
      return node->Alive &&
        node->Backends.evacuations().IsEvacuated("a") != evacuated;
    };
    while (std::any_of(this->Nodes.begin(), this->Nodes.end(), differs)) {
      this->Step();
      BOOST_REQUIRE((this->Now - began < 30s));
    }
    return this->Now - began;
  }

  void Evacuate() { this->Store.put(kKey, core::ZoneEvacuation{ "a" }); }
  void TakeBack() { this->Store.put(kKey, core::RemovedItem{}); }
};

BOOST_FIXTURE_TEST_SUITE(RelayedEvacuationsTest, RelayedEvacuationsFixture)

BOOST_AUTO_TEST_CASE(a_zone_is_out_and_back_on_all_daemons)
{
  this->Grow(40);
  this->Run(5s);
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) <= 3 * kStep));
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 0U);
  }
  this->TakeBack();
  BOOST_TEST((this->TimeUntil(false) <= 3 * kStep));
}

BOOST_AUTO_TEST_CASE(a_zone_that_is_out_again_within_a_second_stays_out)
{
  this->Grow(40);
  this->Run(5s);
  this->Evacuate();
  this->TakeBack();
  this->Evacuate();
  this->Run(kOutWithin);
  BOOST_TEST((this->TimeUntil(true) == 0s));
  this->Run(5s);
  BOOST_TEST((this->TimeUntil(true) == 0s));
  this->TakeBack();
  this->Evacuate();
  this->TakeBack();
  this->Run(kOutWithin);
  BOOST_TEST((this->TimeUntil(false) == 0s));
}

BOOST_AUTO_TEST_CASE(a_readers_death_delays_it_within_the_bound)
{
  this->Run(5s);
  this->Readers()[0]->Alive = false;
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) < kOutWithin));
}

BOOST_AUTO_TEST_CASE(daemons_that_the_store_turns_away_hear_of_it)
{
  this->Grow(20);
  this->Run(5s);
  for (std::size_t i = 0; i < 8; ++i) {
    this->At(i).StoreRefuses = true;
  }
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) < kOutWithin));
}

BOOST_AUTO_TEST_CASE(a_daemon_that_starts_with_a_stale_listing_hears_of_it)
{
  this->Run(5s);
  this->Store.freezeStale();
  this->Evacuate();
  this->Run(1s);
  this->Grow(14);
  BOOST_TEST((this->TimeUntil(true) < kOutWithin));
  this->Store.freezeStale();
  this->TakeBack();
  this->Run(1s);
  this->Grow(16);
  BOOST_TEST((this->TimeUntil(false) < kOutWithin));
}

BOOST_AUTO_TEST_CASE(it_ends_where_the_history_of_that_is_gone)
{
  this->Run(5s);
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) < kOutWithin));
  this->RefuseAll(true);
  this->Run(2s);
  this->TakeBack();
  this->Store.compact();
  this->RefuseAll(false);
  BOOST_TEST((this->TimeUntil(false) < kOutWithin));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
