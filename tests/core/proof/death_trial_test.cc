#include "core/proof/death_trial.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

using core::ConnectOutcome;
using core::DeathTrial;
using core::ProbeResult;
using namespace std::chrono_literals;

constexpr std::size_t kNever = DeathTrial::kTries;

/// A trial whose parties answer at once, or not at all.
struct TrialFixture
{
  core::Time Now = 100s;
  std::size_t SuspectAnswersFrom = kNever;   ///< By try.
  std::size_t WitnessesAnswerFrom = 0;       ///< By step.
  std::size_t WitnessesAnswerUntil = kNever; ///< By step, exclusive.
  ConnectOutcome SuspectSays = ConnectOutcome::kConnected;
  std::size_t Witnesses = DeathTrial::kMostWitnesses;
  core::Duration LastStepLate{ 0 };
  std::size_t Connections = 0;
  core::ProbeDoubt Doubt = core::ProbeDoubt::kNone;
  core::Time Began = this->Now;

  ProbeResult Run()
  {
    DeathTrial trial(this->Witnesses, this->Now);
    while (!trial.GetResult()) {
      this->Now = trial.GetNextStep();
      const bool isLast = trial.GetStep() + 1 == DeathTrial::kTries;
      this->Now += isLast ? this->LastStepLate : 0s;
      this->Take(trial, trial.TakeStep(this->Now));
    }
    this->Doubt = trial.GetDoubt();
    return *trial.GetResult();
  }

  void Take(DeathTrial& trial, const DeathTrial::Step& step)
  {
    const std::size_t number = trial.GetStep();
    for (std::size_t i = 0; i < step.AsksWitness.size(); ++i) {
      if (!step.AsksWitness[i]) {
        continue;
      }
      ++this->Connections;
      if (number >= this->WitnessesAnswerFrom &&
          number < this->WitnessesAnswerUntil) {
        trial.OnWitness(i, number, ConnectOutcome::kConnected);
      }
    }
    this->Connections += step.TriesSuspect ? 1 : 0;
    if (step.TriesSuspect && number >= this->SuspectAnswersFrom) {
      trial.OnSuspect(this->SuspectSays);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(DeathTrialTest, TrialFixture)

BOOST_AUTO_TEST_CASE(a_back_end_that_connects_costs_one_connection)
{
  this->SuspectAnswersFrom = 0;
  BOOST_TEST((this->Run() == ProbeResult::kConnected));
  BOOST_TEST(this->Connections == 1U);
}

BOOST_AUTO_TEST_CASE(silence_to_every_try_beside_answers_of_others_is_death)
{
  BOOST_TEST((this->Run() == ProbeResult::kTimedOut));
  BOOST_TEST((this->Now - this->Began <= 320ms));
}

BOOST_AUTO_TEST_CASE(one_lost_packet_proves_nothing)
{
  this->SuspectAnswersFrom = 1;
  BOOST_TEST((this->Run() == ProbeResult::kConnected));
}

BOOST_AUTO_TEST_CASE(a_full_queue_is_outlived_by_the_last_try)
{
  this->SuspectAnswersFrom = 2;
  BOOST_TEST((this->Run() == ProbeResult::kConnected));
}

BOOST_AUTO_TEST_CASE(a_machine_that_refuses_is_there)
{
  this->SuspectAnswersFrom = 2;
  this->SuspectSays = ConnectOutcome::kRefused;
  BOOST_TEST((this->Run() == ProbeResult::kRefused));
}

BOOST_AUTO_TEST_CASE(where_nobody_answers_nothing_is_proven)
{
  this->WitnessesAnswerFrom = kNever;
  BOOST_TEST((this->Run() == ProbeResult::kUnproven));
  BOOST_TEST((this->Doubt == core::ProbeDoubt::kNoWitness));
}

BOOST_AUTO_TEST_CASE(a_link_that_breaks_during_the_trial_proves_nothing)
{
  this->WitnessesAnswerUntil = 2;
  BOOST_TEST((this->Run() == ProbeResult::kUnproven));
}

BOOST_AUTO_TEST_CASE(a_link_that_comes_back_during_the_trial_proves_nothing)
{
  this->WitnessesAnswerFrom = 2;
  BOOST_TEST((this->Run() == ProbeResult::kUnproven));
}

BOOST_AUTO_TEST_CASE(without_witnesses_nothing_is_proven)
{
  this->Witnesses = 0;
  BOOST_TEST((this->Run() == ProbeResult::kUnproven));
}

BOOST_AUTO_TEST_CASE(a_verdict_that_is_late_proves_nothing)
{
  this->LastStepLate = DeathTrial::kTimerSlack + 1us;
  BOOST_TEST((this->Run() == ProbeResult::kUnproven));
  BOOST_TEST((this->Doubt == core::ProbeDoubt::kLate));
}

BOOST_AUTO_TEST_CASE(a_try_that_this_machine_could_not_make_proves_nothing)
{
  this->SuspectAnswersFrom = 1;
  this->SuspectSays = ConnectOutcome::kFailed;
  BOOST_TEST((this->Run() == ProbeResult::kUnproven));
  BOOST_TEST((this->Doubt == core::ProbeDoubt::kFailedHere));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
