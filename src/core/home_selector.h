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

/// @param eligible the daemons that may own a shard.
/// @return the two daemons with the highest hash for this shard.
ShardOwners selectOwners(const ShardKey& key, const std::vector<MemberId>& eligible);

/// @return true where `member` is among the `count` highest of `eligible` for the key.
bool isAmongHighest(std::uint64_t key, MemberId member, const std::vector<MemberId>& eligible,
                    std::size_t count);

}  // namespace cobaltgauge::core
