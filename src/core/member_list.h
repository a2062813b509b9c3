/// @file
/// What one daemon believes about its peers, and the order in which beliefs replace each other.
/// Holds state only; probing and gossip are in membership.h.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// One peer as this daemon sees it.
struct Member {
  MemberIdentity identity;
  MemberState state = MemberState::kJoining;
  std::uint32_t incarnation = 0;
  std::uint64_t process = 0;
  bool leaving = false;  ///< Announced a planned stop; stays set when it is suspected later.
  Time stateSince{};     ///< When the present state was learned.
};

/// What one accepted update changed.
struct MemberChange {
  MemberId id = kNoMember;
  MemberState before = MemberState::kDead;
  MemberState after = MemberState::kDead;
  bool isNew = false;
  bool restarted = false;  ///< Another process under the same name.
};

/// @return true where a member in this state can receive packets and messages.
bool isReachable(MemberState state);

class MemberList {
 public:
  /// Merges one update by (incarnation, state).
  /// @return the change, or nothing when the update is not newer than what is known.
  std::optional<MemberChange> merge(const MemberUpdate& update, Time now);

  const Member* find(MemberId id) const;
  /// Every member known, by id.
  const std::map<MemberId, Member>& all() const { return members_; }

  /// @return members that may own shards: alive or suspect, and not leaving.
  std::vector<MemberId> eligible() const;

  /// @return ids of members that can be reached, this daemon excluded.
  std::vector<MemberId> reachable() const;

  /// @return true where every member of some other zone is dead: a cut is more likely than so many
  /// failures at once.
  bool hasUnreachableZone(const std::string& ownZone) const;

  /// @return true where more members are dead than reachable: this daemon is likely on the smaller
  /// side of a cut.
  bool hasLostMajority() const;

  std::size_t suspectCount() const { return suspects_; }

  /// @return a hash over the reachable members; equal where two daemons know the same ones.
  std::uint64_t viewHash() const { return viewHash_; }

  /// Moves the time of every state change forward, after this process was suspended.
  void resetStateTimes(Time now);

  /// Forgets members that have been dead or gone for longer than kDeadMemberMemory.
  void removeExpired(Time now);

  static MemberUpdate toUpdate(const Member& member);

 private:
  void toggleInViewHash(const Member& member);

  std::map<MemberId, Member> members_;
  std::uint64_t viewHash_ = 0;
  std::size_t suspects_ = 0;
};

}  // namespace cobaltgauge::core
