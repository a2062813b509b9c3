/// @file
/// Ownership of shards and changes of owners.
#include "core/shard_homes.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// A former home continues to decide for this long, because some peers do not know the new home
/// yet.
constexpr Duration kFormerHomeDuration = 500ms;
/// Retention time of the state of shards that this daemon no longer owns.
constexpr Duration kFormerStateRetention = 30s;
constexpr Duration kExpiryInterval = 10s;

}  // namespace

ShardHomes::ShardHomes(const Membership& membership, BackendDirectory& directory,
                       const FlowTable& flows, Outbox& outbox)
    : membership_(membership),
      directory_(directory),
      flows_(flows),
      outbox_(outbox),
      transfers_(membership, directory, outbox) {}

ShardOwners ShardHomes::owners(const ShardKey& key) const {
  const auto it = rankings_.find(key);
  return it == rankings_.end() ? ShardOwners{} : it->second.owners();
}

bool ShardHomes::isHome(const ShardKey& key) const {
  return owners(key).home == membership_.self().id;
}

bool ShardHomes::owns(const ShardKey& key) const {
  return isHome(key) || owners(key).replica == membership_.self().id;
}

MemberId ShardHomes::ownerToQuery(const ShardKey& key) const {
  const ShardOwners current = owners(key);
  const Member* home = membership_.members().find(current.home);
  const bool suspect = home != nullptr && home->state == MemberState::kSuspect;
  return suspect && current.replica != kNoMember ? current.replica : current.home;
}

bool ShardHomes::mayDecide(const ShardKey& key, std::uint8_t hops, Time now) const {
  if (owns(key)) {
    return true;
  }
  const auto it = states_.find(key);
  return it != states_.end() && (now < it->second.ownedUntil || hops >= kMaxPeerHops);
}

bool ShardHomes::isReachablePeer(MemberId member) const {
  const Member* known = membership_.members().find(member);
  return known != nullptr && isReachable(known->state);
}

ShardOwners ShardHomes::updateRanking(const ShardKey& key, const std::vector<MemberId>& added,
                                      const std::vector<MemberId>& removed) {
  const auto known = rankings_.find(key);
  if (known == rankings_.end()) {
    rankings_.emplace(key, rankOwners(key, eligible_));
    return {};
  }
  OwnerRanking& ranking = known->second;
  const ShardOwners before = ranking.owners();
  const bool ownerRemoved =
      std::any_of(removed.begin(), removed.end(),
                  [&ranking](MemberId member) { return ranking.isOwner(member); });
  if (ownerRemoved) {
    ranking = rankOwners(key, eligible_);
    return before;
  }
  for (const MemberId member : added) {
    ranking.add(member);
  }
  return before;
}

void ShardHomes::onEligibleChanged(const std::vector<MemberId>& eligible,
                                   const PlacementMap& placements, Time now) {
  std::vector<MemberId> added;
  std::vector<MemberId> removed;
  std::set_difference(eligible.begin(), eligible.end(), eligible_.begin(), eligible_.end(),
                      std::back_inserter(added));
  std::set_difference(eligible_.begin(), eligible_.end(), eligible.begin(), eligible.end(),
                      std::back_inserter(removed));
  eligible_ = eligible;
  std::erase_if(rankings_, [&placements](const auto& item) {
    return !placements.contains(item.first.service);
  });
  for (const auto& [service, placement] : placements) {
    for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
      const ShardKey key{service, shard};
      const ShardOwners before = updateRanking(key, added, removed);
      const ShardOwners after = owners(key);
      if (!(before == after)) {
        onOwnersChanged(key, before, after, placement, now);
      }
    }
  }
  requestListings(std::exchange(shardsToList_, {}), placements, now);
}

void ShardHomes::onOwnersChanged(const ShardKey& key, const ShardOwners& before,
                                 const ShardOwners& after, const ServicePlacement& placement,
                                 Time now) {
  const MemberId self = membership_.self().id;
  const bool wasHome = before.home == self;
  const bool becomesReplica = after.replica == self && before.replica != self;
  if (wasHome && after.home != self && after.home != kNoMember) {
    sendAllRecords(after.home, RecordPurpose::kHandover, key, placement, now);
    states_[key].ownedUntil = now + kFormerHomeDuration;
  }
  if (after.home == self && !wasHome) {
    becomeHome(key, before, placement, now);
  } else if (becomesReplica && !wasHome) {
    states_[key].setUnknown();  // Until the copy of the home's records arrives.
  }
  if (after.home == self && after.replica != before.replica && after.replica != kNoMember) {
    sendAllRecords(after.replica, RecordPurpose::kReplicaCopy, key, placement, now);
  }
}

void ShardHomes::becomeHome(const ShardKey& key, const ShardOwners& before,
                            const ServicePlacement& placement, Time now) {
  ShardState& shard = states_[key];
  shard.homeSince = now;
  if (before.home == kNoMember) {
    shard.setComplete(placement.version());
  } else if (isReachablePeer(before.home)) {
    shard.awaitHandover(before.home, now + kHandoverTimeout);
  } else if (!shard.isCompleteAt(placement.movedVersion()) || placement.movedRecently(now)) {
    shardsToList_.push_back(key);
  }
  const Time closesAt = placement.movedAt() + kListingWindow;
  if (placement.hasMoved() && now < closesAt) {
    openWindow(key, placement.version(), closesAt);
  }
}

std::set<MemberId> ShardHomes::reportingMembers() const {
  std::set<MemberId> members;
  for (const MemberId id : membership_.members().reachable()) {
    const Member* member = membership_.members().find(id);
    if (id != membership_.self().id && member->state != MemberState::kJoining) {
      members.insert(id);
    }
  }
  return members;
}

void ShardHomes::openWindow(const ShardKey& key, ConfigurationVersion version, Time closesAt) {
  states_[key].openWindow(version, closesAt, reportingMembers());
}

void ShardHomes::onBucketsMoved(const ServicePlacement& placement, const BucketSet& moved,
                                Time now) {
  ShardSet shards;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (moved[bucket]) {
      shards.set(bucket / kBucketsPerShard);
    }
  }
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    const ShardKey key{placement.service(), shard};
    if (shards[shard] && owns(key)) {
      openWindow(key, placement.version(), now + kListingWindow);
    }
  }
  reportFlows(
      {{placement.service(), {&placement, RecordPurpose::kListing, moved, shards, kNoMember}}},
      now);
}

void ShardHomes::onMembersRejoined(const std::set<MemberId>& returned,
                                   const PlacementMap& placements, Time now) {
  for (auto& [key, shard] : states_) {
    if (owns(key)) {
      shard.awaitReports(returned, now + kListingTimeout);
    }
  }
  reportAll(placements, now);
}

void ShardHomes::onResume(Time now) {
  for (const auto& [key, ranking] : rankings_) {
    const ShardOwners& current = ranking.owners();
    if (current.home == membership_.self().id && current.replica != kNoMember) {
      states_[key].awaitHandover(current.replica, now + kHandoverTimeout);
    } else if (current.replica == membership_.self().id) {
      states_[key].setUnknown();
    }
  }
}

void ShardHomes::onMemberUnreachable(MemberId member) {
  for (auto& [key, shard] : states_) {
    shard.onMemberUnreachable(member);
  }
}

void ShardHomes::onTick(const PlacementMap& placements, Time now) {
  for (const auto& [key, shard] : states_) {
    if (isHome(key) && shard.handoverFailed(now)) {
      shardsToList_.push_back(key);
    }
  }
  requestListings(std::exchange(shardsToList_, {}), placements, now);
  resendListingRequests(now);
  if (now < nextExpiry_) {
    return;
  }
  nextExpiry_ = now + kExpiryInterval;
  transfers_.removeExpired(now);
  for (auto& [key, shard] : states_) {
    shard.expire(now, recordIdleTimeout_);
  }
  std::erase_if(states_, [this, now](const auto& item) {
    return !owns(item.first) && now - item.second.ownedUntil > kFormerStateRetention;
  });
}

void ShardHomes::removeBackend(BackendId backend) {
  for (auto& [key, shard] : states_) {
    shard.removeBackend(backend);
  }
}

bool ShardHomes::isHomeSince(const ShardKey& key, Duration span, Time now) const {
  const auto it = states_.find(key);
  return isHome(key) && it != states_.end() && now - it->second.homeSince >= span;
}

std::size_t ShardHomes::recordCount() const {
  std::size_t count = 0;
  for (const auto& [key, shard] : states_) {
    count += shard.recordCount();
  }
  return count;
}

}  // namespace cobaltgauge::core
