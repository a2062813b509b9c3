/// Propagation of zone evacuations by the relay.
#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

constexpr const char* kKey = "op/evacuate/a";
/// An evacuation must be in effect within this time.
constexpr core::Duration kPropagationLimit = 3s;

struct RelayedEvacuationsFixture : RelayFixture
{
  /// \return how long it takes until the zone is evacuated, or restored, on
  /// all running daemons.
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
  void EndEvacuation() { this->Store.put(kKey, core::RemovedItem{}); }
};

BOOST_FIXTURE_TEST_SUITE(RelayedEvacuationsTest, RelayedEvacuationsFixture)

BOOST_AUTO_TEST_CASE(zone_is_evacuated_and_restored_on_all_daemons)
{
  this->GrowTo(40);
  this->Run(5s);
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) <= 3 * kStep));
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 0U);
  }
  this->EndEvacuation();
  BOOST_TEST((this->TimeUntil(false) <= 3 * kStep));
}

BOOST_AUTO_TEST_CASE(zone_evacuated_again_within_a_second_stays_evacuated)
{
  this->GrowTo(40);
  this->Run(5s);
  this->Evacuate();
  this->EndEvacuation();
  this->Evacuate();
  this->Run(kPropagationLimit);
  BOOST_TEST((this->TimeUntil(true) == 0s));
  this->Run(5s);
  BOOST_TEST((this->TimeUntil(true) == 0s));
  this->EndEvacuation();
  this->Evacuate();
  this->EndEvacuation();
  this->Run(kPropagationLimit);
  BOOST_TEST((this->TimeUntil(false) == 0s));
}

BOOST_AUTO_TEST_CASE(failed_reader_delays_evacuation_within_the_limit)
{
  this->Run(5s);
  this->Readers()[0]->Alive = false;
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) < kPropagationLimit));
}

BOOST_AUTO_TEST_CASE(refused_daemons_receive_the_evacuation)
{
  this->GrowTo(20);
  this->Run(5s);
  for (std::size_t i = 0; i < 8; ++i) {
    this->At(i).StoreRefuses = true;
  }
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) < kPropagationLimit));
}

BOOST_AUTO_TEST_CASE(daemon_with_a_stale_listing_receives_the_evacuation)
{
  this->Run(5s);
  this->Store.freezeStale();
  this->Evacuate();
  this->Run(1s);
  this->GrowTo(14);
  BOOST_TEST((this->TimeUntil(true) < kPropagationLimit));
  this->Store.freezeStale();
  this->EndEvacuation();
  this->Run(1s);
  this->GrowTo(16);
  BOOST_TEST((this->TimeUntil(false) < kPropagationLimit));
}

BOOST_AUTO_TEST_CASE(evacuation_ends_after_the_store_history_is_lost)
{
  this->Run(5s);
  this->Evacuate();
  BOOST_TEST((this->TimeUntil(true) < kPropagationLimit));
  this->SetStoreRefusesAll(true);
  this->Run(2s);
  this->EndEvacuation();
  this->Store.compact();
  this->SetStoreRefusesAll(false);
  BOOST_TEST((this->TimeUntil(false) < kPropagationLimit));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
