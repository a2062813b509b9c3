#include "core/domains/unreachable_groups.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void UnreachableGroups::SetEnabled(bool enabled)
{
  this->Enabled = enabled;
  if (!enabled) {
    this->Groups.clear();
  }
}

bool UnreachableGroups::IsDeprioritized(const PlacementCandidate& candidate,
                                        Time now) const
{
  if (this->Groups.empty()) {
    return false;
  }
  const auto found = this->Groups.find({ candidate.service, candidate.zone });
  return found != this->Groups.end() && now < found->second.ExpiresAt &&
    found->second.DeprioritizedMembers.contains(candidate.id);
}

void UnreachableGroups::OnResponse(BackendId backend,
                                   const BackendGroup& group,
                                   Time now)
{
  const auto found = this->Groups.find(group);
  if (found == this->Groups.end()) {
    return;
  }
  const GroupState& state = found->second;
  // A backend that registered later is no evidence for the earlier ones.
  const bool isNewMember = !state.DeprioritizedMembers.empty() &&
    !state.DeprioritizedMembers.contains(backend);
  if (!isNewMember) {
    this->Counters.Recovered +=
      state.DeprioritizedMembers.empty() || state.ExpiresAt <= now ? 0 : 1;
    this->Groups.erase(found);
  }
}

bool UnreachableGroups::OnProbe(BackendId backend,
                                const BackendGroup& group,
                                ProbeResult result,
                                Time now)
{
  if (result == ProbeResult::kConnected) {
    this->OnResponse(backend, group, now);
    return false;
  }
  if (!this->Enabled) {
    return false;
  }
  const auto [found, isNew] = this->Groups.try_emplace(group);
  GroupState& state = found->second;
  if (isNew) {
    state.PendingProbes = kGroupUnreachableThreshold - 1;
    state.NextProbeAt = now + kGroupProbeInterval;
  }
  state.UnreachableMembers.insert(backend);
  state.ExpiresAt = now + kGroupUnreachableTtl;
  return state.DeprioritizedMembers.empty() &&
    state.UnreachableMembers.size() >= kGroupUnreachableThreshold;
}

void UnreachableGroups::OnNotice(const BackendGroup& group, Time now)
{
  const auto last = this->LastNoticeAt.find(group);
  const bool isRateLimited = last != this->LastNoticeAt.end() &&
    now - last->second < kGroupNoticeInterval;
  if (!this->Enabled || this->Groups.contains(group) || isRateLimited) {
    return;
  }
  this->LastNoticeAt[group] = now;
  ++this->Counters.Notices;
  GroupState& state = this->Groups[group];
  state.PendingProbes = kGroupUnreachableThreshold;
  state.ExpiresAt = now + kGroupUnreachableTtl;
}

void UnreachableGroups::MarkUnreachable(const BackendGroup& group,
                                        const std::vector<BackendId>& members,
                                        Time now)
{
  GroupState& state = this->Groups[group];
  state.DeprioritizedMembers.insert(members.begin(), members.end());
  state.ExpiresAt = now + kGroupUnreachableTtl;
  ++this->Counters.Detected;
  this->Detected.push_back(group);
}

std::vector<GroupProbeRequest> UnreachableGroups::TakeProbes(Time now)
{
  std::vector<GroupProbeRequest> due;
  for (auto& [group, state] : this->Groups) {
    std::size_t count = std::exchange(state.PendingProbes, 0);
    if (count == 0 && !state.DeprioritizedMembers.empty() &&
        now >= state.NextProbeAt) {
      count = 1;
      state.NextProbeAt = now + kGroupProbeInterval;
    }
    if (count != 0) {
      this->Counters.Probes += count;
      due.push_back({ group, count });
    }
  }
  return due;
}

void UnreachableGroups::OnResume()
{
  this->Groups.clear();
}

void UnreachableGroups::Expire(Time now)
{
  std::erase_if(this->Groups, [now](const auto& item) {
    return item.second.ExpiresAt <= now;
  });
  std::erase_if(this->LastNoticeAt, [now](const auto& item) {
    return now - item.second >= kGroupNoticeInterval;
  });
}

std::size_t UnreachableGroups::CountUnreachable(Time now) const
{
  return static_cast<std::size_t>(std::count_if(
    this->Groups.begin(), this->Groups.end(), [now](const auto& item) {
      return !item.second.DeprioritizedMembers.empty() &&
        now < item.second.ExpiresAt;
    }));
}

std::vector<BackendGroup> UnreachableGroups::TakeDetected()
{
  return std::exchange(this->Detected, {});
}

} // namespace cobaltgauge::core
