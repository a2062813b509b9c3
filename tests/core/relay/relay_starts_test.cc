/// How a fleet that starts gets its view.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

/// Changes must be in force within 3 s on every daemon that is in touch.
constexpr core::Duration kInForceWithin = 3s;

BOOST_FIXTURE_TEST_SUITE(RelayStartsTest, RelayFixture)

// A daemon without any view gets one through the ViewExchange.
BOOST_AUTO_TEST_CASE(daemons_that_the_store_refuses_follow_those_it_serves)
{
  this->Run(3s);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).StoreRefuses = true;
  }
  this->Run(8s);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
  this->Run(3s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Routes.version() == 9U);
  }
}

// Each of 295 daemons that started together began a watch of its own before it
// had heard of a reader.
BOOST_AUTO_TEST_CASE(a_starting_fleet_lists_and_catches_up_by_its_seeds)
{
  this->Grow(30);
  this->Run(3s);
  BOOST_TEST(this->CountReading() == 1U);
  // A listing each, and what three seeds read until they agree.
  BOOST_TEST(this->CountCalls() <= 30U + 13U);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Reader.isCurrent(node->Clock(this->Now)));
  }
}

// 295 daemons that were all killed while the store was away tried it 3,600
// times a second (lapse_and_total_restart on cflc-quotes-large).
BOOST_AUTO_TEST_CASE(a_fleet_without_views_leaves_the_tries_to_its_seeds)
{
  this->Grow(40);
  this->Refusal = core::ReadOutcome::kUnavailable;
  this->RefuseAll(true);
  this->Run(1s);
  const std::uint64_t before = this->CountCalls();
  this->Run(5s);
  // Three seeds try every 75 ms, 37 others every 600 ms.
  BOOST_TEST(this->CountCalls() - before < 560U);
  this->RefuseAll(false);
  this->Run(700ms);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Reader.isSynchronized());
  }
}

BOOST_AUTO_TEST_CASE(without_seeds_a_starting_fleet_catches_up_by_the_store)
{
  this->Grow(30);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->Run(core::kCatchUpFromPeers + 2 * kStep);
  for (std::size_t i = kSeeds; i < 30; ++i) {
    BOOST_TEST(this->At(i).Reader.isSynchronized());
  }
}

// Pages of a listing are no snapshot: a later one may show an item that the
// seed never saw, since it came and went between two of the seed's reads.
BOOST_AUTO_TEST_CASE(what_a_seed_never_saw_is_told_to_be_gone)
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
  const core::StoreChange gone{ "servers/9",
                                this->Store.revision(),
                                core::RemovedItem{} };
  const core::Time clock = reader.Clock(this->Now);
  // The store's answer to the seed holds what was last true of the item.
  reader.Updater.onChange(gone, clock);
  reader.Log.Close(this->Store.revision());
  const auto excerpt = reader.Log.Since(listed);
  BOOST_REQUIRE(excerpt.has_value());
  starting.Updater.onChange(seen, starting.Clock(this->Now));
  for (const core::StoreChange& change : excerpt->Changes) {
    starting.Updater.onChange(change, starting.Clock(this->Now));
  }
  BOOST_TEST(starting.Backends.activeCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
