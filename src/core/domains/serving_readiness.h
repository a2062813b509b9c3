/// @file
/// Detects that a daemon reaches no backend.  See
/// docs/design/011-failure-domains.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/backend_health.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Reason for the current serving state.
enum class ServingReason : std::uint8_t
{
  kInitial,          ///< No change since the start.
  kUnreachable,      ///< Backends are unresponsive and probes timed out.
  kConnected,        ///< A probe connected.
  kResponseReceived, ///< A backend responded to a client.
  kNoBackends,       ///< No backends are left to probe.
  kResumed, ///< The process was suspended; its evidence was discarded.
};

const char* ToString(ServingReason reason);

/// A change of the serving state and the evidence for it.
struct ServingChange
{
  bool Serving = true;
  ServingReason Reason = ServingReason::kInitial;
  /// Backends that left a connection attempt without a response.
  std::size_t UnansweredBackends = 0;
  std::size_t TimedOut = 0; ///< Backends whose probes timed out.
  Duration UnansweredFor{}; ///< Since the first such attempt.
};

/// Counters of ServingReadiness; see docs/METRICS.md.
struct ServingCounters
{
  std::uint64_t StoppedServing = 0;
  std::uint64_t ResumedServing = 0;
  std::uint64_t Probes = 0;
};

/** \class ServingReadiness
 * \brief Decides whether this daemon reaches any backend.
 *
 * A daemon that is partitioned from all backends drops connection attempts
 * that daemons in other zones could serve.  It stops serving if several
 * backends are unresponsive at the same time, none has responded since, and
 * several probe connections time out.  A refused connection is no evidence:
 * the host is reachable, and other daemons get the same result.
 */
class ServingReadiness
{
public:
  /// Enables the check; while it is disabled, the daemon is always serving.
  void SetRequired(bool required) { this->Required = required; }

  /// Records a connection attempt that was forwarded to a backend.
  void OnOpening(BackendId backend, ServiceId service, Time now);

  /// Records a response to a client by a backend that accepts new flows.
  void OnResponse(Time now);

  /// To be called on every tick.  Discards evidence after a long gap.
  void OnTick(Time now);

  /// To be called after the process was suspended.
  void OnResume();

  /// Returns the services to probe now, at one random backend each; the
  /// results have to be passed to OnProbe().
  std::vector<ServiceId> TakeProbes(Time now);

  /// Records that a service returned by TakeProbes() has no backends.
  void OnNoBackends(ServiceId service, Time now);

  void OnProbe(BackendId backend, ProbeResult result, Time now);

  bool IsServing() const { return this->Serving || !this->Required; }

  ServingReason GetReason() const { return this->Reason; }

  /// Returns the changes since the last call, for logs.
  std::vector<ServingChange> TakeChanges();

  const ServingCounters& GetCounters() const { return this->Counters; }

private:
  /// Returns whether to probe: while not serving, or if backends are
  /// unresponsive.
  bool IsProbing(Time now) const;
  std::size_t CountUnanswered(Time now) const;
  void UpdateServing(Time now);
  void SetServing(bool serving, ServingReason reason, Time now);
  void ClearEvidence();

  bool Required = true;
  bool Serving = true;
  ServingReason Reason = ServingReason::kInitial;
  std::map<BackendId, Time> Unanswered; ///< First attempt since any response.
  std::set<BackendId> TimedOut;         ///< Since any response.
  std::map<ServiceId, Time> RecentServices; ///< Last connection attempt.
  ServiceId LastProbedService{ 0 };
  Time NextProbeAt{};
  Time ResumedAt{};
  Time LastTickAt{};
  std::vector<ServingChange> Changes;
  ServingCounters Counters;
};

} // namespace cobaltgauge::core
