#include "core/proof/death_trial.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <queue>
#include <vector>

namespace cobaltgauge::tests {
namespace {

using core::ConnectOutcome;
using core::DeathTrial;
using core::Duration;
using core::ProbeResult;
using core::Time;

/// A span of a trial, in milliseconds.
struct Span
{
  int From = 0;
  int Until = 0;

  bool Holds(Time at) const
  {
    return at >= std::chrono::milliseconds(this->From) &&
      at < std::chrono::milliseconds(this->Until);
  }
};

constexpr int kLongestMs = 1'000;

std::vector<Span> DrawSpans()
{
  std::vector<Span> spans(*rc::gen::inRange(0, 4));
  for (Span& span : spans) {
    span.From = *rc::gen::inRange(0, kLongestMs);
    span.Until = span.From + *rc::gen::inRange(0, kLongestMs);
  }
  return spans;
}

bool AnyHolds(const std::vector<Span>& spans, Time at)
{
  return std::any_of(spans.begin(), spans.end(), [at](const Span& span) {
    return span.Holds(at);
  });
}

/// This daemon's side of a trial, of a back end and witnesses that all accept
/// connections, with a link that breaks and a process that stands still.
class TrialWorld
{
public:
  std::vector<Span> Cuts;   ///< Of the link: packets are lost both ways.
  std::vector<Span> Queues; ///< Of the link: packets wait until their end.
  std::vector<Span> Pauses; ///< Of the process.
  Span FullQueue;           ///< Of the back end's connections.
  std::size_t LostTry = DeathTrial::kTries; ///< By one lost packet.
  Duration RoundTrip{ 0 };

  ProbeResult Run()
  {
    DeathTrial trial(DeathTrial::kMostWitnesses, Time{});
    while (!trial.GetResult()) {
      const Time due = trial.GetNextStep();
      this->DeliverBefore(trial, this->Resumed(due));
      if (!trial.GetResult()) {
        this->Begin(
          trial, trial.TakeStep(this->Resumed(due)), this->Resumed(due));
      }
    }
    return *trial.GetResult();
  }

private:
  struct Answer
  {
    Time At;
    std::size_t Step;
    int Witness; ///< Negative: it is the suspect's.
    bool operator<(const Answer& other) const { return this->At > other.At; }
  };

  /// Get when the process runs again.
  Time Resumed(Time at) const
  {
    while (AnyHolds(this->Pauses, at)) {
      at += std::chrono::milliseconds(1);
    }
    return at;
  }

  Time Through(Time at) const
  {
    while (AnyHolds(this->Queues, at)) {
      at += std::chrono::milliseconds(1);
    }
    return at;
  }

  void Begin(DeathTrial& trial, const DeathTrial::Step& step, Time now)
  {
    const std::size_t number = trial.GetStep();
    if (step.TriesSuspect && number != this->LostTry) {
      this->Send(now, number, -1);
    }
    for (std::size_t i = 0; i < step.AsksWitness.size(); ++i) {
      if (step.AsksWitness[i]) {
        this->Send(now, number, static_cast<int>(i));
      }
    }
  }

  void Send(Time now, std::size_t number, int witness)
  {
    const Time there = this->Through(now) + this->RoundTrip / 2;
    const Time back = this->Through(there + this->RoundTrip / 2);
    const bool isLost = AnyHolds(this->Cuts, now) ||
      AnyHolds(this->Cuts, there) || AnyHolds(this->Cuts, back) ||
      (witness < 0 && this->FullQueue.Holds(there));
    if (!isLost) {
      this->Answers.push({ back, number, witness });
    }
  }

  /// A loop reads what has arrived before it looks at its timers.
  void DeliverBefore(DeathTrial& trial, Time now)
  {
    while (!this->Answers.empty() && this->Answers.top().At <= now) {
      const Answer answer = this->Answers.top();
      this->Answers.pop();
      if (answer.Witness < 0) {
        trial.OnSuspect(ConnectOutcome::kConnected);
      } else {
        trial.OnWitness(static_cast<std::size_t>(answer.Witness),
                        answer.Step,
                        ConnectOutcome::kConnected);
      }
    }
  }

  std::priority_queue<Answer> Answers;
};

TrialWorld DrawWorld()
{
  TrialWorld world;
  world.Cuts = DrawSpans();
  world.Queues = DrawSpans();
  world.Pauses = DrawSpans();
  world.RoundTrip = std::chrono::milliseconds(*rc::gen::inRange(0, 30));
  return world;
}

BOOST_AUTO_TEST_SUITE(DeathTrialPropertyTest)

BOOST_AUTO_TEST_CASE(no_trouble_here_and_one_lost_packet_make_it_look_dead)
{
  BOOST_TEST(rc::check("a back end that accepts is never found dead", [] {
    TrialWorld world = DrawWorld();
    world.LostTry = *rc::gen::inRange<std::size_t>(0, DeathTrial::kTries + 1);
    RC_ASSERT(world.Run() != ProbeResult::kTimedOut);
  }));
}

BOOST_AUTO_TEST_CASE(no_trouble_here_and_a_full_queue_make_it_look_dead)
{
  BOOST_TEST(rc::check("nor one whose queue was full for two tries", [] {
    TrialWorld world = DrawWorld();
    const auto longest =
      2 * DeathTrial::kTryGap / std::chrono::milliseconds(1);
    world.FullQueue.From = *rc::gen::inRange(0, kLongestMs);
    world.FullQueue.Until =
      world.FullQueue.From + *rc::gen::inRange(0, static_cast<int>(longest));
    RC_ASSERT(world.Run() != ProbeResult::kTimedOut);
  }));
}

BOOST_AUTO_TEST_CASE(a_dead_one_is_found_where_nothing_else_is_wrong)
{
  TrialWorld world;
  world.FullQueue.Until = 2 * kLongestMs;
  BOOST_TEST((world.Run() == ProbeResult::kTimedOut));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
