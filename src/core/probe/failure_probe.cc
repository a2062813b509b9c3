#include "core/probe/failure_probe.h"

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
    case ProbeResult::kInconclusive:
      return "unproven";
  }
  return "invalid";
}

const char* ToString(InconclusiveReason reason)
{
  switch (reason) {
    case InconclusiveReason::kNone:
      return "none";
    case InconclusiveReason::kTimerLate:
      return "late";
    case InconclusiveReason::kNoWitness:
      return "no_witness";
    case InconclusiveReason::kLocalError:
      return "failed_here";
  }
  return "invalid";
}

FailureProbe::FailureProbe(std::size_t witnesses, Time now)
  : WitnessCount(std::min(witnesses, kMaxWitnesses))
  , NextStepTime(now)
{
}

FailureProbe::Step FailureProbe::Advance(Time now)
{
  const bool isLate = now > this->NextStepTime + kMaxTimerDelay;
  ++this->StepCount;
  if (this->StepCount <= kAttempts) {
    return this->StartAttempt(now);
  }
  if (isLate) {
    this->Finish(InconclusiveReason::kTimerLate);
  } else if (this->StepCount == kAttempts + 1) {
    this->NextStepTime = now + kResultGracePeriod;
  } else {
    this->Evaluate();
  }
  return Step{};
}

FailureProbe::Step FailureProbe::StartAttempt(Time now)
{
  Step step;
  step.ConnectsToSuspect = true;
  this->NextStepTime = now +
    (this->StepCount == kAttempts ? kLastAttemptTimeout : kAttemptInterval);
  if (this->StepCount == 1) {
    return step;
  }
  // Later attempts use only the witnesses that responded in the second one.
  for (std::size_t i = 0; i < this->WitnessCount; ++i) {
    step.ConnectsToWitness[i] =
      this->StepCount == 2 || this->WitnessResponded[1][i];
  }
  return step;
}

void FailureProbe::OnSuspectResult(ConnectOutcome outcome)
{
  if (outcome == ConnectOutcome::kLocalError) {
    this->HasLocalError = true;
  } else if (!this->Result) {
    this->Result = outcome == ConnectOutcome::kConnected
      ? ProbeResult::kConnected
      : ProbeResult::kRefused;
  }
}

void FailureProbe::OnWitnessResult(std::size_t witness,
                                   std::size_t step,
                                   ConnectOutcome outcome)
{
  if (witness < kMaxWitnesses && step < kAttempts) {
    this->WitnessResponded[step][witness] =
      outcome != ConnectOutcome::kLocalError;
  }
}

void FailureProbe::Evaluate()
{
  const auto hasResponse = [](const auto& round) {
    return std::any_of(
      round.begin(), round.end(), [](bool responded) { return responded; });
  };
  const bool hasResponsesInAllRounds =
    std::all_of(this->WitnessResponded.begin() + 1,
                this->WitnessResponded.end(),
                hasResponse);
  if (this->HasLocalError) {
    this->Finish(InconclusiveReason::kLocalError);
  } else {
    this->Finish(hasResponsesInAllRounds ? InconclusiveReason::kNone
                                         : InconclusiveReason::kNoWitness);
  }
}

void FailureProbe::Finish(InconclusiveReason reason)
{
  if (!this->Result) {
    this->Reason = reason;
    this->Result = reason == InconclusiveReason::kNone
      ? ProbeResult::kTimedOut
      : ProbeResult::kInconclusive;
  }
}

} // namespace cobaltgauge::core
