/// Who reads the store, whom the others follow, and how old a view may get.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

using core::UpdateOutcome;

/// Changes must be in force within 3 s on every daemon that is in touch.
constexpr core::Duration kInForceWithin = 3s;

BOOST_FIXTURE_TEST_SUITE(ViewRelayTest, RelayFixture)

// Every daemon watched every change: 3,581 calls on a calm day with 74
// daemons.
BOOST_AUTO_TEST_CASE(one_seed_reads_and_all_others_follow)
{
  this->Run(5s);
  BOOST_TEST(this->CountReading() == 1U);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Reader.isSynchronized());
    BOOST_TEST(node->Reader.isCurrent(node->Clock(this->Now)));
  }
  const std::uint64_t before = this->CountCalls();
  this->Run(10s);
  BOOST_TEST(this->CountCalls() - before <= 14U);
}

BOOST_AUTO_TEST_CASE(a_change_reaches_all_at_once)
{
  this->Run(5s);
  this->ChangeRoutes(9);
  this->Store.put("servers/2", makeRegistration(2, "web", 1, 2));
  this->Store.put("servers/1", core::RemovedItem{});
  BOOST_TEST((this->TimeUntilInForce(9) <= 2 * kStep));
  this->Run(kStep);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 1U);
    BOOST_TEST(node->Routes.size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(a_readers_death_is_made_good_within_the_bound)
{
  this->Run(5s);
  BOOST_REQUIRE(this->Readers().size() == 1U);
  this->Readers()[0]->Alive = false;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
  this->Run(5s);
  BOOST_TEST(this->CountReading() == 1U);
}

BOOST_AUTO_TEST_CASE(all_seeds_die_and_the_others_agree_on_few_readers)
{
  this->Run(5s);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
  this->Run(10s);
  BOOST_TEST(this->CountReading() == 1U);
}

// The reader paused for 0.8 s after a burst and then watched for 0.9 s: 294
// followers had no sign of life for too long and looked for another daemon
// (cflc-quotes-large trouble-3, four times).
BOOST_AUTO_TEST_CASE(the_end_of_a_burst_costs_no_follower_its_upstream)
{
  this->Run(10s);
  for (std::uint8_t id = 2; id < 12; ++id) {
    this->Store.put("servers/" + std::to_string(id),
                    makeRegistration(id, "web", 1, id));
    this->Run(300ms);
  }
  for (int step = 0; step < 40; ++step) {
    this->Step();
    BOOST_TEST(this->CountReading() == 1U);
    for (auto& node : this->Nodes) {
      const bool knowsReader =
        node->Relay.IsReading() || node->Relay.GetUpstream().has_value();
      BOOST_TEST(knowsReader);
    }
  }
}

// The store may serve the operator and most daemons and say nothing to some.
BOOST_AUTO_TEST_CASE(a_reader_that_the_store_ignores_is_replaced)
{
  this->Run(5s);
  Node* reader = this->Readers()[0];
  reader->StoreSilent = true;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
  this->Run(5s);
  BOOST_TEST(reader->Routes.version() == 9U);
  BOOST_TEST(reader->Reader.isCurrent(reader->Clock(this->Now)));
}

BOOST_AUTO_TEST_CASE(a_daemon_cut_from_its_peers_reads_the_store)
{
  this->Run(5s);
  this->At(8).PeersCut = true;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
  this->At(8).PeersCut = false;
  this->Run(5s);
  BOOST_TEST(!this->At(8).Relay.IsReading());
}

// What waited in a frozen daemon's socket looks new and is old.
BOOST_AUTO_TEST_CASE(updates_that_waited_do_not_make_a_view_fresh)
{
  this->Run(5s);
  Node& frozen = this->At(8);
  frozen.Alive = false;
  this->Run(3s);
  frozen.Alive = true;
  frozen.PeersCut = true;
  this->Now += 5s;
  const core::Time clock = frozen.Clock(this->Now);
  BOOST_REQUIRE(!this->Waiting.empty());
  for (const Message& message : this->Waiting) {
    if (const auto* update = std::get_if<core::ViewUpdate>(&message.Content)) {
      frozen.Relay.OnUpdate(*update, clock);
    }
  }
  BOOST_TEST(!frozen.Reader.isCurrent(clock));
  frozen.Relay.OnTick({}, clock);
  BOOST_TEST(frozen.Reader.isActive());
}

BOOST_AUTO_TEST_CASE(a_resumed_daemon_reads_at_once)
{
  this->Run(5s);
  this->At(8).Relay.OnResume();
  BOOST_TEST(this->At(8).Reader.isActive());
  this->Run(3s);
  BOOST_TEST(!this->At(8).Reader.isActive());
}

BOOST_AUTO_TEST_CASE(followers_leave_a_daemon_that_stops)
{
  this->Run(5s);
  Node* reader = this->Readers()[0];
  BOOST_TEST(reader->Relay.CountFollowers() > 0U);
  reader->Relay.Leave();
  this->Run(3s);
  BOOST_TEST(reader->Relay.CountFollowers() == 0U);
  for (auto& node : this->Nodes) {
    BOOST_TEST((node->Relay.GetUpstream() != reader->Address));
  }
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
}

BOOST_AUTO_TEST_CASE(a_full_daemon_refers_to_its_followers)
{
  this->Grow(4 * core::kMostFollowers);
  this->Run(10s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Relay.CountFollowers() <= core::kMostFollowers);
    BOOST_TEST(node->Reader.isCurrent(node->Clock(this->Now)));
  }
  BOOST_TEST(this->CountReading() <= 2U);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
}

BOOST_AUTO_TEST_CASE(what_two_daemons_saw_of_a_back_end_is_known_to_all)
{
  this->Grow(4 * core::kMostFollowers);
  this->Run(10s);
  for (const std::size_t observer : { 40U, 90U }) {
    for (int i = 0; i < 10; ++i) {
      this->At(observer).Outliers.OnAnswered();
    }
    this->At(observer).Outliers.OnLate(core::BackendId{ 1 });
  }
  this->Run(2s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Outliers.IsOutlier(core::BackendId{ 1 }));
  }
  this->Run(core::kOutlierFor + 2s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(!node->Outliers.IsOutlier(core::BackendId{ 1 }));
  }
}

// Other deployments may want changes in force sooner.
BOOST_AUTO_TEST_CASE(a_shorter_bound_shortens_all_limits)
{
  for (auto& node : this->Nodes) {
    node->Relay.SetTiming(core::RelayTiming::Within(1500ms));
  }
  this->Run(5s);
  BOOST_TEST(this->CountReading() == 1U);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < 1500ms));
}

BOOST_AUTO_TEST_CASE(a_longer_bound_changes_nothing)
{
  const core::RelayTiming timing = core::RelayTiming::Within(30s);
  BOOST_TEST((timing.WatchWait == core::kWatchWait));
  BOOST_TEST((timing.FollowerReadsAfter == core::kFollowerReadsAfter));
  BOOST_TEST((timing.RareTryAfter == core::kReadBackOffCovered));
}

BOOST_AUTO_TEST_CASE(rare_tries_follow_a_shorter_bound)
{
  const core::RelayTiming timing =
    core::RelayTiming::Within(core::kChangesInForce / 2);
  BOOST_TEST((timing.RareTryAfter == core::kReadBackOffCovered / 2));
}

BOOST_AUTO_TEST_CASE(an_update_of_unknown_age_says_nothing)
{
  this->Run(5s);
  core::ViewUpdate update;
  update.sender = endpoint(9, 200, 7720);
  update.from = this->Store.revision();
  update.revision = this->Store.revision() + 5;
  const core::Time clock = this->At(8).Clock(this->Now);
  BOOST_TEST(
    (this->At(8).Relay.OnUpdate(update, clock) == UpdateOutcome::kUnusable));
  BOOST_TEST(this->At(8).Reader.revision() == this->Store.revision());
}

BOOST_AUTO_TEST_CASE(routes_that_build_on_another_version_are_a_gap)
{
  this->Run(5s);
  Node& node = this->At(8);
  core::ViewUpdate update;
  update.sender = this->At(0).Address;
  update.echoUs =
    static_cast<std::uint64_t>((node.Clock(this->Now) - 1ms).count());
  update.clockUs = update.confirmedUs = 1;
  update.from = this->Store.revision();
  update.revision = this->Store.revision() + 5;
  update.routes.push_back(
    { "op/config", update.revision, 8, 9, 0, {}, { endpoint(90, 1, 443) } });
  const core::Time clock = node.Clock(this->Now);
  BOOST_TEST((node.Relay.OnUpdate(update, clock) == UpdateOutcome::kGap));
  BOOST_TEST(node.Routes.version() == 7U);
  BOOST_TEST(node.Reader.isActive());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
