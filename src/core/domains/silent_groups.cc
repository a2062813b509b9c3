#include "core/domains/silent_groups.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void SilentGroups::SetEnabled(bool enabled)
{
  this->Enabled = enabled;
  if (!enabled) {
    this->Groups.clear();
  }
}

bool SilentGroups::IsDeprioritized(const PlacementCandidate& candidate,
                                   Time now) const
{
  if (this->Groups.empty()) {
    return false;
  }
  const auto found = this->Groups.find({ candidate.service, candidate.zone });
  return found != this->Groups.end() && now < found->second.Until &&
    found->second.Members.contains(candidate.id);
}

void SilentGroups::OnAnswer(BackendId backend,
                            const BackendGroup& group,
                            Time now)
{
  const auto found = this->Groups.find(group);
  if (found == this->Groups.end()) {
    return;
  }
  const Signs& signs = found->second;
  // One that came later says nothing of those before.
  const bool isLater =
    !signs.Members.empty() && !signs.Members.contains(backend);
  if (!isLater) {
    this->Counters.Ended +=
      signs.Members.empty() || signs.Until <= now ? 0 : 1;
    this->Groups.erase(found);
  }
}

bool SilentGroups::OnProbe(BackendId backend,
                           const BackendGroup& group,
                           ProbeResult result,
                           Time now)
{
  if (result == ProbeResult::kConnected) {
    this->OnAnswer(backend, group, now);
    return false;
  }
  if (!this->Enabled) {
    return false;
  }
  const auto [found, isNew] = this->Groups.try_emplace(group);
  Signs& signs = found->second;
  if (isNew) {
    signs.Wanted = kUnconnectedForGroup - 1;
    signs.NextProbeAt = now + kGroupProbeEvery;
  }
  signs.Unconnected.insert(backend);
  signs.Until = now + kGroupSilentFor;
  return signs.Members.empty() &&
    signs.Unconnected.size() >= kUnconnectedForGroup;
}

void SilentGroups::OnNotice(const BackendGroup& group, Time now)
{
  const auto noticed = this->NoticedAt.find(group);
  const bool isEarly = noticed != this->NoticedAt.end() &&
    now - noticed->second < kGroupNoticeEvery;
  if (!this->Enabled || this->Groups.contains(group) || isEarly) {
    return;
  }
  this->NoticedAt[group] = now;
  ++this->Counters.Notices;
  Signs& signs = this->Groups[group];
  signs.Wanted = kUnconnectedForGroup;
  signs.Until = now + kGroupSilentFor;
}

void SilentGroups::Mark(const BackendGroup& group,
                        const std::vector<BackendId>& members,
                        Time now)
{
  Signs& signs = this->Groups[group];
  signs.Members.insert(members.begin(), members.end());
  signs.Until = now + kGroupSilentFor;
  ++this->Counters.Found;
  this->Found.push_back(group);
}

std::vector<GroupProbes> SilentGroups::TakeProbes(Time now)
{
  std::vector<GroupProbes> due;
  for (auto& [group, signs] : this->Groups) {
    std::size_t count = std::exchange(signs.Wanted, 0);
    if (count == 0 && !signs.Members.empty() && now >= signs.NextProbeAt) {
      count = 1;
      signs.NextProbeAt = now + kGroupProbeEvery;
    }
    if (count != 0) {
      this->Counters.Probes += count;
      due.push_back({ group, count });
    }
  }
  return due;
}

void SilentGroups::OnResume()
{
  this->Groups.clear();
}

void SilentGroups::Expire(Time now)
{
  std::erase_if(this->Groups,
                [now](const auto& item) { return item.second.Until <= now; });
  std::erase_if(this->NoticedAt, [now](const auto& item) {
    return now - item.second >= kGroupNoticeEvery;
  });
}

std::size_t SilentGroups::CountSilent(Time now) const
{
  return static_cast<std::size_t>(std::count_if(
    this->Groups.begin(), this->Groups.end(), [now](const auto& item) {
      return !item.second.Members.empty() && now < item.second.Until;
    }));
}

std::vector<BackendGroup> SilentGroups::TakeFound()
{
  return std::exchange(this->Found, {});
}

} // namespace cobaltgauge::core
