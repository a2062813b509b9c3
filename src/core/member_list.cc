#include "core/member_list.h"

#include <algorithm>
#include <tuple>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Minimum number of dead members of a zone for a network partition to be assumed.
constexpr std::size_t kMinDeadMembersOfLostZone = 2;

bool supersedes(const MemberUpdate& update, const Member& known) {
  return std::tie(update.incarnation, update.state) > std::tie(known.incarnation, known.state);
}

}  // namespace

bool isReachable(MemberState state) {
  return state != MemberState::kDead && state != MemberState::kLeft;
}

std::optional<MemberChange> MemberList::merge(const MemberUpdate& update, Time now) {
  const auto [it, inserted] = members_.try_emplace(update.identity.id);
  Member& member = it->second;
  if (!inserted && !supersedes(update, member)) {
    return std::nullopt;
  }
  MemberChange change;
  change.id = update.identity.id;
  change.before = inserted ? MemberState::kDead : member.state;
  change.after = update.state;
  change.isNew = inserted;
  change.restarted = !inserted && member.process != update.process;
  const bool sameProcess = !inserted && !change.restarted;
  if (!inserted) {
    toggleInViewHash(member);
  }
  suspects_ -= !inserted && member.state == MemberState::kSuspect ? 1 : 0;
  suspects_ += update.state == MemberState::kSuspect ? 1 : 0;
  member.leaving = update.state == MemberState::kLeaving || (sameProcess && member.leaving);
  member.identity = update.identity;
  member.state = update.state;
  member.incarnation = update.incarnation;
  member.process = update.process;
  member.stateSince = now;
  toggleInViewHash(member);
  return change;
}

void MemberList::toggleInViewHash(const Member& member) {
  if (!isReachable(member.state)) {
    return;
  }
  const auto state = static_cast<std::uint64_t>(member.state);
  const std::uint64_t version = (std::uint64_t{member.incarnation} << 8U) | state;
  viewHash_ ^= mixHash(static_cast<std::uint64_t>(member.identity.id), version);
}

const Member* MemberList::find(MemberId id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<MemberId> MemberList::eligible() const {
  std::vector<MemberId> result;
  for (const auto& [id, member] : members_) {
    const bool serving =
        member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
    if (serving && !member.leaving) {
      result.push_back(id);
    }
  }
  return result;
}

std::vector<MemberId> MemberList::reachable() const {
  std::vector<MemberId> result;
  for (const auto& [id, member] : members_) {
    if (isReachable(member.state)) {
      result.push_back(id);
    }
  }
  return result;
}

bool MemberList::hasUnreachableZone(const std::string& ownZone) const {
  struct ZoneCount {
    std::size_t reachable = 0;
    std::size_t dead = 0;
  };
  std::map<std::string, ZoneCount> zones;
  for (const auto& [id, member] : members_) {
    ZoneCount& zone = zones[member.identity.zone];
    zone.reachable += isReachable(member.state) ? 1 : 0;
    zone.dead += member.state == MemberState::kDead ? 1 : 0;
  }
  zones.erase(ownZone);
  return std::any_of(zones.begin(), zones.end(), [](const auto& item) {
    return item.second.reachable == 0 && item.second.dead >= kMinDeadMembersOfLostZone;
  });
}

bool MemberList::hasLostMajority() const {
  const auto dead = std::count_if(members_.begin(), members_.end(), [](const auto& item) {
    return item.second.state == MemberState::kDead;
  });
  return static_cast<std::size_t>(dead) > reachable().size();
}

void MemberList::resetStateTimes(Time now) {
  for (auto& [id, member] : members_) {
    member.stateSince = now;
  }
}

void MemberList::removeExpired(Time now) {
  std::erase_if(members_, [now](const auto& item) {
    const Member& member = item.second;
    return !isReachable(member.state) && now - member.stateSince > kDeadMemberRetention;
  });
}

MemberUpdate MemberList::toUpdate(const Member& member) {
  return {member.identity, member.state, member.incarnation, member.process};
}

}  // namespace cobaltgauge::core
