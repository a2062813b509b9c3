/// @file
/// Ownership of shards: who owns what, and what happens when that changes.
#include "core/shard_homes.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// A former home goes on deciding this long, since not every peer knows the new one yet.
constexpr Duration kRetireDelay = 500ms;
/// State of shards that this daemon no longer owns is dropped after this time.
constexpr Duration kFormerStateMemory = 30s;
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
  const auto it = owners_.find(key);
  return it == owners_.end() ? ShardOwners{} : it->second;
}

bool ShardHomes::isHome(const ShardKey& key) const {
  return owners(key).home == membership_.self().id;
}

bool ShardHomes::owns(const ShardKey& key) const {
  return isHome(key) || owners(key).replica == membership_.self().id;
}

MemberId ShardHomes::ownerToAsk(const ShardKey& key) const {
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

void ShardHomes::onEligibleChanged(const std::vector<MemberId>& eligible,
                                   const PlacementMap& placements, Time now) {
  std::map<ShardKey, ShardOwners> next;
  for (const auto& [service, placement] : placements) {
    for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
      const ShardKey key{service, shard};
      next[key] = selectOwners(key, eligible);
    }
  }
  const std::map<ShardKey, ShardOwners> previous = std::exchange(owners_, std::move(next));
  for (const auto& [key, after] : owners_) {
    const auto before = previous.find(key);
    const ShardOwners earlier = before == previous.end() ? ShardOwners{} : before->second;
    if (!(earlier == after)) {
      onOwnersChanged(key, earlier, after, placements.at(key.service), now);
    }
  }
  requestListings(std::exchange(listingsNeeded_, {}), placements, now);
}

void ShardHomes::onOwnersChanged(const ShardKey& key, const ShardOwners& before,
                                 const ShardOwners& after, const ServicePlacement& placement,
                                 Time now) {
  const MemberId self = membership_.self().id;
  const bool wasHome = before.home == self;
  const bool becomesReplica = after.replica == self && before.replica != self;
  if (wasHome && after.home != self && after.home != kNoMember) {
    sendAll(after.home, RecordPurpose::kHandover, key, placement, now);
    states_[key].ownedUntil = now + kRetireDelay;
  }
  if (after.home == self && !wasHome) {
    becomeHome(key, before, placement, now);
  } else if (becomesReplica && !wasHome) {
    states_[key].setUnknown();  // Until the home's copy arrives.
  }
  if (after.home == self && after.replica != before.replica && after.replica != kNoMember) {
    sendAll(after.replica, RecordPurpose::kReplicaCopy, key, placement, now);
  }
}

void ShardHomes::becomeHome(const ShardKey& key, const ShardOwners& before,
                            const ServicePlacement& placement, Time now) {
  ShardState& shard = states_[key];
  shard.homeSince = now;
  if (before.home == kNoMember) {
    shard.setComplete(placement.version());
  } else if (isReachablePeer(before.home)) {
    shard.awaitHandover(before.home, now + kHandoverWait);
  } else if (!shard.isCompleteAt(placement.movedVersion()) || placement.movedRecently(now)) {
    listingsNeeded_.push_back(key);
  }
  const Time closesAt = placement.movedAt() + kListingWindow;
  if (placement.everMoved() && now < closesAt) {
    openWindow(key, placement.version(), closesAt);
  }
}

std::set<MemberId> ShardHomes::membersThatReport() const {
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
  states_[key].openWindow(version, closesAt, membersThatReport());
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
  reportFlows(placement, {RecordPurpose::kListing, moved, shards, kNoMember}, now);
}

void ShardHomes::onMembersReturned(const std::set<MemberId>& returned,
                                   const PlacementMap& placements, Time now) {
  for (auto& [key, shard] : states_) {
    if (owns(key)) {
      shard.hold(returned, now + kListingWait);
    }
  }
  reportAll(placements, now);
}

void ShardHomes::onResume(Time now) {
  for (const auto& [key, current] : owners_) {
    if (current.home == membership_.self().id && current.replica != kNoMember) {
      states_[key].awaitHandover(current.replica, now + kHandoverWait);
    } else if (current.replica == membership_.self().id) {
      states_[key].setUnknown();
    }
  }
}

void ShardHomes::onMemberGone(MemberId member) {
  for (auto& [key, shard] : states_) {
    shard.noteGone(member);
  }
}

void ShardHomes::onTick(const PlacementMap& placements, Time now) {
  for (const auto& [key, current] : owners_) {
    if (current.home == membership_.self().id && states_[key].handoverFailed(now)) {
      listingsNeeded_.push_back(key);
    }
  }
  requestListings(std::exchange(listingsNeeded_, {}), placements, now);
  repeatListingRequests(now);
  if (now < nextExpiry_) {
    return;
  }
  nextExpiry_ = now + kExpiryInterval;
  transfers_.forgetOld(now);
  for (auto& [key, shard] : states_) {
    shard.expire(now, recordIdle_);
  }
  std::erase_if(states_, [this, now](const auto& item) {
    return !owns(item.first) && now - item.second.ownedUntil > kFormerStateMemory;
  });
}

void ShardHomes::forgetBackend(BackendId backend) {
  for (auto& [key, shard] : states_) {
    shard.forgetBackend(backend);
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
