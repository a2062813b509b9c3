#include "core/proof/death_trial.h"

#include <algorithm>

namespace cobaltgauge::core {

const char* ToString(ProbeResult result)
{
  switch (result) {
    case ProbeResult::kConnected:
      return "connected";
    case ProbeResult::kRefused:
      return "refused";
    case ProbeResult::kTimedOut:
      return "timed_out";
    case ProbeResult::kUnproven:
      return "unproven";
  }
  return "invalid";
}

const char* ToString(ProbeDoubt doubt)
{
  switch (doubt) {
    case ProbeDoubt::kNone:
      return "none";
    case ProbeDoubt::kLate:
      return "late";
    case ProbeDoubt::kNoWitness:
      return "no_witness";
    case ProbeDoubt::kFailedHere:
      return "failed_here";
  }
  return "invalid";
}

DeathTrial::DeathTrial(std::size_t witnesses, Time now)
  : Witnesses(std::min(witnesses, kMostWitnesses))
  , NextStep(now)
{
}

DeathTrial::Step DeathTrial::TakeStep(Time now)
{
  const bool isLate = now > this->NextStep + kTimerSlack;
  ++this->Steps;
  if (this->Steps <= kTries) {
    return this->BeginTry(now);
  }
  if (isLate) {
    this->Conclude(ProbeDoubt::kLate);
  } else if (this->Steps == kTries + 1) {
    this->NextStep = now + kLastLook;
  } else {
    this->Judge();
  }
  return Step{};
}

DeathTrial::Step DeathTrial::BeginTry(Time now)
{
  Step step;
  step.TriesSuspect = true;
  this->NextStep = now + (this->Steps == kTries ? kAnswerTime : kTryGap);
  if (this->Steps == 1) {
    return step;
  }
  // The first round of witnesses says who is worth asking later.
  for (std::size_t i = 0; i < this->Witnesses; ++i) {
    step.AsksWitness[i] = this->Steps == 2 || this->Answered[1][i];
  }
  return step;
}

void DeathTrial::OnSuspect(ConnectOutcome outcome)
{
  if (outcome == ConnectOutcome::kFailed) {
    this->FailedHere = true;
  } else if (!this->Result) {
    this->Result = outcome == ConnectOutcome::kConnected
      ? ProbeResult::kConnected
      : ProbeResult::kRefused;
  }
}

void DeathTrial::OnWitness(std::size_t witness,
                           std::size_t step,
                           ConnectOutcome outcome)
{
  if (witness < kMostWitnesses && step < kTries) {
    this->Answered[step][witness] = outcome != ConnectOutcome::kFailed;
  }
}

void DeathTrial::Judge()
{
  const auto isHeard = [](const auto& round) {
    return std::any_of(
      round.begin(), round.end(), [](bool did) { return did; });
  };
  const bool areHeard =
    std::all_of(this->Answered.begin() + 1, this->Answered.end(), isHeard);
  if (this->FailedHere) {
    this->Conclude(ProbeDoubt::kFailedHere);
  } else {
    this->Conclude(areHeard ? ProbeDoubt::kNone : ProbeDoubt::kNoWitness);
  }
}

void DeathTrial::Conclude(ProbeDoubt doubt)
{
  if (!this->Result) {
    this->Doubt = doubt;
    this->Result = doubt == ProbeDoubt::kNone ? ProbeResult::kTimedOut
                                              : ProbeResult::kUnproven;
  }
}

} // namespace cobaltgauge::core
