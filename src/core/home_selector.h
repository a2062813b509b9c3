/// @file
/// Selects the owners of a shard by rendezvous hashing (Thaler and Ravishankar, 1998): the home,
/// which decides unknown flows, and the replica, which holds a copy of the home's records.
#pragma once

#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// Identifies one shard of one service.
struct ShardKey {
  ServiceId service{0};
  std::uint16_t shard = 0;

  auto operator<=>(const ShardKey&) const = default;
};

/// Home and replica of a shard; kNoMember if the fleet is too small.
struct ShardOwners {
  MemberId home = kNoMember;
  MemberId replica = kNoMember;

  bool operator==(const ShardOwners&) const = default;
};

/// The two highest-scored daemons of a shard with their scores, so that a joining daemon need not
/// be compared with the whole fleet.
class OwnerRanking {
 public:
  explicit OwnerRanking(const ShardKey& key);

  /// Adds a candidate.
  void add(MemberId member);
  const ShardOwners& owners() const { return owners_; }
  /// @return true if the daemon is the home or the replica; the ranking must be rebuilt if it
  /// fails.
  bool isOwner(MemberId member) const {
    return member == owners_.home || member == owners_.replica;
  }

 private:
  std::uint64_t seed_;
  ShardOwners owners_;
  std::uint64_t homeScore_ = 0;
  std::uint64_t replicaScore_ = 0;
};

/// @param eligible the daemons that may own a shard.
/// @return the ranking of a shard over all eligible daemons.
OwnerRanking rankOwners(const ShardKey& key, const std::vector<MemberId>& eligible);

/// @return true if `member` has one of the `count` highest scores of `eligible` for the key.
bool isAmongTopRanked(std::uint64_t key, MemberId member, const std::vector<MemberId>& eligible,
                      std::size_t count);

}  // namespace cobaltgauge::core
