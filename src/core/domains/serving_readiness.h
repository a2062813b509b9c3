/// @file
/// Tells whether callers' openings can be served from here.  See
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

/// Why a daemon came to serve, or not to.
enum class ServingReason : std::uint8_t
{
  kInitial,     ///< No sign against it.
  kUnreachable, ///< Several back ends silent, probes timed out, no answer.
  kConnected,   ///< A probe connected.
  kAnswered,    ///< A back end answered a caller.
  kNoBackends,  ///< Nothing is left that could be asked.
  kResumed,     ///< The process was suspended; what it saw means nothing.
};

const char* ToString(ServingReason reason);

/// One change, with what it rests on.
struct ServingChange
{
  bool Serving = true;
  ServingReason Reason = ServingReason::kInitial;
  std::size_t UnansweredBackends =
    0;                      ///< Back ends with openings without an answer.
  std::size_t TimedOut = 0; ///< Back ends whose probes timed out.
  Duration UnansweredFor{}; ///< From the first of the silent openings.
};

/// Counters of a ServingReadiness; see docs/METRICS.md.
struct ServingCounters
{
  std::uint64_t StoppedServing = 0;
  std::uint64_t ResumedServing = 0;
  std::uint64_t Probes = 0;
};

/** \class ServingReadiness
 * \brief Notice that none of the back ends with room for callers is reached.
 *
 * A daemon that is cut off from all back ends holds callers' openings to no
 * end, while daemons of other zones would serve them.  It counts as not
 * serving only where several back ends are silent at once, none has answered
 * since, and connections of its own to several time out.  A refused
 * connection tells nothing: the machine is reached, and other daemons would
 * find the same.
 */
class ServingReadiness
{
public:
  /// Say whether back ends have to be reached at all.
  void SetRequired(bool required) { this->Required = required; }

  /// An opening was sent on to a back end.
  void OnOpening(BackendId backend, ServiceId service, Time now);

  /// A back end that takes new flows answered a caller.
  void OnAnswer(Time now);

  /// Call on every tick; a process that stood still starts anew.
  void OnTick(Time now);

  /// Call after the process was suspended.
  void OnResume();

  /// Get services of which a back end each is to be probed now, drawn; the
  /// result goes to OnProbe().
  std::vector<ServiceId> TakeProbes(Time now);

  /// A service of TakeProbes() has no back ends.
  void OnNoBackends(ServiceId service, Time now);

  void OnProbe(BackendId backend, ProbeResult result, Time now);

  bool IsServing() const { return this->Serving || !this->Required; }

  ServingReason GetReason() const { return this->Reason; }

  /// Take the changes since the last call, for logs.
  std::vector<ServingChange> TakeChanges();

  const ServingCounters& GetCounters() const { return this->Counters; }

private:
  /// Tell whether something has been silent for long, and nothing answered.
  bool IsProbing(Time now) const;
  std::size_t CountUnanswered(Time now) const;
  void UpdateServing(Time now);
  void SetServing(bool serving, ServingReason reason, Time now);
  void ClearEvidence();

  bool Required = true;
  bool Serving = true;
  ServingReason Reason = ServingReason::kInitial;
  std::map<BackendId, Time> Unanswered; ///< First opening since any answer.
  std::set<BackendId> TimedOut;         ///< UnansweredFor any answer.
  std::map<ServiceId, Time> RecentServices; ///< Last opening here.
  ServiceId LastProbedService{ 0 };
  Time NextProbeAt{};
  Time ResumedAt{};
  Time LastTickAt{};
  std::vector<ServingChange> Changes;
  ServingCounters Counters;
};

} // namespace cobaltgauge::core
