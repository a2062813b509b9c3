#include "core/shard_homes.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// A former home goes on deciding this long, since not every peer knows the new one yet.
constexpr Duration kRetireDelay = 500ms;
/// State of shards that this daemon no longer owns is dropped after this time.
constexpr Duration kFormerStateMemory = 30s;
/// Reports sent this recently may have died with the home that acknowledged them.
constexpr Duration kRecentReport = 10s;
/// How long unknown flows wait for reports that nobody can be asked for by name.
constexpr Duration kHoldTime = 700ms;
constexpr Duration kExpiryInterval = 10s;

}  // namespace

ShardHomes::ShardHomes(const Membership& membership, BackendDirectory& directory,
                       const FlowTable& flows, Outbox& outbox)
    : membership_(membership), directory_(directory), flows_(flows), outbox_(outbox) {}

ShardOwners ShardHomes::owners(const ShardKey& key) const {
  const auto it = owners_.find(key);
  return it == owners_.end() ? ShardOwners{} : it->second;
}

bool ShardHomes::owns(const ShardKey& key) const {
  const ShardOwners current = owners(key);
  const MemberId self = membership_.self().id;
  return current.home == self || current.replica == self;
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
  eligible_ = eligible;
  std::map<ShardKey, ShardOwners> next;
  for (const auto& [service, placement] : placements) {
    for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
      const ShardKey key{service, shard};
      next[key] = selectOwners(key, eligible_);
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
}

void ShardHomes::onOwnersChanged(const ShardKey& key, const ShardOwners& before,
                                 const ShardOwners& after, const ServicePlacement& placement,
                                 Time now) {
  const MemberId self = membership_.self().id;
  const bool wasHome = before.home == self;
  if (wasHome && after.home != self && after.home != kNoMember) {
    ShardState& shard = states_[key];
    shard.ownedUntil = now + kRetireDelay;
    sendRecords(after.home, RecordPurpose::kHandover, key, placement.version(), shard.allRecords(),
                now);
  }
  if (after.home == self && !wasHome) {
    becomeHome(key, before, placement, now);
  }
  if (after.home == self && after.replica != before.replica && after.replica != kNoMember) {
    sendRecords(after.replica, RecordPurpose::kReplica, key, placement.version(),
                states_[key].allRecords(), now);
  }
  if (after.home != before.home && recordsMayBeLost(before, after, placement, now)) {
    std::bitset<kShardCount> shards;
    shards.set(key.shard);
    reportFlows(placement, BucketSet{}.set(), shards, now);
  }
}

bool ShardHomes::recordsMayBeLost(const ShardOwners& before, const ShardOwners& after,
                                  const ServicePlacement& placement, Time now) const {
  if (before.home == kNoMember || isReachablePeer(before.home)) {
    return false;
  }
  const bool recent = placement.version() != 0 && now - placement.movedAt() < kRecentReport;
  return after.home != before.replica || recent;
}

void ShardHomes::becomeHome(const ShardKey& key, const ShardOwners& before,
                            const ServicePlacement& placement, Time now) {
  ShardState& shard = states_[key];
  shard.homeSince = now;
  if (before.home != kNoMember && isReachablePeer(before.home)) {
    shard.awaitHandover(before.home, now + kHandoverWait);
  } else if (recordsMayBeLost(before, owners(key), placement, now)) {
    shard.hold(now + kHoldTime);
  }
  const Time closesAt = placement.movedAt() + kListingWindow;
  if (placement.everMoved() && now < closesAt) {
    openWindow(key, placement.version(), closesAt);
  }
}

void ShardHomes::openWindow(const ShardKey& key, ConfigurationVersion version, Time closesAt) {
  std::set<MemberId> awaited;
  for (const MemberId id : membership_.members().reachable()) {
    const Member* member = membership_.members().find(id);
    if (id != membership_.self().id && member->state != MemberState::kJoining) {
      awaited.insert(id);
    }
  }
  states_[key].openWindow(version, closesAt, std::move(awaited));
}

void ShardHomes::onBucketsMoved(const ServicePlacement& placement, const BucketSet& moved,
                                Time now) {
  std::bitset<kShardCount> shards;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (moved[bucket]) {
      shards.set(shardOf(bucket));
    }
  }
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    const ShardKey key{placement.service(), shard};
    if (shards[shard] && owns(key)) {
      openWindow(key, placement.version(), now + kListingWindow);
    }
  }
  reportFlows(placement, moved, shards, now);
}

void ShardHomes::reportFlows(const ServicePlacement& placement, const BucketSet& buckets,
                             const std::bitset<kShardCount>& shards, Time now) {
  std::array<RecordList, kShardCount> lists;
  flows_.forEach(now, [&](const FlowEntry& entry) {
    const std::size_t bucket = bucketOf(entry.fingerprint);
    const bool listed = entry.service == placement.service() && buckets[bucket] &&
                        shards[shardOf(bucket)] && placement.needsRecord(bucket, entry.backend);
    if (listed) {
      lists[shardOf(bucket)].push_back({entry.fingerprint, entry.backend});
    }
  });
  const MemberId self = membership_.self().id;
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    const ShardKey key{placement.service(), shard};
    if (!shards[shard]) {
      continue;
    }
    const ShardOwners current = owners(key);
    if (current.home == self) {
      record(key, placement.version(), lists[shard], now);
    } else if (current.home != kNoMember) {
      sendRecords(current.home, RecordPurpose::kListing, key, placement.version(), lists[shard],
                  now);
    }
  }
}

void ShardHomes::sendRecords(MemberId to, RecordPurpose purpose, const ShardKey& key,
                             ConfigurationVersion version, const RecordList& records, Time now) {
  const Member* receiver = membership_.members().find(to);
  if (receiver == nullptr) {
    return;
  }
  std::size_t sent = 0;
  do {
    RecordsMessage message;
    message.purpose = purpose;
    message.shard = key;
    message.version = version;
    std::set<BackendId> named;
    while (sent < records.size() && message.records.size() < kMaxRecordsPerMessage) {
      const FlowRecord& flow = records[sent++];
      const BackendAddress* address = directory_.find(flow.backend);
      if (address == nullptr) {
        continue;
      }
      message.records.push_back(flow);
      if (named.insert(flow.backend).second) {
        message.backends.push_back(*address);
      }
    }
    message.complete = sent == records.size();
    outbox_.sendReliably(to, receiver->identity.control, std::move(message), now);
  } while (sent < records.size());
}

void ShardHomes::record(const ShardKey& key, ConfigurationVersion version,
                        const RecordList& records, Time now) {
  ShardState& shard = states_[key];
  RecordList added;
  for (const FlowRecord& flow : records) {
    if (shard.add(flow, now)) {
      added.push_back(flow);
    }
  }
  const ShardOwners current = owners(key);
  const bool isHome = current.home == membership_.self().id;
  const MemberId other = isHome ? current.replica : current.home;
  if (other != kNoMember && !added.empty()) {
    sendRecords(other, RecordPurpose::kReplica, key, version, added, now);
  }
}

std::optional<BackendId> ShardHomes::findRecord(const ShardKey& key,
                                                FlowFingerprint fingerprint) const {
  const auto it = states_.find(key);
  return it == states_.end() ? std::nullopt : it->second.find(fingerprint);
}

bool ShardHomes::isHomeSince(const ShardKey& key, Duration span, Time now) const {
  const auto it = states_.find(key);
  return owners(key).home == membership_.self().id && it != states_.end() &&
         now - it->second.homeSince >= span;
}

void ShardHomes::onRecords(MemberId from, const RecordsMessage& message, Time now) {
  const Member* sender = membership_.members().find(from);
  if (sender != nullptr) {
    outbox_.send(from, sender->identity.control, RecordsAck{message.id});
  }
  for (const BackendAddress& backend : message.backends) {
    directory_.learn(backend, now);
  }
  ShardState& shard = states_[message.shard];
  if (!owns(message.shard)) {
    shard.ownedUntil = now;
  }
  RecordList usable;
  for (const FlowRecord& flow : message.records) {
    if (directory_.find(flow.backend) != nullptr) {
      usable.push_back(flow);
    }
  }
  if (message.purpose == RecordPurpose::kListing) {
    record(message.shard, message.version, usable, now);
  } else {
    for (const FlowRecord& flow : usable) {
      shard.add(flow, now);
    }
  }
  if (!message.complete) {
    return;
  }
  if (message.purpose == RecordPurpose::kListing) {
    shard.noteReport(from, message.version);
  }
  if (message.purpose == RecordPurpose::kHandover) {
    shard.noteHandover();
  }
}

void ShardHomes::onMemberReturned(const PlacementMap& placements, Time now) {
  for (auto& [key, shard] : states_) {
    if (owns(key)) {
      shard.hold(now + kHoldTime);
    }
  }
  for (const auto& [service, placement] : placements) {
    reportFlows(placement, BucketSet{}.set(), std::bitset<kShardCount>{}.set(), now);
  }
}

void ShardHomes::onResume(Time now) {
  for (const auto& [key, current] : owners_) {
    if (current.home == membership_.self().id && current.replica != kNoMember) {
      states_[key].awaitHandover(current.replica, now + kHandoverWait);
    }
  }
}

void ShardHomes::onMemberGone(MemberId member) {
  for (auto& [key, shard] : states_) {
    shard.noteGone(member);
  }
}

void ShardHomes::onTick(Time now) {
  if (now < nextExpiry_) {
    return;
  }
  nextExpiry_ = now + kExpiryInterval;
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

std::size_t ShardHomes::recordCount() const {
  std::size_t count = 0;
  for (const auto& [key, shard] : states_) {
    count += shard.recordCount();
  }
  return count;
}

}  // namespace cobaltgauge::core
