/// @file
/// Detects that all backends of a service in one zone have failed.  See
/// docs/design/011-failure-domains.md.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "core/backend_health.h"
#include "core/domains/backend_group.h"
#include "core/placement/demotion.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Number of random members of a group to probe.
struct GroupProbeRequest
{
  BackendGroup Group;
  std::size_t Count = 0;
};

/// Counters of UnreachableGroups; see docs/METRICS.md.
struct UnreachableGroupCounters
{
  std::uint64_t Detected = 0;
  std::uint64_t Recovered = 0; ///< Ended by a connection or a response.
  std::uint64_t Probes = 0;
  std::uint64_t Notices = 0; ///< Accepted from other daemons.
};

/** \class UnreachableGroups
 * \brief Deprioritizes groups of backends that accept no connections.
 *
 * A failed probe of an unresponsive backend triggers probes of other members
 * of its group.  If kGroupUnreachableThreshold distinct members fail and no
 * member responds or accepts a connection meanwhile, all current members are
 * deprioritized for a short time, which further failed probes extend.  A
 * response or connection of any of them restores the group.  Overloaded, slow
 * and warming-up backends accept connections and do not count as failed.
 */
class UnreachableGroups : public Demotion
{
public:
  /// Enables or disables detection.
  void SetEnabled(bool enabled);

  bool IsDeprioritized(const PlacementCandidate& candidate,
                       Time now) const override;

  /// Records a response of a backend to a client.
  void OnResponse(BackendId backend, const BackendGroup& group, Time now);

  /// Records the result of a probe.
  /// \return true if the group is unreachable; its members then have to be
  /// passed to MarkUnreachable().
  bool OnProbe(BackendId backend,
               const BackendGroup& group,
               ProbeResult result,
               Time now);

  /// Schedules probes of a group that another daemon found unreachable.  The
  /// rate per group is limited, so that wrong notices cause few connections.
  void OnNotice(const BackendGroup& group, Time now);

  /// Deprioritizes the members of a group.
  void MarkUnreachable(const BackendGroup& group,
                       const std::vector<BackendId>& members,
                       Time now);

  /// Returns the probes to make now.
  std::vector<GroupProbeRequest> TakeProbes(Time now);

  /// To be called after the process was suspended, since probes may have timed
  /// out meanwhile.  Discards all state.
  void OnResume();

  /// Removes expired state.
  void Expire(Time now);

  /// Returns whether there is no state that a response could change.
  bool IsEmpty() const { return this->Groups.empty(); }

  /// Returns the number of unreachable groups.
  std::size_t CountUnreachable(Time now) const;

  /// Returns the groups detected since the last call, for logs.
  std::vector<BackendGroup> TakeDetected();

  const UnreachableGroupCounters& GetCounters() const
  {
    return this->Counters;
  }

private:
  struct GroupState
  {
    /// Members with failed probes since any response or connection.
    std::set<BackendId> UnreachableMembers;
    /// Empty unless the group is unreachable.
    std::set<BackendId> DeprioritizedMembers;
    Time ExpiresAt{};
    Time NextProbeAt{};
    std::size_t PendingProbes = 0; ///< To be made immediately.
  };

  bool Enabled = true;
  std::map<BackendGroup, GroupState> Groups;
  std::map<BackendGroup, Time> LastNoticeAt;
  std::vector<BackendGroup> Detected;
  UnreachableGroupCounters Counters;
};

} // namespace cobaltgauge::core
