/// Election of readers, selection of upstreams and limits of view age.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

using core::UpdateOutcome;

/// Changes must be in effect within this time on every reachable daemon.
constexpr core::Duration kPropagationLimit = 3s;

BOOST_FIXTURE_TEST_SUITE(ViewRelayTest, RelayFixture)

// Guards against every daemon watching the store.
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

BOOST_AUTO_TEST_CASE(change_reaches_all_daemons)
{
  this->Run(5s);
  this->ChangeRoutes(9);
  this->Store.put("servers/2", makeRegistration(2, "web", 1, 2));
  this->Store.put("servers/1", core::RemovedItem{});
  BOOST_TEST((this->TimeUntilApplied(9) <= 2 * kStep));
  this->Run(kStep);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 1U);
    BOOST_TEST(node->Routes.size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(failed_reader_is_replaced_within_the_limit)
{
  this->Run(5s);
  BOOST_REQUIRE(this->Readers().size() == 1U);
  this->Readers()[0]->Alive = false;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
  this->Run(5s);
  BOOST_TEST(this->CountReading() == 1U);
}

BOOST_AUTO_TEST_CASE(few_readers_are_elected_after_all_seeds_fail)
{
  this->Run(5s);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
  this->Run(10s);
  BOOST_TEST(this->CountReading() == 1U);
}

// Guards against a gap in keepalives when the reader pauses after a burst.
BOOST_AUTO_TEST_CASE(followers_keep_their_upstream_after_a_burst)
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

// The store may serve most daemons but not respond to some.
BOOST_AUTO_TEST_CASE(reader_with_an_unresponsive_store_is_replaced)
{
  this->Run(5s);
  Node* reader = this->Readers()[0];
  reader->StoreUnresponsive = true;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
  this->Run(5s);
  BOOST_TEST(reader->Routes.version() == 9U);
  BOOST_TEST(reader->Reader.isCurrent(reader->Clock(this->Now)));
}

BOOST_AUTO_TEST_CASE(partitioned_daemon_reads_the_store)
{
  this->Run(5s);
  this->At(8).IsPartitioned = true;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
  this->At(8).IsPartitioned = false;
  this->Run(5s);
  BOOST_TEST(!this->At(8).Relay.IsReading());
}

// Messages queued for a frozen daemon look new but are outdated.
BOOST_AUTO_TEST_CASE(delayed_updates_do_not_refresh_a_view)
{
  this->Run(5s);
  Node& frozen = this->At(8);
  frozen.Alive = false;
  this->Run(3s);
  frozen.Alive = true;
  frozen.IsPartitioned = true;
  this->Now += 5s;
  const core::Time clock = frozen.Clock(this->Now);
  BOOST_REQUIRE(!this->QueuedMessages.empty());
  for (const Message& message : this->QueuedMessages) {
    if (const auto* update = std::get_if<core::ViewUpdate>(&message.Content)) {
      frozen.Relay.OnUpdate(*update, clock);
    }
  }
  BOOST_TEST(!frozen.Reader.isCurrent(clock));
  frozen.Relay.OnTick({}, clock);
  BOOST_TEST(frozen.Reader.isActive());
}

BOOST_AUTO_TEST_CASE(resumed_daemon_reads_immediately)
{
  this->Run(5s);
  this->At(8).Relay.OnResume();
  BOOST_TEST(this->At(8).Reader.isActive());
  this->Run(3s);
  BOOST_TEST(!this->At(8).Reader.isActive());
}

BOOST_AUTO_TEST_CASE(followers_leave_a_stopping_daemon)
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
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
}

BOOST_AUTO_TEST_CASE(full_daemon_refers_to_its_followers)
{
  this->GrowTo(4 * core::kMaxFollowers);
  this->Run(10s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Relay.CountFollowers() <= core::kMaxFollowers);
    BOOST_TEST(node->Reader.isCurrent(node->Clock(this->Now)));
  }
  BOOST_TEST(this->CountReading() <= 2U);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
}

BOOST_AUTO_TEST_CASE(outlier_observed_by_two_daemons_reaches_all)
{
  this->GrowTo(4 * core::kMaxFollowers);
  this->Run(10s);
  for (const std::size_t observer : { 40U, 90U }) {
    for (int i = 0; i < 10; ++i) {
      this->At(observer).Outliers.OnResponse();
    }
    this->At(observer).Outliers.OnLateResponse(core::BackendId{ 1 });
  }
  this->Run(2s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Outliers.IsOutlier(core::BackendId{ 1 }));
  }
  this->Run(core::kOutlierEjectionTime + 2s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(!node->Outliers.IsOutlier(core::BackendId{ 1 }));
  }
}

BOOST_AUTO_TEST_CASE(shorter_bound_shortens_all_limits)
{
  for (auto& node : this->Nodes) {
    node->Relay.SetTiming(core::RelayTiming::ForBound(1500ms));
  }
  this->Run(5s);
  BOOST_TEST(this->CountReading() == 1U);
  for (std::size_t i = 0; i < kSeeds; ++i) {
    this->At(i).Alive = false;
  }
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < 1500ms));
}

BOOST_AUTO_TEST_CASE(longer_bound_keeps_default_limits)
{
  const core::RelayTiming timing = core::RelayTiming::ForBound(30s);
  BOOST_TEST((timing.WatchWait == core::kWatchMaxWait));
  BOOST_TEST((timing.FollowerReadViewAge == core::kFollowerReadViewAge));
  BOOST_TEST((timing.RetryIntervalWithSeed == core::kReadBackoffWithSeed));
}

BOOST_AUTO_TEST_CASE(retry_interval_with_seed_scales_with_the_bound)
{
  const core::RelayTiming timing =
    core::RelayTiming::ForBound(core::kChangePropagationDeadline / 2);
  BOOST_TEST((timing.RetryIntervalWithSeed == core::kReadBackoffWithSeed / 2));
}

BOOST_AUTO_TEST_CASE(update_of_unknown_age_is_ignored)
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

BOOST_AUTO_TEST_CASE(routes_based_on_another_version_are_a_gap)
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
