#include "core/load/opening_tracker.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::OpeningOutcome;

constexpr std::uint32_t kTypicalBytes = 2000;
constexpr std::uint32_t kRejectionBytes = 160;
constexpr std::uint32_t kRequestBytes = 300;
/// Initial sequence number of the backend; wraps around.
constexpr std::uint32_t kInitialSequence = 0xfffffff0;

struct ResultRecorder : core::OpeningListener
{
  std::vector<core::OpeningResult> Results;

  void OnOpeningEnded(const core::OpeningResult& result,
                      core::Time /*now*/) override
  {
    this->Results.push_back(result);
  }
};

/// Clients of one route, with packets passed directly to the tracker.
struct TrackerFixture
{
  core::OpeningTracker Tracker;
  ResultRecorder Recorder;
  core::Time Now = 100s;

  TrackerFixture() { this->Tracker.AddListener(&this->Recorder); }

  static core::FlowFingerprint FlowOf(std::uint64_t client)
  {
    return core::FlowFingerprint{ client };
  }

  void Open(std::uint64_t client)
  {
    core::PlacedOpening opening;
    opening.Route = endpoint(90, 1, 443);
    opening.Backend = core::BackendId{ 7 };
    opening.Priority = 2;
    this->Tracker.OnOpening(FlowOf(client), opening, this->Now);
  }

  void Send(std::uint64_t client,
            std::uint32_t received,
            std::uint32_t sent,
            std::uint32_t length,
            core::PacketKind kind = core::PacketKind::kContinuing)
  {
    core::PacketSummary packet;
    packet.kind = kind;
    packet.acknowledgement = kInitialSequence + received;
    packet.sequence = sent;
    packet.dataLength = length;
    this->Tracker.OnPacket(FlowOf(client), packet, this->Now);
  }

  /// Open a flow that closes after one request and a response of `bytes`.
  void CompleteRequest(std::uint64_t client, std::uint32_t bytes)
  {
    this->Open(client);
    this->Send(client, 0, 1, kRequestBytes);
    this->Now += 30ms;
    this->Send(
      client, bytes, 1 + kRequestBytes, 0, core::PacketKind::kClosing);
  }

  void Wait(core::Duration span)
  {
    for (const core::Time end = this->Now + span; this->Now < end;) {
      this->Now += core::kTickInterval;
      this->Tracker.OnTick(this->Now);
    }
  }

  void CompleteRequests(std::size_t count, std::uint32_t bytes)
  {
    for (std::size_t i = 0; i < count; ++i) {
      this->CompleteRequest(1000 + i, bytes);
    }
  }

  std::size_t Count(OpeningOutcome outcome) const
  {
    std::size_t count = 0;
    for (const core::OpeningResult& result : this->Recorder.Results) {
      count += result.Outcome == outcome ? 1U : 0U;
    }
    return count;
  }

  std::optional<OpeningOutcome> TakeSingleOutcome()
  {
    const std::vector<core::OpeningResult> results =
      std::exchange(this->Recorder.Results, {});
    BOOST_TEST(results.size() <= 1U);
    return results.empty() ? std::nullopt : std::optional(results[0].Outcome);
  }
};

bool HasOutcome(std::optional<OpeningOutcome> outcome, OpeningOutcome expected)
{
  return outcome == expected;
}

} // namespace

BOOST_AUTO_TEST_SUITE(opening_tracker_test)

BOOST_FIXTURE_TEST_CASE(answered_opening_is_served, TrackerFixture)
{
  this->CompleteRequest(1, kTypicalBytes);
  BOOST_REQUIRE_EQUAL(this->Recorder.Results.size(), 1U);
  const core::OpeningResult result = this->Recorder.Results[0];
  BOOST_TEST((result.Outcome == OpeningOutcome::kServed));
  BOOST_TEST((result.Backend == core::BackendId{ 7 }));
  BOOST_TEST(result.Priority == 2U);
  BOOST_TEST((result.Elapsed == 30ms));
  BOOST_TEST(this->Tracker.CountTracked() == 0U);
}

BOOST_FIXTURE_TEST_CASE(opening_without_further_packets_is_reset,
                        TrackerFixture)
{
  this->Open(1);
  this->Wait(200ms);
  BOOST_TEST(this->Recorder.Results.empty());
  this->Wait(200ms);
  BOOST_TEST(HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kReset));
  this->Wait(2s);
  BOOST_TEST(this->Recorder.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(retransmitted_opening_is_unanswered, TrackerFixture)
{
  this->Open(1);
  this->Wait(200ms);
  this->Tracker.OnRetransmission(FlowOf(1), this->Now);
  BOOST_TEST(
    HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kUnanswered));
  this->Tracker.OnRetransmission(FlowOf(1), this->Now);
  this->Wait(2s);
  BOOST_TEST(this->Recorder.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(client_that_closes_without_response_is_unanswered,
                        TrackerFixture)
{
  this->Open(1);
  this->Send(1, 0, 1, kRequestBytes);
  this->Wait(4s);
  BOOST_TEST(this->Recorder.Results.empty());
  this->Send(1, 0, 1 + kRequestBytes, 0, core::PacketKind::kClosing);
  BOOST_TEST(
    HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kUnanswered));
}

BOOST_FIXTURE_TEST_CASE(request_without_further_packets_is_reset,
                        TrackerFixture)
{
  this->CompleteRequests(core::kMinResponseSamples, kTypicalBytes);
  this->Recorder.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequestBytes);
  this->Wait(500ms);
  BOOST_TEST(this->Recorder.Results.empty());
  this->Wait(200ms);
  BOOST_TEST(HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kReset));
  // A late response does not change the outcome.
  this->Send(
    1, kTypicalBytes, 1 + kRequestBytes, 0, core::PacketKind::kClosing);
  BOOST_TEST(this->Recorder.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(retransmitted_request_is_unanswered, TrackerFixture)
{
  this->CompleteRequests(core::kMinResponseSamples, kTypicalBytes);
  this->Recorder.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequestBytes);
  this->Wait(200ms);
  this->Send(1, 0, 1, kRequestBytes);
  this->Wait(500ms);
  BOOST_TEST(
    HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kUnanswered));
}

BOOST_FIXTURE_TEST_CASE(slow_response_is_not_a_reset, TrackerFixture)
{
  for (std::uint64_t client = 1; client < 100; ++client) {
    this->Open(client);
    this->Send(client, 0, 1, kRequestBytes);
    this->Wait(2s);
    this->Send(
      client, kTypicalBytes, 1 + kRequestBytes, 0, core::PacketKind::kClosing);
  }
  BOOST_TEST(this->Count(OpeningOutcome::kServed) == 99U);
}

BOOST_FIXTURE_TEST_CASE(
  short_response_is_a_rejection_once_typical_length_is_known,
  TrackerFixture)
{
  this->CompleteRequest(1, kRejectionBytes);
  BOOST_TEST(HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kServed));
  this->CompleteRequests(core::kMinResponseSamples, kTypicalBytes);
  this->Recorder.Results.clear();
  this->CompleteRequest(2, kRejectionBytes);
  BOOST_TEST(HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kRejected));
}

BOOST_FIXTURE_TEST_CASE(
  rejections_are_detected_when_most_responses_are_rejections,
  TrackerFixture)
{
  for (std::size_t i = 0; i < core::kResponseLengthSamples; ++i) {
    this->CompleteRequest(1, kTypicalBytes);
    this->CompleteRequests(2, kRejectionBytes);
  }
  BOOST_TEST(this->Count(OpeningOutcome::kRejected) >
             core::kResponseLengthSamples);
  // A long series of rejections does not change the typical length.
  this->Recorder.Results.clear();
  this->CompleteRequests(100, kRejectionBytes);
  BOOST_TEST(this->Count(OpeningOutcome::kRejected) == 100U);
}

BOOST_FIXTURE_TEST_CASE(route_with_only_short_responses_has_no_rejections,
                        TrackerFixture)
{
  this->CompleteRequests(100, kRejectionBytes);
  BOOST_TEST(this->Count(OpeningOutcome::kRejected) == 0U);
  // The same after longer responses.
  this->CompleteRequests(core::kResponseLengthSamples, kTypicalBytes);
  this->CompleteRequests(core::kResponseLengthSamples *
                           core::kShortResponsesPerSample,
                         kRejectionBytes);
  this->Recorder.Results.clear();
  this->CompleteRequests(100, kRejectionBytes);
  BOOST_TEST(this->Count(OpeningOutcome::kRejected) == 0U);
}

BOOST_FIXTURE_TEST_CASE(evenly_spread_lengths_are_not_rejections,
                        TrackerFixture)
{
  for (std::uint32_t i = 0; i < 400; ++i) {
    this->CompleteRequest(1, 50 + (i * 97) % 400);
  }
  BOOST_TEST(this->Count(OpeningOutcome::kRejected) == 0U);
}

BOOST_FIXTURE_TEST_CASE(persistent_flow_is_reported_once, TrackerFixture)
{
  this->CompleteRequests(core::kMinResponseSamples, kTypicalBytes);
  this->Recorder.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequestBytes);
  this->Wait(50ms);
  this->Send(1, kTypicalBytes / 2, 1 + kRequestBytes, 0);
  BOOST_TEST(HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kServed));
  this->Send(1, kTypicalBytes, 1 + kRequestBytes, kRequestBytes);
  BOOST_TEST(this->Tracker.CountTracked() == 0U);
  this->Send(1, kTypicalBytes + kRejectionBytes, 1 + 2 * kRequestBytes, 0);
  this->Wait(2s);
  BOOST_TEST(this->Recorder.Results.empty());
}

BOOST_FIXTURE_TEST_CASE(short_response_is_complete_after_a_timeout,
                        TrackerFixture)
{
  this->CompleteRequests(core::kMinResponseSamples, kTypicalBytes);
  this->Recorder.Results.clear();
  this->Open(1);
  this->Send(1, 0, 1, kRequestBytes);
  this->Wait(100ms);
  this->Send(1, kRejectionBytes, 1 + kRequestBytes, 0);
  BOOST_TEST(this->Recorder.Results.empty());
  this->Wait(300ms);
  BOOST_TEST(HasOutcome(this->TakeSingleOutcome(), OpeningOutcome::kRejected));
}

BOOST_FIXTURE_TEST_CASE(pending_openings_are_discarded_after_suspension,
                        TrackerFixture)
{
  this->Open(1);
  this->Open(2);
  this->Send(2, 0, 1, kRequestBytes);
  this->Tracker.Clear();
  this->Send(
    2, kTypicalBytes, 1 + kRequestBytes, 0, core::PacketKind::kClosing);
  this->Wait(2s);
  BOOST_TEST(this->Recorder.Results.empty());
  BOOST_TEST(this->Tracker.GetCounters().Discarded == 2U);
}

BOOST_FIXTURE_TEST_CASE(number_of_tracked_openings_is_bounded, TrackerFixture)
{
  for (std::uint64_t client = 1; client <= 2 * core::kMaxTrackedOpenings;
       ++client) {
    this->Open(client);
    this->Send(client, 0, 1, kRequestBytes);
  }
  BOOST_TEST(this->Tracker.CountTracked() == core::kMaxTrackedOpenings);
  this->Wait(core::kTrackingIdleTimeout + 2s);
  BOOST_TEST(this->Tracker.CountTracked() == 0U);
  BOOST_TEST(this->Recorder.Results.empty());
}

namespace {

struct SteeringFixture : TokenFixture
{
  ResultRecorder Recorder;

  SteeringFixture() { this->steering.addOpeningListener(&this->Recorder); }

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

BOOST_FIXTURE_TEST_CASE(steering_reports_placed_openings, SteeringFixture)
{
  const core::BackendId backend = this->openAndAnswer(1);
  this->send(1, backend, 1, kRequestBytes);
  this->now += 40ms;
  this->Close(1, backend, kTypicalBytes);
  BOOST_REQUIRE_EQUAL(this->Recorder.Results.size(), 1U);
  const core::OpeningResult result = this->Recorder.Results[0];
  BOOST_TEST((result.Outcome == OpeningOutcome::kServed));
  BOOST_TEST((result.Backend == backend));
  BOOST_TEST((result.Service == core::serviceIdOf("web")));
  BOOST_TEST((result.Zone == core::zoneIdOf("a")));
  BOOST_TEST((result.Elapsed == 40ms));
}

BOOST_FIXTURE_TEST_CASE(steering_distinguishes_retransmissions_from_resets,
                        SteeringFixture)
{
  this->open(1);
  this->open(2);
  this->Wait(200ms);
  this->open(2, 1);
  this->Wait(200ms);
  this->Wait(2s);
  // The retransmission went to another backend and was reset there.
  BOOST_REQUIRE_EQUAL(this->Recorder.Results.size(), 3U);
  BOOST_TEST(
    (this->Recorder.Results[0].Outcome == OpeningOutcome::kUnanswered));
  BOOST_TEST((this->Recorder.Results[1].Outcome == OpeningOutcome::kReset));
  BOOST_TEST((this->Recorder.Results[2].Outcome == OpeningOutcome::kReset));
  BOOST_TEST(
    (this->Recorder.Results[0].Backend != this->Recorder.Results[2].Backend));
}

BOOST_FIXTURE_TEST_CASE(steering_discards_openings_after_suspension,
                        SteeringFixture)
{
  this->open(1);
  this->steering.onResume();
  this->steering.onQueueDrained();
  this->Wait(2s);
  BOOST_TEST(this->Recorder.Results.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace cobaltgauge::tests
