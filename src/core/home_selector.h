/// @file
/// Chooses, by rendezvous hashing (Thaler and Ravishankar, 1998), the daemon that decides unknown
/// flows of a shard (its home) and the daemon that holds a copy of its records (the replica).
#pragma once

#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// Identity of one shard of one service.
struct ShardKey {
  ServiceId service{0};
  std::uint16_t shard = 0;

  auto operator<=>(const ShardKey&) const = default;
};

/// Home and replica of a shard; kNoMember where the fleet is too small.
struct ShardOwners {
  MemberId home = kNoMember;
  MemberId replica = kNoMember;

  bool operator==(const ShardOwners&) const = default;
};

/// The two best daemons of a shard with their hashes, so that a daemon that joins is compared with
/// two others instead of the whole fleet.
class OwnerRanking {
 public:
  explicit OwnerRanking(const ShardKey& key);

  /// Takes one more daemon into account.
  void add(MemberId member);
  const ShardOwners& owners() const { return owners_; }
  /// @return true where the daemon is home or replica, so that its loss needs a new ranking.
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
/// @return the ranking of a shard over all of them.
OwnerRanking rankOwners(const ShardKey& key, const std::vector<MemberId>& eligible);

/// @return true where `member` is among the `count` highest of `eligible` for the key.
bool isAmongTopRanked(std::uint64_t key, MemberId member, const std::vector<MemberId>& eligible,
                      std::size_t count);

}  // namespace cobaltgauge::core
