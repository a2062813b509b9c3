#include "core/load/opening_outcomes.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::OpeningOutcome;

constexpr std::uint32_t kUsual = 2000;
constexpr std::uint32_t kRejection = 160;
constexpr std::uint32_t kRequest = 300;
/// What a back end's own sequence numbers begin with.
constexpr std::uint32_t kFirstByte = 0xfffffff0;

struct Listener : core::OpeningListener
{
  std::vector<core::OpeningResult> Results;

  void OnOpeningEnded(const core::OpeningResult& result,
                      core::Time /*now*/) override
  {
    this->Results.push_back(result);
  }
};

/// One route's callers; packets go straight to the watcher.
struct WatchFixture
{
  core::OpeningOutcomes Outcomes;
  Listener Heard;
  core::Time Now = 100s;

  WatchFixture() { this->Outcomes.AddListener(&this->Heard); }

  static core::FlowFingerprint FlowOf(std::uint64_t caller)
  {
    return core::FlowFingerprint{ caller };
  }

  void Open(std::uint64_t caller)
  {
    core::PlacedOpening opening;
    opening.Route = endpoint(90, 1, 443);
    opening.Backend = core::BackendId{ 7 };
    opening.Rank = 2;
    this->Outcomes.OnOpening(FlowOf(caller), opening, this->Now);
  }

  void Send(std::uint64_t caller,
            std::uint32_t received,
            std::uint32_t sent,
            std::uint32_t length,
            core::PacketKind kind = core::PacketKind::kContinuing)
  {
    core::PacketSummary packet;
    packet.kind = kind;
    packet.acknowledgement = kFirstByte + received;
    packet.sequence = sent;
    packet.dataLength = length;
    this->Outcomes.OnPacket(FlowOf(caller), packet, this->Now);
  }

  /// One request whose caller gets `bytes`, and then closes.
  void Ask(std::uint64_t caller, std::uint32_t bytes)
  {
    this->Open(caller);
    this->Send(caller, 0, 1, kRequest);
    this->Now += 30ms;
    this->Send(caller, bytes, 1 + kRequest, 0, core::PacketKind::kClosing);
  }

  void Wait(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      this->Now += core::kTickInterval;
      this->Outcomes.OnTick(this->Now);
    }
  }

  void AskMany(std::size_t count, std::uint32_t bytes)
  {
    for (std::size_t i = 0; i < count; ++i) {
      this->Ask(1000 + i, bytes);
    }
  }

  std::size_t Count(OpeningOutcome outcome) const
  {
    std::size_t count = 0;
    for (const core::OpeningResult& result : this->Heard.Results) {
      count += result.Outcome == outcome ? 1U : 0U;
    }
    return count;
  }

  std::optional<OpeningOutcome> TakeOnly()
  {
    const std::vector<core::OpeningResult> results =
      std::exchange(this->Heard.Results, {});
    BOOST_TEST(results.size() <= 1U);
    return results.empty() ? std::nullopt : std::optional(results[0].Outcome);
  }
};

bool Is(std::optional<OpeningOutcome> outcome, OpeningOutcome expected)
{
  return outcome == expected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(opening_outcomes_test)

BOOST_FIXTURE_TEST_CASE(an_answered_opening_was_served, WatchFixture)
{
  this->Ask(1, kUsual);
  BOOST_REQUIRE_EQUAL(this->Heard.Results.size(), 1U);
  const core::OpeningResult result = this->Heard.Results[0];
  BOOST_TEST((result.Outcome == OpeningOutcome::kServed));
  BOOST_TEST((result.Backend == core::BackendId{ 7 }));
  BOOST_TEST(result.Rank == 2U);
  BOOST_TEST((result.Took == 30ms));
  BOOST_TEST(this->Outcomes.CountWatched() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_opening_that_nothing_follows_was_reset,
                        WatchFixture)
{
  this->Open(1);
  this->Wait(200ms);
  BOOST_TEST(this->Heard.Results.empty());
  this->Wait(200ms);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kReset));
  this->Wait(2s);
  BOOST_TEST(this->Heard.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(an_opening_that_is_sent_again_met_silence,
                        WatchFixture)
{
  this->Open(1);
  this->Wait(200ms);
  this->Outcomes.OnCopy(FlowOf(1), this->Now);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kSilent));
  this->Outcomes.OnCopy(FlowOf(1), this->Now);
  this->Wait(2s);
  BOOST_TEST(this->Heard.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_unanswered_met_silence,
                        WatchFixture)
{
  this->Open(1);
  this->Send(1, 0, 1, kRequest);
  this->Wait(4s);
  BOOST_TEST(this->Heard.Results.empty());
  this->Send(1, 0, 1 + kRequest, 0, core::PacketKind::kClosing);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kSilent));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_nothing_follows_was_reset, WatchFixture)
{
  this->AskMany(core::kAnswersBeforeShort, kUsual);
  this->Heard.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequest);
  this->Wait(500ms);
  BOOST_TEST(this->Heard.Results.empty());
  this->Wait(200ms);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kReset));
  // Though its answer were only late.
  this->Send(1, kUsual, 1 + kRequest, 0, core::PacketKind::kClosing);
  BOOST_TEST(this->Heard.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(a_request_that_is_sent_again_met_silence, WatchFixture)
{
  this->AskMany(core::kAnswersBeforeShort, kUsual);
  this->Heard.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequest);
  this->Wait(200ms);
  this->Send(1, 0, 1, kRequest);
  this->Wait(500ms);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kSilent));
}

BOOST_FIXTURE_TEST_CASE(long_work_is_no_reset, WatchFixture)
{
  for (std::uint64_t caller = 1; caller < 100; ++caller) {
    this->Open(caller);
    this->Send(caller, 0, 1, kRequest);
    this->Wait(2s);
    this->Send(caller, kUsual, 1 + kRequest, 0, core::PacketKind::kClosing);
  }
  BOOST_TEST(this->Count(OpeningOutcome::kServed) == 99U);
}

BOOST_FIXTURE_TEST_CASE(short_answers_are_rejections_once_others_are_known,
                        WatchFixture)
{
  this->Ask(1, kRejection);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kServed));
  this->AskMany(core::kAnswersBeforeShort, kUsual);
  this->Heard.Results.clear();
  this->Ask(2, kRejection);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kTurnedAway));
}

BOOST_FIXTURE_TEST_CASE(rejections_are_told_while_most_answers_are,
                        WatchFixture)
{
  for (std::size_t i = 0; i < core::kAnswersRemembered; ++i) {
    this->Ask(1, kUsual);
    this->AskMany(2, kRejection);
  }
  BOOST_TEST(this->Count(OpeningOutcome::kTurnedAway) >
             core::kAnswersRemembered);
  // Once known, they stay so for long.
  this->Heard.Results.clear();
  this->AskMany(100, kRejection);
  BOOST_TEST(this->Count(OpeningOutcome::kTurnedAway) == 100U);
}

BOOST_FIXTURE_TEST_CASE(a_route_whose_answers_are_all_short_rejects_nobody,
                        WatchFixture)
{
  this->AskMany(100, kRejection);
  BOOST_TEST(this->Count(OpeningOutcome::kTurnedAway) == 0U);
  // Also where they were longer before.
  this->AskMany(core::kAnswersRemembered, kUsual);
  this->AskMany(core::kAnswersRemembered * core::kShortPerRemembered,
                kRejection);
  this->Heard.Results.clear();
  this->AskMany(100, kRejection);
  BOOST_TEST(this->Count(OpeningOutcome::kTurnedAway) == 0U);
}

BOOST_FIXTURE_TEST_CASE(lengths_without_a_gap_reject_nobody, WatchFixture)
{
  for (std::uint32_t i = 0; i < 400; ++i) {
    this->Ask(1, 50 + (i * 97) % 400);
  }
  BOOST_TEST(this->Count(OpeningOutcome::kTurnedAway) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_flow_that_stays_open_is_told_of_once, WatchFixture)
{
  this->AskMany(core::kAnswersBeforeShort, kUsual);
  this->Heard.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequest);
  this->Wait(50ms);
  this->Send(1, kUsual / 2, 1 + kRequest, 0);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kServed));
  this->Send(1, kUsual, 1 + kRequest, kRequest);
  BOOST_TEST(this->Outcomes.CountWatched() == 0U);
  this->Send(1, kUsual + kRejection, 1 + 2 * kRequest, 0);
  this->Wait(2s);
  BOOST_TEST(this->Heard.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(a_short_answer_is_whole_after_a_while, WatchFixture)
{
  this->AskMany(core::kAnswersBeforeShort, kUsual);
  this->Heard.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequest);
  this->Wait(100ms);
  this->Send(1, kRejection, 1 + kRequest, 0);
  BOOST_TEST(this->Heard.Results.empty());
  this->Wait(300ms);
  BOOST_TEST(Is(this->TakeOnly(), OpeningOutcome::kTurnedAway));
}

BOOST_FIXTURE_TEST_CASE(what_is_pending_at_a_suspension_is_forgotten,
                        WatchFixture)
{
  this->Open(1);
  this->Open(2);
  this->Send(2, 0, 1, kRequest);
  this->Outcomes.Clear();
  this->Send(2, kUsual, 1 + kRequest, 0, core::PacketKind::kClosing);
  this->Wait(2s);
  BOOST_TEST(this->Heard.Results.empty());
  BOOST_TEST(this->Outcomes.GetCounters().Forgotten == 2U);
}

BOOST_FIXTURE_TEST_CASE(memory_is_bounded, WatchFixture)
{
  for (std::uint64_t caller = 1; caller <= 2 * core::kMostOpeningsWatched;
       ++caller) {
    this->Open(caller);
    this->Send(caller, 0, 1, kRequest);
  }
  BOOST_TEST(this->Outcomes.CountWatched() == core::kMostOpeningsWatched);
  this->Wait(core::kWatchForgottenAfter + 2s);
  BOOST_TEST(this->Outcomes.CountWatched() == 0U);
  BOOST_TEST(this->Heard.Results.empty());
}

namespace {

struct SteeringFixture : TokenFixture
{
  Listener Heard;

  SteeringFixture() { this->steering.addOpeningListener(&this->Heard); }

  void Wait(core::Duration span)
  {
    for (const core::Time end = this->now + span; this->now < end;) {
      this->now += core::kTickInterval;
      this->steering.onTick(this->now);
    }
  }

  void Close(std::uint16_t port,
             core::BackendId backend,
             std::uint32_t received)
  {
    core::PacketSummary summary = packet(port, core::PacketKind::kClosing);
    summary.token = core::HashTokenOf(backend);
    summary.acknowledgement = received;
    this->steering.onPacket(summary, this->now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(the_steering_tells_of_what_it_placed, SteeringFixture)
{
  const core::BackendId backend = this->establishFlow(1);
  this->send(1, backend, 1, kRequest);
  this->now += 40ms;
  this->Close(1, backend, kUsual);
  BOOST_REQUIRE_EQUAL(this->Heard.Results.size(), 1U);
  const core::OpeningResult result = this->Heard.Results[0];
  BOOST_TEST((result.Outcome == OpeningOutcome::kServed));
  BOOST_TEST((result.Backend == backend));
  BOOST_TEST((result.Service == core::serviceIdOf("web")));
  BOOST_TEST((result.Zone == core::zoneIdOf("a")));
  BOOST_TEST((result.Took == 40ms));
}

BOOST_FIXTURE_TEST_CASE(the_steering_tells_copies_from_resets, SteeringFixture)
{
  this->open(1);
  this->open(2);
  this->Wait(200ms);
  this->open(2, 1);
  this->Wait(200ms);
  this->Wait(2s);
  // The copy went to another back end, where nothing followed it either.
  BOOST_REQUIRE_EQUAL(this->Heard.Results.size(), 3U);
  BOOST_TEST((this->Heard.Results[0].Outcome == OpeningOutcome::kSilent));
  BOOST_TEST((this->Heard.Results[1].Outcome == OpeningOutcome::kReset));
  BOOST_TEST((this->Heard.Results[2].Outcome == OpeningOutcome::kReset));
  BOOST_TEST(
    (this->Heard.Results[0].Backend != this->Heard.Results[2].Backend));
}

BOOST_FIXTURE_TEST_CASE(the_steering_forgets_at_a_suspension, SteeringFixture)
{
  this->open(1);
  this->steering.onResume();
  this->steering.onQueueDrained();
  this->Wait(2s);
  BOOST_TEST(this->Heard.Results.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cobaltgauge::tests
