/// Initial views of a starting fleet.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// Changes must be in effect within this time on every reachable daemon.
constexpr core::Duration kPropagationLimit = 3s;

BOOST_FIXTURE_TEST_SUITE(RelayStartsTest, RelayFixture)

// A daemon without a view receives one through the ViewExchange.
BOOST_AUTO_TEST_CASE(refused_daemons_follow_served_daemons)
{
  this->Run(3s);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).StoreRefuses = true;
  }
  this->Run(8s);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
  this->Run(3s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Routes.version() == 9U);
  }
}

// Guards against each daemon of a starting fleet watching the store.
BOOST_AUTO_TEST_CASE(starting_fleet_catches_up_from_its_seeds)
{
  this->GrowTo(30);
  this->Run(3s);
  BOOST_TEST(this->CountReading() == 1U);
  // One listing for each daemon, and the reads of three seeds until one is
  // elected.
  BOOST_TEST(this->CountCalls() <= 30U + 13U);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Reader.isCurrent(node->Clock(this->Now)));
  }
}

// Guards against a retry storm when the fleet restarts during a store outage.
BOOST_AUTO_TEST_CASE(fleet_without_views_leaves_retries_to_its_seeds)
{
  this->GrowTo(40);
  this->Refusal = core::ReadOutcome::kUnavailable;
  this->SetStoreRefusesAll(true);
  this->Run(1s);
  const std::uint64_t before = this->CountCalls();
  this->Run(5s);
  // Three seeds retry every 75 ms, 37 other daemons every 600 ms.
  BOOST_TEST(this->CountCalls() - before < 560U);
  this->SetStoreRefusesAll(false);
  this->Run(700ms);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Reader.isSynchronized());
  }
}

BOOST_AUTO_TEST_CASE(without_seeds_starting_fleet_catches_up_from_the_store)
{
  this->GrowTo(30);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->Run(core::kPeerCatchUpTimeout + 2 * kStep);
  for (std::size_t i = kSeeds; i < 30; ++i) {
    BOOST_TEST(this->At(i).Reader.isSynchronized());
  }
}

// A listing is not a snapshot: a later page may show an item that was added
// and removed between two reads of the seed.
BOOST_AUTO_TEST_CASE(removal_of_an_item_unknown_to_the_seed_is_propagated)
{
  this->Run(5s);
  Node& reader = *this->Readers()[0];
  Node& starting = this->At(8);
  const core::Revision listed = this->Store.revision();
  this->Store.put("servers/9", makeRegistration(9, "web", 1, 9));
  const core::StoreChange seen{ "servers/9",
                                this->Store.revision(),
                                makeRegistration(9, "web", 1, 9) };
  this->Store.put("servers/9", core::RemovedItem{});
  const core::StoreChange removal{ "servers/9",
                                   this->Store.revision(),
                                   core::RemovedItem{} };
  const core::Time clock = reader.Clock(this->Now);
  // The store's response to the seed holds only the latest state of the item.
  reader.Updater.onChange(removal, clock);
  reader.Log.Close(this->Store.revision());
  const auto range = reader.Log.Since(listed);
  BOOST_REQUIRE(range.has_value());
  starting.Updater.onChange(seen, starting.Clock(this->Now));
  for (const core::StoreChange& change : range->Changes) {
    starting.Updater.onChange(change, starting.Clock(this->Now));
  }
  BOOST_TEST(starting.Backends.activeCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
