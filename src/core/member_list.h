/// @file
/// Member states as known to one daemon, and the precedence of updates. Probing and gossip are in
/// membership.h.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// One known member.
struct Member {
  MemberIdentity identity;
  MemberState state = MemberState::kJoining;
  std::uint32_t incarnation = 0;
  std::uint64_t process = 0;
  bool leaving = false;  ///< Announced a planned stop; stays set if it is suspected later.
  Time stateSince{};     ///< When the current state was learned.
};

/// Change caused by one accepted update.
struct MemberChange {
  MemberId id = kNoMember;
  MemberState before = MemberState::kDead;
  MemberState after = MemberState::kDead;
  bool isNew = false;
  bool restarted = false;  ///< A different process with the same name.
};

/// @return true if a member in this state can receive packets and messages.
bool isReachable(MemberState state);

class MemberList {
 public:
  /// Merges an update; the higher (incarnation, state) wins.
  /// @return the change, or std::nullopt if the update is not newer than the known state.
  std::optional<MemberChange> merge(const MemberUpdate& update, Time now);

  const Member* find(MemberId id) const;
  /// @return all known members by id, including this daemon.
  const std::map<MemberId, Member>& all() const { return members_; }

  /// @return the members that may own shards: alive or suspect, and not leaving.
  std::vector<MemberId> eligible() const;

  /// @return the reachable members, including this daemon.
  std::vector<MemberId> reachable() const;

  /// @return true if all members of another zone, and at least two, are dead: a network partition
  /// is more likely than simultaneous failures.
  bool hasUnreachableZone(const std::string& ownZone) const;

  /// @return true if more members are dead than reachable: this daemon is probably on the minority
  /// side of a network partition.
  bool hasLostMajority() const;

  std::size_t suspectCount() const { return suspects_; }

  /// @return a hash over the reachable members, their incarnations and states.
  std::uint64_t viewHash() const { return viewHash_; }

  /// Resets the time of every state change to `now`, after this process was suspended.
  void resetStateTimes(Time now);

  /// Removes members that have been dead or left for longer than kDeadMemberRetention.
  void removeExpired(Time now);

  static MemberUpdate toUpdate(const Member& member);

 private:
  void toggleInViewHash(const Member& member);

  std::map<MemberId, Member> members_;
  std::uint64_t viewHash_ = 0;
  std::size_t suspects_ = 0;
};

}  // namespace cobaltgauge::core
