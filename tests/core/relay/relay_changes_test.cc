/// How changes are passed on, in parts or not at all.
#include "core/relay/view_relay.h"

#include "core/constants.h"
#include "core/relay/relay_fixture.h"

namespace cobaltgauge::tests {
namespace {

using core::UpdateOutcome;

/// Changes must be in force within 3 s on every daemon that is in touch.
constexpr core::Duration kInForceWithin = 3s;

BOOST_FIXTURE_TEST_SUITE(RelayChangesTest, RelayFixture)

BOOST_AUTO_TEST_CASE(lost_updates_are_asked_for)
{
  this->Run(5s);
  this->Lost = 7;
  for (core::ConfigurationVersion version = 9; version < 40; ++version) {
    this->ChangeRoutes(version);
    BOOST_TEST((this->TimeUntilInForce(version) < kInForceWithin));
  }
}

BOOST_AUTO_TEST_CASE(a_change_too_heavy_to_pass_on_is_read_from_the_store)
{
  this->Run(5s);
  this->AddManyRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
  this->Run(3s);
  BOOST_TEST(this->CountReading() == 1U);
}

// 600 registrations that come back together made 295 daemons read the store
// three times each (cflc-quotes-large, every start and every lapse).
BOOST_AUTO_TEST_CASE(a_heavy_batch_is_passed_on_in_parts)
{
  this->Grow(30);
  this->Run(5s);
  const std::uint64_t before = this->CountCalls();
  this->AddBackends(5 * core::kHeaviestBatch);
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) <= 4 * kStep));
  for (auto& node : this->Nodes) {
    BOOST_TEST(node->Backends.activeCount() == 1 + 5 * core::kHeaviestBatch);
    BOOST_TEST(node->Reader.isCurrent(node->Clock(this->Now)));
  }
  this->Run(1s);
  BOOST_TEST(this->CountReading() == 1U);
  BOOST_TEST(this->CountCalls() - before <= 5U);
}

// Each update that lacks the base led to a question, and each question to the
// same part once more: 130 MB between zones with 300 daemons and 3,000 back
// ends.
BOOST_AUTO_TEST_CASE(what_is_missing_is_asked_for_once)
{
  this->Run(5s);
  Node& reader = *this->Readers()[0];
  Node& follower = this->At(8);
  follower.PeersCut = true;
  this->AddBackends(2 * core::kHeaviestBatch);
  this->Run(200ms);
  const core::Time clock = follower.Clock(this->Now);
  follower.Relay.TakeMessages();
  core::ViewUpdate update;
  update.sender = reader.Address;
  update.from = reader.Reader.revision();
  update.clockUs = update.confirmedUs = 1;
  std::size_t questions = 0;
  for (std::uint64_t news = 1; news <= 5; ++news) {
    update.revision = update.from + news;
    const auto outcome = follower.Relay.OnUpdate(update, clock);
    BOOST_TEST((outcome == UpdateOutcome::kGap));
    questions += follower.Relay.TakeMessages().size();
  }
  BOOST_TEST(questions == 1U);
  // The question or its answer may be lost.
  follower.Relay.OnUpdate(update, clock + core::kAskPeersEvery);
  BOOST_TEST(follower.Relay.TakeMessages().size() == 1U);
}

// The sender dies between two parts: the rest comes from the store.
BOOST_AUTO_TEST_CASE(a_part_alone_is_not_taken_for_the_whole)
{
  this->Run(5s);
  Node& reader = *this->Readers()[0];
  Node& follower = this->At(8);
  const core::Revision before = follower.Reader.revision();
  const core::Time confirmed = follower.Reader.confirmedAt();
  this->AddBackends(2 * core::kHeaviestBatch);
  core::ViewSubscription question;
  question.replyTo = follower.Address;
  question.have = before;
  question.sentAtUs =
    static_cast<std::uint64_t>(follower.Clock(this->Now).count());
  this->ServeStore(reader);
  reader.Relay.TakeMessages();
  reader.Relay.OnSubscription(question, reader.Clock(this->Now));
  const auto answers = reader.Relay.TakeMessages();
  BOOST_REQUIRE(answers.size() == 1U);
  const auto& part = std::get<core::ViewUpdate>(answers[0].Message);
  BOOST_REQUIRE(part.revision < reader.Reader.revision());
  const core::Time clock = follower.Clock(this->Now);
  BOOST_TEST((follower.Relay.OnUpdate(part, clock) == UpdateOutcome::kTaken));
  BOOST_TEST((follower.Reader.revision() == part.revision));
  BOOST_TEST((follower.Reader.confirmedAt() == confirmed));
  follower.Relay.TakeMessages();
  reader.Alive = false;
  this->ChangeRoutes(9);
  BOOST_TEST((this->TimeUntilInForce(9) < kInForceWithin));
  BOOST_TEST(follower.Backends.activeCount() == 1 + 2 * core::kHeaviestBatch);
}

// A daemon asked a peer that lacked the changes, and had caught up in part by
// another when the answer came: it took the answer's revision without what lay
// between, and served an old version for ten seconds (lantern-archive-grown, a
// drawn day: CONFIG).
BOOST_AUTO_TEST_CASE(an_answer_without_changes_brings_no_view_forward)
{
  this->Run(5s);
  Node& asked = *this->Readers()[0];
  Node& asking = this->At(8);
  const core::Revision before = asking.Reader.revision();
  asking.PeersCut = true;
  asking.StoreRefuses = true;
  this->AddManyRoutes(8);
  this->Run(1s);
  // By another way it has come to where the changes that are kept begin.
  const core::Revision base = asked.Log.GetBase();
  BOOST_REQUIRE(base > before);
  asking.Reader.adopt(base);
  this->ChangeRoutes(9);
  this->Run(200ms);
  BOOST_REQUIRE(asked.Routes.version() == 9U);
  const core::Time clock = asked.Clock(this->Now);
  const auto sentAt = asking.Clock(this->Now).count();
  asked.Relay.SetDifference(nullptr); // As where departures were forgotten.
  asked.Relay.TakeMessages();
  asked.Relay.OnSubscription(
    { asking.Address, before, static_cast<std::uint64_t>(sentAt) }, clock);
  const std::vector<core::OutgoingRelay> answers = asked.Relay.TakeMessages();
  BOOST_REQUIRE(answers.size() == 1U);
  const auto outcome = asking.Relay.OnUpdate(
    std::get<core::ViewUpdate>(answers[0].Message), asking.Clock(this->Now));
  BOOST_TEST((outcome == core::UpdateOutcome::kGap));
  BOOST_TEST(asking.Reader.revision() == base);
}

// A stale listing and some of what changed since may be seconds old: nothing
// is placed by it.
BOOST_AUTO_TEST_CASE(a_part_makes_no_stale_listing_whole)
{
  this->Run(5s);
  this->Store.freezeStale();
  const core::Revision listed = this->Store.revision();
  this->AddBackends(2 * core::kHeaviestBatch);
  this->Run(1s);
  this->Grow(13);
  Node& starting = this->At(12);
  const core::Time clock = starting.Clock(this->Now);
  const auto listing = starting.Reader.nextRead(clock);
  BOOST_REQUIRE(listing.has_value());
  starting.Reader.onReply(this->Store.answer(*listing), clock);
  starting.Relay.OnStoreAnswer(clock);
  BOOST_REQUIRE(starting.Reader.isCatchingUp());
  Node& seed = *this->Readers()[0];
  const auto ask = [&] {
    seed.Relay.OnSubscription({ starting.Address,
                                starting.Reader.revision(),
                                static_cast<std::uint64_t>(clock.count()) },
                              seed.Clock(this->Now));
    for (const core::OutgoingRelay& answer : seed.Relay.TakeMessages()) {
      starting.Relay.OnUpdate(std::get<core::ViewUpdate>(answer.Message),
                              clock);
    }
  };
  starting.Relay.TakeMessages();
  ask();
  BOOST_TEST(starting.Reader.revision() > listed);
  BOOST_TEST(!starting.Reader.isSynchronized());
  // Three seeds would have to send a starting fleet most of the store.
  BOOST_TEST(starting.Relay.TakeMessages().empty());
  BOOST_TEST(starting.Reader.nextRead(clock).has_value());
}

BOOST_AUTO_TEST_CASE(what_a_listing_found_gone_is_passed_on)
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
