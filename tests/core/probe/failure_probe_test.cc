#include "core/probe/failure_probe.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

using core::ConnectOutcome;
using core::FailureProbe;
using core::ProbeResult;
using namespace std::chrono_literals;

constexpr std::size_t kNever = FailureProbe::kAttempts;

/// A probe in which suspect and witnesses respond immediately or not at all.
struct ProbeFixture
{
  core::Time Now = 100s;
  std::size_t SuspectRespondsFrom = kNever;   ///< First attempt.
  std::size_t WitnessesRespondFrom = 0;       ///< First step.
  std::size_t WitnessesRespondUntil = kNever; ///< Step, exclusive.
  ConnectOutcome SuspectOutcome = ConnectOutcome::kConnected;
  std::size_t Witnesses = FailureProbe::kMaxWitnesses;
  core::Duration LastStepDelay{ 0 };
  std::size_t Connections = 0;
  core::InconclusiveReason Reason = core::InconclusiveReason::kNone;
  core::Time StartedAt = this->Now;

  ProbeResult Run()
  {
    FailureProbe probe(this->Witnesses, this->Now);
    while (!probe.GetResult()) {
      this->Now = probe.GetNextStepTime();
      const bool isLast = probe.GetStepIndex() + 1 == FailureProbe::kAttempts;
      this->Now += isLast ? this->LastStepDelay : 0s;
      this->PerformStep(probe, probe.Advance(this->Now));
    }
    this->Reason = probe.GetInconclusiveReason();
    return *probe.GetResult();
  }

  void PerformStep(FailureProbe& probe, const FailureProbe::Step& step)
  {
    const std::size_t stepIndex = probe.GetStepIndex();
    for (std::size_t i = 0; i < step.ConnectsToWitness.size(); ++i) {
      if (!step.ConnectsToWitness[i]) {
        continue;
      }
      ++this->Connections;
      if (stepIndex >= this->WitnessesRespondFrom &&
          stepIndex < this->WitnessesRespondUntil) {
        probe.OnWitnessResult(i, stepIndex, ConnectOutcome::kConnected);
      }
    }
    this->Connections += step.ConnectsToSuspect ? 1 : 0;
    if (step.ConnectsToSuspect && stepIndex >= this->SuspectRespondsFrom) {
      probe.OnSuspectResult(this->SuspectOutcome);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(FailureProbeTest, ProbeFixture)

BOOST_AUTO_TEST_CASE(responding_backend_takes_one_connection)
{
  this->SuspectRespondsFrom = 0;
  BOOST_TEST((this->Run() == ProbeResult::kConnected));
  BOOST_TEST(this->Connections == 1U);
}

BOOST_AUTO_TEST_CASE(backend_is_dead_when_only_witnesses_respond)
{
  BOOST_TEST((this->Run() == ProbeResult::kTimedOut));
  BOOST_TEST((this->Now - this->StartedAt <= 320ms));
}

BOOST_AUTO_TEST_CASE(single_lost_attempt_is_retried)
{
  this->SuspectRespondsFrom = 1;
  BOOST_TEST((this->Run() == ProbeResult::kConnected));
}

BOOST_AUTO_TEST_CASE(last_attempt_succeeds_after_full_accept_queue)
{
  this->SuspectRespondsFrom = 2;
  BOOST_TEST((this->Run() == ProbeResult::kConnected));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_reported)
{
  this->SuspectRespondsFrom = 2;
  this->SuspectOutcome = ConnectOutcome::kRefused;
  BOOST_TEST((this->Run() == ProbeResult::kRefused));
}

BOOST_AUTO_TEST_CASE(inconclusive_when_no_witness_responds)
{
  this->WitnessesRespondFrom = kNever;
  BOOST_TEST((this->Run() == ProbeResult::kInconclusive));
  BOOST_TEST((this->Reason == core::InconclusiveReason::kNoWitness));
}

BOOST_AUTO_TEST_CASE(inconclusive_when_link_fails_during_the_probe)
{
  this->WitnessesRespondUntil = 2;
  BOOST_TEST((this->Run() == ProbeResult::kInconclusive));
}

BOOST_AUTO_TEST_CASE(inconclusive_when_link_recovers_during_the_probe)
{
  this->WitnessesRespondFrom = 2;
  BOOST_TEST((this->Run() == ProbeResult::kInconclusive));
}

BOOST_AUTO_TEST_CASE(inconclusive_without_witnesses)
{
  this->Witnesses = 0;
  BOOST_TEST((this->Run() == ProbeResult::kInconclusive));
}

BOOST_AUTO_TEST_CASE(inconclusive_when_timer_is_late)
{
  this->LastStepDelay = FailureProbe::kMaxTimerDelay + 1us;
  BOOST_TEST((this->Run() == ProbeResult::kInconclusive));
  BOOST_TEST((this->Reason == core::InconclusiveReason::kTimerLate));
}

BOOST_AUTO_TEST_CASE(inconclusive_after_local_error)
{
  this->SuspectRespondsFrom = 1;
  this->SuspectOutcome = ConnectOutcome::kLocalError;
  BOOST_TEST((this->Run() == ProbeResult::kInconclusive));
  BOOST_TEST((this->Reason == core::InconclusiveReason::kLocalError));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
