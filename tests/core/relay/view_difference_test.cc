#include "core/relay/view_difference.h"

#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

struct DifferenceFixture
{
  core::EqualWeights Weights;
  core::BackendRegistry Backends{ 60s, this->Weights };
  core::RouteTable Routes{ 0 };
  core::ViewDifference Difference{ this->Backends, this->Routes };
  core::Time Now = 100s;

  static std::string KeyOf(std::uint64_t id)
  {
    return "servers/" + std::to_string(id);
  }
  void Put(std::uint64_t id, core::Revision revision)
  {
    this->Backends.put(KeyOf(id),
                       makeRegistration(id,
                                        "web",
                                        static_cast<std::uint8_t>(id / 200),
                                        static_cast<std::uint8_t>(id % 200)),
                       revision,
                       this->Now);
  }
  void TakeRoutes(const core::RouteSet& routes, core::Revision at)
  {
    this->Routes.apply(this->Routes.difference(routes), this->Now, at);
  }
  std::vector<std::string> KeysSince(core::Revision have)
  {
    std::vector<std::string> keys;
    const auto range = this->Difference.Since(have, 1000);
    for (const core::StoreChange& change : range->Changes) {
      keys.push_back(change.key);
    }
    return keys;
  }
};

BOOST_FIXTURE_TEST_SUITE(ViewDifferenceTest, DifferenceFixture)

BOOST_AUTO_TEST_CASE(newer_changes_are_ordered_by_revision)
{
  this->Put(1, 30);
  this->Put(2, 10);
  this->Put(3, 20);
  this->Backends.remove(KeyOf(2), 40, this->Now);
  BOOST_TEST(this->KeysSince(15) ==
             (std::vector<std::string>{ KeyOf(3), KeyOf(1), KeyOf(2) }));
  BOOST_TEST(this->KeysSince(40).empty());
  const auto range = this->Difference.Since(15, 1000);
  BOOST_TEST(range->EndRevision == 1000U);
  BOOST_TEST(
    std::holds_alternative<core::RemovedItem>(range->Changes.back().item));
}

// The recipient of a part may continue with another daemon that sent these
// removals before its current revision.
BOOST_AUTO_TEST_CASE(removals_detected_by_a_listing_come_first)
{
  for (std::uint64_t id = 1; id <= 3000; ++id) {
    this->Put(id, id);
  }
  std::set<std::string> keys;
  for (std::uint64_t id = 1; id < 3000; ++id) {
    keys.insert(KeyOf(id));
  }
  this->Backends.retainOnly(keys, 3500, this->Now);
  const auto range = this->Difference.Since(5, 3500);
  BOOST_REQUIRE(range.has_value());
  BOOST_TEST(range->Changes.size() <= core::kMaxDifferenceItems + 1);
  BOOST_TEST(range->Changes.front().key == KeyOf(3000));
  BOOST_TEST(range->EndRevision < 3500U);
}

BOOST_AUTO_TEST_CASE(parts_end_at_revisions_and_are_complete_together)
{
  for (std::uint64_t id = 1; id <= 5000; ++id) {
    this->Put(id, 1 + id / 7);
  }
  core::EqualWeights weights;
  core::BackendRegistry other{ 60s, weights };
  core::Revision have = 0;
  std::size_t parts = 0;
  while (have < 1000) {
    const auto range = this->Difference.Since(have, 1000);
    BOOST_REQUIRE(range.has_value());
    BOOST_REQUIRE(range->EndRevision > have);
    BOOST_TEST(range->Changes.size() < core::kMaxDifferenceItems + 7);
    for (const core::StoreChange& change : range->Changes) {
      other.put(change.key,
                std::get<core::Registration>(change.item),
                change.revision,
                this->Now);
    }
    have = range->EndRevision;
    ++parts;
  }
  BOOST_TEST(other.size() == 5000U);
  BOOST_TEST(parts == 5U);
}

BOOST_AUTO_TEST_CASE(routes_and_evacuations_are_included)
{
  this->TakeRoutes(makeRoutes(7, { { 1, "web" } }), 50);
  this->Backends.putEvacuation("op/evacuate/a", "a", 60);
  this->Backends.putEvacuation("op/evacuate/b", "b", 61);
  this->Backends.removeEvacuation("op/evacuate/b", 62);
  const auto range = this->Difference.Since(49, 1000);
  BOOST_REQUIRE(range->Changes.size() == 3U);
  BOOST_TEST(
    std::holds_alternative<core::RouteSet>(range->Changes.back().item));
  BOOST_TEST(this->Difference.Since(60, 1000)->Changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(cached_changes_do_not_hide_later_changes)
{
  for (std::uint64_t id = 1; id <= 20; ++id) {
    this->Put(id, id);
  }
  BOOST_TEST(this->KeysSince(10).size() == 10U);
  BOOST_TEST(this->KeysSince(15).size() == 5U);
  BOOST_TEST(this->KeysSince(5).size() == 15U);
  this->Backends.remove(KeyOf(3), 21, this->Now);
  BOOST_TEST(this->KeysSince(19).size() == 2U);
  this->TakeRoutes(makeRoutes(7, { { 1, "web" } }), 22);
  BOOST_TEST(this->KeysSince(19).size() == 3U);
  this->Backends.putEvacuation("op/evacuate/a", "a", 23);
  BOOST_TEST(this->KeysSince(19).size() == 4U);
  this->Backends.discardExpired(this->Now + 60s);
  BOOST_TEST(this->KeysSince(21).size() == 2U);
}

// Guards against sending the full route set to every daemon.
BOOST_AUTO_TEST_CASE(versions_are_sent_as_deltas)
{
  std::vector<std::pair<std::uint8_t, std::string>> services;
  for (std::uint8_t host = 1; host <= 200; ++host) {
    services.emplace_back(host, "web");
  }
  this->TakeRoutes(makeRoutes(7, services), 50);
  services[3].second = "api";
  this->TakeRoutes(makeRoutes(9, services), 60);
  services.pop_back();
  this->TakeRoutes(makeRoutes(12, services), 70);
  const auto range = this->Difference.Since(55, 1000);
  BOOST_REQUIRE(range->Changes.size() == 2U);
  const auto& first = std::get<core::RouteDelta>(range->Changes[0].item);
  BOOST_TEST(first.from == 7U);
  BOOST_TEST(first.changed.size() == 1U);
  const auto& second = std::get<core::RouteDelta>(range->Changes[1].item);
  BOOST_TEST(second.from == 9U);
  BOOST_TEST(second.dropped.size() == 1U);
  BOOST_TEST(this->Difference.Since(60, 1000)->Changes.size() == 1U);
  // A view older than the stored deltas receives the full set.
  const auto all = this->Difference.Since(49, 1000);
  BOOST_REQUIRE(all->Changes.size() == 1U);
  BOOST_TEST(std::holds_alternative<core::RouteSet>(all->Changes[0].item));
}

BOOST_AUTO_TEST_CASE(oversized_route_set_is_left_to_the_store)
{
  core::RouteSet routes = makeRoutes(7, {});
  while (routes.routes.size() <= core::kMaxRelayedRoutes) {
    const auto port = static_cast<std::uint16_t>(routes.routes.size() + 1);
    routes.routes.push_back({ "r", endpoint(90, 1, port), { { "web", 1 } } });
  }
  this->TakeRoutes(routes, 50);
  BOOST_TEST(!this->Difference.Since(49, 1000).has_value());
  BOOST_TEST(this->Difference.Since(50, 1000).has_value());
}

BOOST_AUTO_TEST_CASE(no_difference_after_removals_were_discarded)
{
  this->Put(1, 10);
  this->Backends.remove(KeyOf(1), 20, this->Now);
  this->Backends.remove(KeyOf(9), 25, this->Now);
  BOOST_TEST(this->KeysSince(5).size() == 2U);
  this->Backends.discardExpired(this->Now + 60s);
  BOOST_TEST(!this->Difference.Since(24, 1000).has_value());
  BOOST_TEST(this->Difference.Since(25, 1000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

/// A fleet whose store discards its history while many changes occur.
struct LostHistoryFixture : RelayFixture
{
  LostHistoryFixture()
  {
    this->AddBackends(3000);
    this->GrowTo(40);
    for (auto& node : this->Nodes) {
      node->Relay.SetTiming(core::RelayTiming::ForBound(8s));
    }
    this->Run(8s);
  }

  std::uint64_t CountItemsRead() const
  {
    std::uint64_t items = 0;
    for (const auto& node : this->Nodes) {
      items += node->ItemsRead;
    }
    return items;
  }

  /// No watch delivers these changes, and none can start from before them.
  void ApplyUnseenChanges(core::ConfigurationVersion version)
  {
    for (auto& node : this->Nodes) {
      node->StoreUnresponsive = true;
    }
    for (std::uint64_t id = 100; id < 700; ++id) {
      this->Store.put("servers/" + std::to_string(id), core::RemovedItem{});
    }
    for (std::uint64_t id = 5000; id < 5300; ++id) {
      this->Store.put("servers/" + std::to_string(id),
                      makeRegistration(id,
                                       "web",
                                       static_cast<std::uint8_t>(id / 200),
                                       static_cast<std::uint8_t>(id % 200)));
    }
    this->ChangeRoutes(version);
    this->Run(1s);
    this->Store.compact();
    for (auto& node : this->Nodes) {
      node->StoreUnresponsive = false;
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(LostHistoryTest, LostHistoryFixture)

// Guards against every daemon listing the store after the history is lost.
BOOST_AUTO_TEST_CASE(few_daemons_list_again_after_lost_history)
{
  const std::uint64_t before = this->CountItemsRead();
  this->ApplyUnseenChanges(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 4s));
  this->Run(4s);
  const std::uint64_t read = this->CountItemsRead() - before;
  BOOST_TEST(read < 8U * 3000U);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Routes.version() == 9U);
    BOOST_TEST(node->Backends.activeCount() == 3001U - 600U + 300U);
  }
}

// Indirect followers do not hear from seeds and must not list immediately.
BOOST_AUTO_TEST_CASE(followers_of_followers_wait_for_peers)
{
  this->GrowTo(150);
  for (auto& node : this->Nodes) {
    node->Relay.SetTiming(core::RelayTiming::ForBound(8s));
  }
  this->Run(8s);
  const std::uint64_t before = this->CountItemsRead();
  this->ApplyUnseenChanges(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 4s));
  this->Run(4s);
  BOOST_TEST(this->CountItemsRead() - before < 12U * 3000U);
}

// A listing in progress ends if a peer sends the missing changes.
BOOST_AUTO_TEST_CASE(listing_in_progress_applies_changes_of_a_peer)
{
  Node& node = this->At(20);
  const core::Time clock = node.Clock(this->Now);
  core::StoreReply historyGone;
  historyGone.outcome = core::ReadOutcome::kHistoryGone;
  node.Reader.setActive(true);
  node.Reader.onReply(historyGone, clock);
  BOOST_REQUIRE(node.Reader.isListing());
  const auto page = node.Reader.nextRead(clock + 3s);
  BOOST_REQUIRE(page.has_value());
  this->ChangeRoutes(9);
  this->Run(1s);
  BOOST_TEST(node.Routes.version() == 9U);
  BOOST_TEST(!node.Reader.isListing());
  // The late page does not restart the listing.
  node.Reader.onReply(this->Store.replyTo(*page), node.Clock(this->Now));
  BOOST_TEST(!node.Reader.isListing());
  this->Run(2s);
  BOOST_TEST(node.Backends.activeCount() == 3001U);
}

// Guards against daemons confirming each other's stale views instead of
// listing.
BOOST_AUTO_TEST_CASE(older_confirmation_does_not_end_a_listing)
{
  Node& node = this->At(20);
  const core::Time clock = node.Clock(this->Now);
  const core::Revision revision = node.Reader.revision();
  core::StoreReply historyGone;
  historyGone.outcome = core::ReadOutcome::kHistoryGone;
  node.Reader.onReply(historyGone, clock);
  node.Reader.confirm(clock - 100ms);
  BOOST_TEST(node.Reader.isListing());
  node.Reader.advance(revision + 1);
  node.Reader.adopt(revision + 2);
  BOOST_TEST(node.Reader.isListing());
  BOOST_TEST(node.Reader.revision() == revision + 2);
  node.Reader.confirm(clock + 100ms);
  BOOST_TEST(!node.Reader.isListing());
}

BOOST_AUTO_TEST_CASE(strict_bound_allows_no_wait_for_peers)
{
  for (auto& node : this->Nodes) {
    node->Relay.SetTiming(core::RelayTiming::ForBound(3s));
  }
  this->ApplyUnseenChanges(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 3s));
}

// Guards against a large backlog of changes delaying a new version.
BOOST_AUTO_TEST_CASE(many_changes_do_not_delay_a_version)
{
  this->Store.watchSize = core::kStorePageItems;
  for (std::uint64_t id = 10; id < 3010; ++id) {
    this->Store.put("servers/" + std::to_string(id), core::RemovedItem{});
  }
  this->AddBackends(3000);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 3s));
  this->Run(2s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 3001U);
  }
}

// Guards against all followers reading the version from the store.
BOOST_AUTO_TEST_CASE(version_with_many_routes_is_propagated)
{
  this->Run(2s);
  const std::uint64_t before = this->CountCalls();
  this->AddManyRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 2s));
  this->Run(2s);
  BOOST_TEST(this->CountCalls() - before < 20U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
