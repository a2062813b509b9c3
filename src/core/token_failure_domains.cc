/// @file
/// Interaction of TokenSteering with core/domains: reports responses and probe results, and selects
/// backends to probe.
#include <algorithm>
#include <utility>

#include "core/constants.h"
#include "core/token_steering.h"

namespace cobaltgauge::core {

std::vector<BackendAddress> TokenSteering::takeReachabilityProbes(Time now) {
  std::vector<BackendAddress> probes;
  const std::vector<ServiceId> services = serving_.TakeProbes(now);
  for (const ServiceId service : services) {
    const std::vector<PlacementCandidate>& candidates = backends_.candidates(service);
    if (candidates.empty()) {
      serving_.OnNoBackends(service, now);
    } else {
      probes.push_back(*backends_.find(candidates[random_.below(candidates.size())].id));
    }
  }
  updateReachability();
  return probes;
}

void TokenSteering::onReachabilityProbe(BackendId backend, ProbeResult result, Time now) {
  if (result == ProbeResult::kInconclusive) {
    return;
  }
  serving_.OnProbe(backend, result, now);
  updateReachability();
  if (result == ProbeResult::kConnected) {
    health_.onProbe(backend, result, now);
  }
}

void TokenSteering::updateReachability() {
  if (std::exchange(wasServing_, serving_.IsServing()) != serving_.IsServing()) {
    health_.onReachabilityChanged();
  }
}

std::vector<BackendId> TokenSteering::groupMembers(const BackendGroup& group) {
  std::vector<BackendId> members;
  for (const PlacementCandidate& candidate : backends_.candidates(group.Service)) {
    if (candidate.zone == group.Zone) {
      members.push_back(candidate.id);
    }
  }
  return members;
}

void TokenSteering::recordDomainResponse(BackendId backend, Time now) {
  // Backends of evacuated zones do not count, because they accept no new flows.
  if (backends_.takesNewFlows(backend)) {
    serving_.OnResponse(now);
    updateReachability();
  }
  if (unreachableGroups_.IsEmpty()) {
    return;
  }
  if (const PlacementCandidate* candidate = backends_.findCandidate(backend)) {
    unreachableGroups_.OnResponse(backend, {candidate->service, candidate->zone}, now);
  }
}

std::vector<BackendAddress> TokenSteering::takeGroupProbes(Time now) {
  std::vector<BackendAddress> probes;
  if (unreachableGroups_.IsEmpty()) {
    return probes;
  }
  for (const GroupProbeRequest& due : unreachableGroups_.TakeProbes(now)) {
    std::vector<BackendId> members = groupMembers(due.Group);
    for (std::size_t count = 0; count < due.Count && !members.empty(); ++count) {
      std::swap(members[random_.below(members.size())], members.back());
      probes.push_back(*backends_.find(members.back()));
      members.pop_back();
    }
  }
  return probes;
}

void TokenSteering::onGroupNotice(const UnreachableGroupsNotice& notice, Time now) {
  const std::size_t count = std::min(notice.Groups.size(), kMaxGroupsPerNotice);
  for (std::size_t index = 0; index < count; ++index) {
    if (!groupMembers(notice.Groups[index]).empty()) {
      unreachableGroups_.OnNotice(notice.Groups[index], now);
    }
  }
}

void TokenSteering::onGroupProbe(BackendId backend, ProbeResult result, Time now) {
  const PlacementCandidate* candidate = backends_.findCandidate(backend);
  if (candidate == nullptr || result == ProbeResult::kInconclusive) {
    return;
  }
  const BackendGroup group{candidate->service, candidate->zone};
  if (unreachableGroups_.OnProbe(backend, group, result, now)) {
    unreachableGroups_.MarkUnreachable(group, groupMembers(group), now);
  }
}

}  // namespace cobaltgauge::core
