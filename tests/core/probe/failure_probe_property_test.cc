#include "core/probe/failure_probe.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <queue>
#include <vector>

namespace cobaltgauge::tests {
namespace {

using core::ConnectOutcome;
using core::Duration;
using core::FailureProbe;
using core::ProbeResult;
using core::Time;

/// A half-open range of time, in milliseconds.
struct TimeRange
{
  int Begin = 0;
  int End = 0;

  bool Contains(Time at) const
  {
    return at >= std::chrono::milliseconds(this->Begin) &&
      at < std::chrono::milliseconds(this->End);
  }
};

constexpr int kMaxTimeMs = 1'000;

std::vector<TimeRange> GenerateRanges()
{
  std::vector<TimeRange> ranges(*rc::gen::inRange(0, 4));
  for (TimeRange& range : ranges) {
    range.Begin = *rc::gen::inRange(0, kMaxTimeMs);
    range.End = range.Begin + *rc::gen::inRange(0, kMaxTimeMs);
  }
  return ranges;
}

bool AnyContains(const std::vector<TimeRange>& ranges, Time at)
{
  return std::any_of(
    ranges.begin(), ranges.end(), [at](const TimeRange& range) {
      return range.Contains(at);
    });
}

/// Simulates a probe of a backend that accepts connections, with failures of
/// the local link and pauses of the local process.
class ProbeSimulation
{
public:
  /// Packets are lost in both directions.
  std::vector<TimeRange> LinkFailures;
  /// Packets wait until the range ends.
  std::vector<TimeRange> LinkDelays;
  std::vector<TimeRange> ProcessPauses;
  TimeRange FullAcceptQueue;                         ///< Of the backend.
  std::size_t LostAttempt = FailureProbe::kAttempts; ///< Its packet is lost.
  Duration RoundTrip{ 0 };

  ProbeResult Run()
  {
    FailureProbe probe(FailureProbe::kMaxWitnesses, Time{});
    while (!probe.GetResult()) {
      const Time due = probe.GetNextStepTime();
      this->DeliverBefore(probe, this->GetResumeTime(due));
      if (!probe.GetResult()) {
        this->StartStep(probe,
                        probe.Advance(this->GetResumeTime(due)),
                        this->GetResumeTime(due));
      }
    }
    return *probe.GetResult();
  }

private:
  struct Response
  {
    Time At;
    std::size_t Step;
    int Witness; ///< Negative for the suspect.
    bool operator<(const Response& other) const { return this->At > other.At; }
  };

  /// Get the time at which the process runs again.
  Time GetResumeTime(Time at) const
  {
    while (AnyContains(this->ProcessPauses, at)) {
      at += std::chrono::milliseconds(1);
    }
    return at;
  }

  Time GetForwardTime(Time at) const
  {
    while (AnyContains(this->LinkDelays, at)) {
      at += std::chrono::milliseconds(1);
    }
    return at;
  }

  void StartStep(FailureProbe& probe, const FailureProbe::Step& step, Time now)
  {
    const std::size_t stepIndex = probe.GetStepIndex();
    if (step.ConnectsToSuspect && stepIndex != this->LostAttempt) {
      this->Send(now, stepIndex, -1);
    }
    for (std::size_t i = 0; i < step.ConnectsToWitness.size(); ++i) {
      if (step.ConnectsToWitness[i]) {
        this->Send(now, stepIndex, static_cast<int>(i));
      }
    }
  }

  void Send(Time now, std::size_t stepIndex, int witness)
  {
    const Time arrivedAt = this->GetForwardTime(now) + this->RoundTrip / 2;
    const Time returnedAt =
      this->GetForwardTime(arrivedAt + this->RoundTrip / 2);
    const bool isLost = AnyContains(this->LinkFailures, now) ||
      AnyContains(this->LinkFailures, arrivedAt) ||
      AnyContains(this->LinkFailures, returnedAt) ||
      (witness < 0 && this->FullAcceptQueue.Contains(arrivedAt));
    if (!isLost) {
      this->Responses.push({ returnedAt, stepIndex, witness });
    }
  }

  /// Deliver pending responses first, as the event loop does before timers.
  void DeliverBefore(FailureProbe& probe, Time now)
  {
    while (!this->Responses.empty() && this->Responses.top().At <= now) {
      const Response response = this->Responses.top();
      this->Responses.pop();
      if (response.Witness < 0) {
        probe.OnSuspectResult(ConnectOutcome::kConnected);
      } else {
        probe.OnWitnessResult(static_cast<std::size_t>(response.Witness),
                              response.Step,
                              ConnectOutcome::kConnected);
      }
    }
  }

  std::priority_queue<Response> Responses;
};

ProbeSimulation GenerateSimulation()
{
  ProbeSimulation simulation;
  simulation.LinkFailures = GenerateRanges();
  simulation.LinkDelays = GenerateRanges();
  simulation.ProcessPauses = GenerateRanges();
  simulation.RoundTrip = std::chrono::milliseconds(*rc::gen::inRange(0, 30));
  return simulation;
}

BOOST_AUTO_TEST_SUITE(FailureProbePropertyTest)

BOOST_AUTO_TEST_CASE(
  local_faults_and_one_lost_packet_never_report_a_live_backend_dead)
{
  BOOST_TEST(
    rc::check("a backend that accepts connections is never found dead", [] {
      ProbeSimulation simulation = GenerateSimulation();
      simulation.LostAttempt =
        *rc::gen::inRange<std::size_t>(0, FailureProbe::kAttempts + 1);
      RC_ASSERT(simulation.Run() != ProbeResult::kTimedOut);
    }));
}

BOOST_AUTO_TEST_CASE(
  local_faults_and_a_full_accept_queue_never_report_a_live_backend_dead)
{
  BOOST_TEST(rc::check(
    "a backend with a full accept queue for two attempts is not found dead",
    [] {
      ProbeSimulation simulation = GenerateSimulation();
      const auto longest =
        2 * FailureProbe::kAttemptInterval / std::chrono::milliseconds(1);
      simulation.FullAcceptQueue.Begin = *rc::gen::inRange(0, kMaxTimeMs);
      simulation.FullAcceptQueue.End = simulation.FullAcceptQueue.Begin +
        *rc::gen::inRange(0, static_cast<int>(longest));
      RC_ASSERT(simulation.Run() != ProbeResult::kTimedOut);
    }));
}

BOOST_AUTO_TEST_CASE(dead_backend_is_detected_without_local_faults)
{
  ProbeSimulation simulation;
  simulation.FullAcceptQueue.End = 2 * kMaxTimeMs;
  BOOST_TEST((simulation.Run() == ProbeResult::kTimedOut));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
