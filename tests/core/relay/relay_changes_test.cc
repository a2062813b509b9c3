/// Propagation of changes, in parts and with fallback to the store.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

using core::UpdateOutcome;

/// Changes must be in effect within this time on every reachable daemon.
constexpr core::Duration kPropagationLimit = 3s;

BOOST_FIXTURE_TEST_SUITE(RelayChangesTest, RelayFixture)

BOOST_AUTO_TEST_CASE(lost_updates_are_requested_again)
{
  this->Run(5s);
  this->DropInterval = 7;
  for (core::ConfigurationVersion version = 9; version < 40; ++version) {
    this->ChangeRoutes(version);
    BOOST_TEST((this->TimeUntilApplied(version) < kPropagationLimit));
  }
}

BOOST_AUTO_TEST_CASE(oversized_change_is_read_from_the_store)
{
  this->Run(5s);
  this->AddManyRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
  this->Run(3s);
  BOOST_TEST(this->CountReading() == 1U);
}

// Guards against followers reading the store when many backends register at
// once.
BOOST_AUTO_TEST_CASE(large_batch_is_propagated_in_parts)
{
  this->GrowTo(30);
  this->Run(5s);
  const std::uint64_t before = this->CountCalls();
  this->AddBackends(5 * core::kMaxBatchItems);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) <= 4 * kStep));
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 1 + 5 * core::kMaxBatchItems);
    BOOST_TEST(node->Reader.isCurrent(node->Clock(this->Now)));
  }
  this->Run(1s);
  BOOST_TEST(this->CountReading() == 1U);
  BOOST_TEST(this->CountCalls() - before <= 5U);
}

// Guards against requesting and receiving the same part once per update.
BOOST_AUTO_TEST_CASE(missing_changes_are_requested_once)
{
  this->Run(5s);
  Node& reader = *this->Readers()[0];
  Node& follower = this->At(8);
  follower.IsPartitioned = true;
  this->AddBackends(2 * core::kMaxBatchItems);
  this->Run(200ms);
  const core::Time clock = follower.Clock(this->Now);
  follower.Relay.TakeMessages();
  core::ViewUpdate update;
  update.sender = reader.Address;
  update.from = reader.Reader.revision();
  update.clockUs = update.confirmedUs = 1;
  std::size_t requests = 0;
  for (std::uint64_t step = 1; step <= 5; ++step) {
    update.revision = update.from + step;
    const auto outcome = follower.Relay.OnUpdate(update, clock);
    BOOST_TEST((outcome == UpdateOutcome::kGap));
    requests += follower.Relay.TakeMessages().size();
  }
  BOOST_TEST(requests == 1U);
  // The request or its response may be lost.
  follower.Relay.OnUpdate(update, clock + core::kPeerQueryInterval);
  BOOST_TEST(follower.Relay.TakeMessages().size() == 1U);
}

// If the sender fails between two parts, the rest is read from the store.
BOOST_AUTO_TEST_CASE(partial_update_does_not_confirm_the_view)
{
  this->Run(5s);
  Node& reader = *this->Readers()[0];
  Node& follower = this->At(8);
  const core::Revision before = follower.Reader.revision();
  const core::Time confirmed = follower.Reader.confirmedAt();
  this->AddBackends(2 * core::kMaxBatchItems);
  core::ViewSubscription subscription;
  subscription.replyTo = follower.Address;
  subscription.have = before;
  subscription.sentAtUs =
    static_cast<std::uint64_t>(follower.Clock(this->Now).count());
  this->ServeStore(reader);
  reader.Relay.TakeMessages();
  reader.Relay.OnSubscription(subscription, reader.Clock(this->Now));
  const auto answers = reader.Relay.TakeMessages();
  BOOST_REQUIRE(answers.size() == 1U);
  const auto& part = std::get<core::ViewUpdate>(answers[0].Message);
  BOOST_REQUIRE(part.revision < reader.Reader.revision());
  const core::Time clock = follower.Clock(this->Now);
  BOOST_TEST(
    (follower.Relay.OnUpdate(part, clock) == UpdateOutcome::kApplied));
  BOOST_TEST((follower.Reader.revision() == part.revision));
  BOOST_TEST((follower.Reader.confirmedAt() == confirmed));
  follower.Relay.TakeMessages();
  reader.Alive = false;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilApplied(9) < kPropagationLimit));
  BOOST_TEST(follower.Backends.activeCount() == 1 + 2 * core::kMaxBatchItems);
}

// An outdated response without changes must not advance a view past changes
// that it lacks.
BOOST_AUTO_TEST_CASE(response_without_changes_does_not_advance_the_view)
{
  this->Run(5s);
  Node& peer = *this->Readers()[0];
  Node& requester = this->At(8);
  const core::Revision before = requester.Reader.revision();
  requester.IsPartitioned = true;
  requester.StoreRefuses = true;
  this->AddManyRoutes(8);
  this->Run(1s);
  // It reached the base of the peer's log by another path.
  const core::Revision base = peer.Log.GetBase();
  BOOST_REQUIRE(base > before);
  requester.Reader.adopt(base);
  this->ChangeRoutes(9);
  this->Run(200ms);
  BOOST_REQUIRE(peer.Routes.version() == 9U);
  const core::Time clock = peer.Clock(this->Now);
  const auto sentAt = requester.Clock(this->Now).count();
  peer.Relay.SetDifference(nullptr); // As if removals were discarded.
  peer.Relay.TakeMessages();
  peer.Relay.OnSubscription(
    { requester.Address, before, static_cast<std::uint64_t>(sentAt) }, clock);
  const std::vector<core::OutgoingRelayMessage> answers =
    peer.Relay.TakeMessages();
  BOOST_REQUIRE(answers.size() == 1U);
  const auto outcome =
    requester.Relay.OnUpdate(std::get<core::ViewUpdate>(answers[0].Message),
                             requester.Clock(this->Now));
  BOOST_TEST((outcome == core::UpdateOutcome::kGap));
  BOOST_TEST(requester.Reader.revision() == base);
}

// A stale listing with part of the later changes may still be seconds old and
// must not be used to place flows.
BOOST_AUTO_TEST_CASE(partial_update_does_not_complete_a_stale_listing)
{
  this->Run(5s);
  this->Store.freezeStale();
  const core::Revision listed = this->Store.revision();
  this->AddBackends(2 * core::kMaxBatchItems);
  this->Run(1s);
  this->GrowTo(13);
  Node& starting = this->At(12);
  const core::Time clock = starting.Clock(this->Now);
  const auto listing = starting.Reader.nextRead(clock);
  BOOST_REQUIRE(listing.has_value());
  starting.Reader.onReply(this->Store.replyTo(*listing), clock);
  starting.Relay.OnStoreReply(clock);
  BOOST_REQUIRE(starting.Reader.isCatchingUp());
  Node& seed = *this->Readers()[0];
  const auto requestUpdate = [&] {
    seed.Relay.OnSubscription({ starting.Address,
                                starting.Reader.revision(),
                                static_cast<std::uint64_t>(clock.count()) },
                              seed.Clock(this->Now));
    for (const core::OutgoingRelayMessage& answer :
         seed.Relay.TakeMessages()) {
      starting.Relay.OnUpdate(std::get<core::ViewUpdate>(answer.Message),
                              clock);
    }
  };
  starting.Relay.TakeMessages();
  requestUpdate();
  BOOST_TEST(starting.Reader.revision() > listed);
  BOOST_TEST(!starting.Reader.isSynchronized());
  // A starting fleet must not request most of the store's items from the
  // seeds.
  BOOST_TEST(starting.Relay.TakeMessages().empty());
  BOOST_TEST(starting.Reader.nextRead(clock).has_value());
}

BOOST_AUTO_TEST_CASE(removals_detected_by_a_listing_are_propagated)
{
  this->Run(5s);
  this->Store.put("servers/2", makeRegistration(2, "web", 1, 2));
  this->Run(1s);
  this->Store.put("servers/1", core::RemovedItem{});
  this->Store.compact();
  this->Run(3s);
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 1U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
