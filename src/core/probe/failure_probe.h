/// @file
/// Whether a silent back end is dead, from connections to it and, beside them,
/// to others.  See docs/design/011-failure-domains.md.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/types.h"

namespace cobaltgauge::core {

/// How a probe of a back end ended.
enum class ProbeResult : std::uint8_t
{
  kConnected, ///< Something listens there.
  /// The machine answers, nothing listens.  A back end that is about to end as
  /// planned stops listening before its last flows end, and a machine whose
  /// back end crashed resets the flows itself: no reason to give flows up.
  kRefused,
  kTimedOut,     ///< No answer to any try, while others answered: it is dead.
  kInconclusive, ///< No answer, but nobody else answered, or the time was not
                 ///< kept.
};

const char* ToString(ProbeResult result);

/// Why a silence proves nothing; for logs.
enum class InconclusiveReason : std::uint8_t
{
  kNone,
  kTimerLate,  ///< A timer was late: this process was held up.
  kNoWitness,  ///< No witness answered in one of the rounds.
  kLocalError, ///< A connection failed by this machine's own doing.
};

const char* ToString(InconclusiveReason reason);

/// How one connection of a trial ended.
enum class ConnectOutcome : std::uint8_t
{
  kConnected,
  kRefused,    ///< Its machine answered.
  kLocalError, ///< By this machine's own doing; says nothing.
};

/** \class DeathTrial
 * \brief Find a back end dead only where nothing else explains its silence.
 *
 * Several connections are begun one after another, so that one lost packet or
 * a queue that was full for a moment proves nothing.  With all but the first
 * others are begun to witnesses, back ends that answered lately: where these
 * stay silent too, this machine or its link is the cause.  A last look takes
 * what had arrived when time was up.  Where that was late, as after a
 * suspension, nothing is proven.
 */
class FailureProbe
{
public:
  static constexpr std::size_t kAttempts = 3;
  static constexpr std::size_t kMaxWitnesses = 2;
  /// Between two tries; a full queue of connections is worked off meanwhile.
  static constexpr Duration kAttemptInterval{ 75'000 };
  /// How long the last try and its witnesses have; over ten times the longest
  /// way between regions and back.
  static constexpr Duration kLastAttemptTimeout{ 150'000 };
  /// Between the end of that and the verdict: a turn of the event loop.
  static constexpr Duration kResultGracePeriod{ 20'000 };
  /// A timer that is later than this was held up: what arrived meanwhile may
  /// not have been read.  Twice a scheduler's period of a limited processor.
  static constexpr Duration kMaxTimerDelay{ 50'000 };

  /// What is to be begun at a step.
  struct Step
  {
    bool ConnectsToSuspect = false;
    /// By number, which of the witnesses are connected to.
    std::array<bool, kMaxWitnesses> ConnectsToWitness{};
  };

  /// \param witnesses how many there are, kMostWitnesses at most.
  FailureProbe(std::size_t witnesses, Time now);

  /// Get when TakeStep() is to be called next.
  Time GetNextStepTime() const { return this->NextStepTime; }
  /// Say what is to be begun now.
  Step Advance(Time now);

  /// Take how a connection to the back end ended.
  void OnSuspectResult(ConnectOutcome outcome);
  /// Take how a connection to a witness ended.
  /// \param step the number of the step that began it, from 0.
  void OnWitnessResult(std::size_t witness,
                       std::size_t step,
                       ConnectOutcome outcome);
  /// Get the number of the step that was taken last.
  std::size_t GetStepIndex() const { return this->StepCount - 1; }

  /// Get the result, once there is one.
  std::optional<ProbeResult> GetResult() const { return this->Result; }
  /// Get what is in the way of a proof, where the result is kUnproven.
  InconclusiveReason GetInconclusiveReason() const { return this->Reason; }

private:
  Step StartAttempt(Time now);
  void Evaluate();
  /// End a silent trial; without a doubt the back end is dead.
  void Finish(InconclusiveReason reason);

  std::size_t WitnessCount;
  std::size_t StepCount = 0;
  Time NextStepTime;
  bool HasLocalError = false;
  /// Witnesses that answered, by step.
  std::array<std::array<bool, kMaxWitnesses>, kAttempts> WitnessResponded{};
  std::optional<ProbeResult> Result;
  InconclusiveReason Reason = InconclusiveReason::kNone;
};

} // namespace cobaltgauge::core
