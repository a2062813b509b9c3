/// @file
/// Determines whether an unresponsive backend is dead, by connection attempts
/// to it and to other backends.  See docs/design/011-failure-domains.md.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/types.h"

namespace cobaltgauge::core {

/// Result of a probe of a backend.
enum class ProbeResult : std::uint8_t
{
  kConnected,
  /// The host responds, but the port is closed.  Flows are kept: a draining
  /// backend stops listening before its last flows end, and the host of a
  /// crashed backend resets the flows itself.
  kRefused,
  kTimedOut,     ///< No response to any attempt while witnesses responded: the
                 ///< backend is dead.
  kInconclusive, ///< No response; see InconclusiveReason.
};

const char* ToString(ProbeResult result);

/// Why an unanswered probe is inconclusive; for logs.
enum class InconclusiveReason : std::uint8_t
{
  kNone,
  kTimerLate,  ///< A timer was late, as after a suspension.
  kNoWitness,  ///< None responded in an attempt that used witnesses.
  kLocalError, ///< A connection attempt failed locally.
};

const char* ToString(InconclusiveReason reason);

/// Outcome of one connection attempt of a probe.
enum class ConnectOutcome : std::uint8_t
{
  kConnected,
  kRefused,    ///< Refused or reset by the remote host.
  kLocalError, ///< Failed locally; says nothing about the remote host.
};

/** \class FailureProbe
 * \brief Finds a backend dead only if local faults are ruled out.
 *
 * Several connection attempts are made in sequence, to tolerate a lost packet
 * or a briefly full accept queue.  From the second attempt on, other backends
 * (witnesses) are connected to as well: if they do not respond either, this
 * host or its link is faulty.  After the last timeout a grace period lets the
 * event loop process pending responses.  The probe is inconclusive if a timer
 * was late, as after a suspension.
 */
class FailureProbe
{
public:
  static constexpr std::size_t kAttempts = 3;
  static constexpr std::size_t kMaxWitnesses = 2;
  // Durations in microseconds.

  /// Time between attempts; allows a full accept queue to drain.
  static constexpr Duration kAttemptInterval{ 75'000 };
  /// Time to respond to the last attempt; well above inter-region round trips.
  static constexpr Duration kLastAttemptTimeout{ 150'000 };
  /// Time between the last timeout and the evaluation, in which the event loop
  /// processes responses that have already arrived.
  static constexpr Duration kResultGracePeriod{ 20'000 };
  /// Maximum delay of a timer.  If it is exceeded, responses that have arrived
  /// may not have been processed yet.
  static constexpr Duration kMaxTimerDelay{ 50'000 };

  /// Connection attempts to be started in a step.
  struct Step
  {
    bool ConnectsToSuspect = false;
    /// By index of the witness.
    std::array<bool, kMaxWitnesses> ConnectsToWitness{};
  };

  /// \param witnesses number of witnesses, at most kMaxWitnesses.
  FailureProbe(std::size_t witnesses, Time now);

  /// Get the time of the next call to Advance().
  Time GetNextStepTime() const { return this->NextStepTime; }
  /// Start the next step.
  /// \return the connection attempts to be made.
  Step Advance(Time now);

  /// Record the outcome of a connection attempt to the suspected backend.
  void OnSuspectResult(ConnectOutcome outcome);
  /// Record the outcome of a connection attempt to a witness.
  /// \param step index of the step that started it, from 0.
  void OnWitnessResult(std::size_t witness,
                       std::size_t step,
                       ConnectOutcome outcome);
  /// Get the index of the latest step, from 0.
  std::size_t GetStepIndex() const { return this->StepCount - 1; }

  /// Get the result, if the probe has finished.
  std::optional<ProbeResult> GetResult() const { return this->Result; }
  /// Get the reason why the result is kInconclusive.
  InconclusiveReason GetInconclusiveReason() const { return this->Reason; }

private:
  Step StartAttempt(Time now);
  void Evaluate();
  /// Finish a probe without response.  With kNone the backend is dead.
  void Finish(InconclusiveReason reason);

  std::size_t WitnessCount;
  std::size_t StepCount = 0;
  Time NextStepTime;
  bool HasLocalError = false;
  /// By step and witness.
  std::array<std::array<bool, kMaxWitnesses>, kAttempts> WitnessResponded{};
  std::optional<ProbeResult> Result;
  InconclusiveReason Reason = InconclusiveReason::kNone;
};

} // namespace cobaltgauge::core
