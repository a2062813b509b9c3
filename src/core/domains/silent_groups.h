/// @file
/// Finds that all back ends of a service in one zone are gone at once, before
/// each has cost a caller its try.  See docs/design/011-failure-domains.md.
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

/// Probes that are wanted of a group.
struct GroupProbes
{
  BackendGroup Group;
  std::size_t Count = 0;
};

/// Counters of a SilentGroups; see docs/METRICS.md.
struct SilentGroupCounters
{
  std::uint64_t Found = 0;
  std::uint64_t Ended = 0; ///< By a connection or an answer.
  std::uint64_t Probes = 0;
  std::uint64_t Notices = 0; ///< Of other daemons, that were followed.
};

/** \class SilentGroups
 * \brief Put a group last of which several members take no connection.
 *
 * One back end that left a caller without an answer and took no connection
 * has its neighbours probed at once.  Where several distinct ones took none
 * and no member answered or took one since the first, all members known by
 * then come last, for a short time that refused probes renew.  Any answer or
 * connection of one of them ends it for all.  A back end that is full, slow or
 * cold takes connections.  This orders candidates and does nothing else.
 */
class SilentGroups : public Demotion
{
public:
  /// Say whether groups are looked for at all.
  void SetEnabled(bool enabled);

  bool IsDeprioritized(const PlacementCandidate& candidate,
                       Time now) const override;

  /// A back end answered a caller.
  void OnAnswer(BackendId backend, const BackendGroup& group, Time now);

  /// A probe of a member ended.
  /// \return true where the group's members are to be named by Mark().
  bool OnProbe(BackendId backend,
               const BackendGroup& group,
               ProbeResult result,
               Time now);

  /// Another daemon found a group silent: members are probed, no more.  Takes
  /// few notices, so that one that lies costs few connections.
  void OnNotice(const BackendGroup& group, Time now);

  /// Put the members of a group last.
  void Mark(const BackendGroup& group,
            const std::vector<BackendId>& members,
            Time now);

  /// Get groups of which members, drawn, are to be probed now.
  std::vector<GroupProbes> TakeProbes(Time now);

  /// Call after the process was suspended: probes may have run out unread.
  void OnResume();

  /// Forget what no longer counts.
  void Expire(Time now);

  /// Tell whether anything is known that an answer would change; cheap.
  bool IsEmpty() const { return this->Groups.empty(); }

  std::size_t CountSilent(Time now) const;

  /// Take the groups found since the last call, for logs.
  std::vector<BackendGroup> TakeFound();

  const SilentGroupCounters& GetCounters() const { return this->Counters; }

private:
  struct Signs
  {
    std::set<BackendId> Unconnected; ///< Since any answer or connection.
    std::set<BackendId> Members;     ///< That come last; none: no verdict.
    Time Until{};                    ///< End of the verdict, or of the signs.
    Time NextProbeAt{};
    std::size_t Wanted = 0; ///< Probes to be made at once.
  };

  bool Enabled = true;
  std::map<BackendGroup, Signs> Groups;
  std::map<BackendGroup, Time> NoticedAt;
  std::vector<BackendGroup> Found;
  SilentGroupCounters Counters;
};

} // namespace cobaltgauge::core
