#include "core/home_selector.h"

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

std::uint64_t scoreOf(std::uint64_t key, MemberId member) {
  return mixHash(key, static_cast<std::uint64_t>(member));
}

}  // namespace

ShardOwners selectOwners(const ShardKey& key, const std::vector<MemberId>& eligible) {
  const std::uint64_t seed = (static_cast<std::uint64_t>(key.service) << 16U) | key.shard;
  ShardOwners owners;
  std::uint64_t homeScore = 0;
  std::uint64_t replicaScore = 0;
  for (const MemberId member : eligible) {
    const std::uint64_t score = scoreOf(seed, member);
    if (owners.home == kNoMember || score > homeScore) {
      owners.replica = owners.home;
      replicaScore = homeScore;
      owners.home = member;
      homeScore = score;
    } else if (owners.replica == kNoMember || score > replicaScore) {
      owners.replica = member;
      replicaScore = score;
    }
  }
  return owners;
}

bool isAmongHighest(std::uint64_t key, MemberId member, const std::vector<MemberId>& eligible,
                    std::size_t count) {
  const std::uint64_t own = scoreOf(key, member);
  std::size_t above = 0;
  for (const MemberId other : eligible) {
    if (other != member && scoreOf(key, other) > own) {
      ++above;
    }
  }
  return above < count;
}

}  // namespace cobaltgauge::core
