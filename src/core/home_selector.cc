#include "core/home_selector.h"

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

std::uint64_t scoreOf(std::uint64_t key, MemberId member) {
  return mixHash(key, static_cast<std::uint64_t>(member));
}

}  // namespace

OwnerRanking::OwnerRanking(const ShardKey& key)
    : seed_((static_cast<std::uint64_t>(key.service) << 16U) | key.shard) {}

void OwnerRanking::add(MemberId member) {
  const std::uint64_t score = scoreOf(seed_, member);
  if (owners_.home == kNoMember || score > homeScore_) {
    owners_.replica = owners_.home;
    replicaScore_ = homeScore_;
    owners_.home = member;
    homeScore_ = score;
  } else if (owners_.replica == kNoMember || score > replicaScore_) {
    owners_.replica = member;
    replicaScore_ = score;
  }
}

OwnerRanking rankOwners(const ShardKey& key, const std::vector<MemberId>& eligible) {
  OwnerRanking ranking(key);
  for (const MemberId member : eligible) {
    ranking.add(member);
  }
  return ranking;
}

bool isAmongTopRanked(std::uint64_t key, MemberId member, const std::vector<MemberId>& eligible,
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
