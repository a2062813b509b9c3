/// @file
/// Movement of flow records: listings, copies and handovers.
#include <array>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/shard_homes.h"

namespace cobaltgauge::core {

void ShardHomes::reportAll(const PlacementMap& placements, Time now) {
  for (const auto& [service, placement] : placements) {
    reportFlows(placement, RecordPurpose::kFullListing, BucketSet{}.set(), ShardSet{}.set(), now);
  }
}

void ShardHomes::reportFlows(const ServicePlacement& placement, RecordPurpose purpose,
                             const BucketSet& buckets, const ShardSet& shards, Time now) {
  std::array<std::vector<FlowRecord>, kShardCount> lists;
  flows_.forEach(now, [&](const FlowEntry& entry) {
    const std::size_t bucket = bucketOf(entry.fingerprint);
    const bool listed = entry.service == placement.service() && buckets[bucket] &&
                        shards[shardOf(bucket)] && placement.needsRecord(bucket, entry.backend);
    if (listed) {
      lists[shardOf(bucket)].push_back({entry.fingerprint, entry.backend});
    }
  });
  for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
    const ShardKey key{placement.service(), shard};
    const MemberId home = owners(key).home;
    if (!shards[shard] || home == kNoMember) {
      continue;
    }
    if (home == membership_.self().id) {
      record(key, placement.version(), lists[shard], now);
    } else {
      transfers_.send(home, {purpose, key, placement.version()}, lists[shard], now);
    }
  }
}

void ShardHomes::sendAll(MemberId to, RecordPurpose purpose, const ShardKey& key,
                         const ServicePlacement& placement, Time now) {
  const ShardState& shard = states_[key];
  const TransferHeader header{purpose, key, placement.version(),
                              shard.authority() == Authority::kComplete,
                              shard.windowRemaining(now)};
  transfers_.send(to, header, shard.allRecords(), now);
}

void ShardHomes::requestListings(const std::vector<ShardKey>& shards,
                                 const PlacementMap& placements, Time now) {
  if (shards.empty()) {
    return;
  }
  const std::set<MemberId> members = membersThatReport();
  for (const ShardKey& key : shards) {
    const auto placement = placements.find(key.service);
    ShardSet own;
    own.set(key.shard);
    if (placement != placements.end()) {
      states_[key].awaitListing(members, placement->second.movedVersion(), now + kListingWait);
      reportFlows(placement->second, RecordPurpose::kFullListing, BucketSet{}.set(), own, now);
    }
  }
  for (const MemberId member : members) {
    const Endpoint& destination = membership_.members().find(member)->identity.control;
    outbox_.send(member, destination, ListingRequest{shards});
  }
}

void ShardHomes::onListingRequest(MemberId from, const ListingRequest& request,
                                  const PlacementMap& placements, Time now) {
  std::map<ServiceId, ShardSet> wanted;
  for (const ShardKey& key : request.shards) {
    if (key.shard < kShardCount) {
      wanted[key.service].set(key.shard);
    }
  }
  for (const auto& [service, shards] : wanted) {
    const auto placement = placements.find(service);
    if (placement != placements.end()) {
      reportFlows(placement->second, RecordPurpose::kFullListing, BucketSet{}.set(), shards, now);
    }
  }
  (void)from;
}

void ShardHomes::record(const ShardKey& key, ConfigurationVersion version,
                        const std::vector<FlowRecord>& records, Time now) {
  ShardState& shard = states_[key];
  std::vector<FlowRecord> added;
  for (const FlowRecord& flow : records) {
    if (shard.add(flow, now)) {
      added.push_back(flow);
    }
  }
  const ShardOwners current = owners(key);
  const MemberId other = isHome(key) ? current.replica : current.home;
  if (other != kNoMember && !added.empty()) {
    transfers_.send(other, {RecordPurpose::kReplica, key, version}, added, now);
  }
}

void ShardHomes::onRecords(MemberId from, const RecordsMessage& message,
                           const PlacementMap& placements, Time now) {
  const Member* sender = membership_.members().find(from);
  if (sender == nullptr || message.shard.shard >= kShardCount) {
    return;
  }
  outbox_.send(from, sender->identity.control, RecordsAck{message.id});
  for (const BackendAddress& backend : message.backends) {
    directory_.learn(backend, now);
  }
  std::vector<FlowRecord> usable;
  for (const FlowRecord& flow : message.records) {
    if (directory_.find(flow.backend) != nullptr) {
      usable.push_back(flow);
    }
  }
  ShardState& shard = states_[message.shard];
  if (!owns(message.shard) && shard.ownedUntil == Time{}) {
    shard.ownedUntil = now;
  }
  const bool fromIngress =
      message.purpose == RecordPurpose::kListing || message.purpose == RecordPurpose::kFullListing;
  if (fromIngress) {
    record(message.shard, message.version, usable, now);
  } else {
    for (const FlowRecord& flow : usable) {
      shard.add(flow, now);
    }
  }
  if (transfers_.noteBatch(from, message, now)) {
    onWholeTransfer(from, message, placements, now);
  }
}

void ShardHomes::onWholeTransfer(MemberId from, const RecordsMessage& message,
                                 const PlacementMap& placements, Time now) {
  ShardState& shard = states_[message.shard];
  switch (message.purpose) {
    case RecordPurpose::kListing:
    case RecordPurpose::kFullListing:
      shard.noteReport(from, message.version, message.purpose == RecordPurpose::kFullListing);
      break;
    case RecordPurpose::kReplicaCopy:
      if (message.authoritative && !isHome(message.shard)) {
        shard.setComplete(message.version);
      }
      break;
    case RecordPurpose::kHandover:
      onHandover(from, message, placements, now);
      break;
    case RecordPurpose::kReplica:
      break;
  }
}

void ShardHomes::onHandover(MemberId from, const RecordsMessage& message,
                            const PlacementMap& placements, Time now) {
  ShardState& shard = states_[message.shard];
  if (shard.authority() != Authority::kAwaitsHandover) {
    return;
  }
  const auto placement = placements.find(message.shard.service);
  // A former home that is behind could not know the flows of buckets that are yet to move.
  const bool senderIsBehind =
      placement != placements.end() && message.version < placement->second.movedVersion();
  if (!message.authoritative || senderIsBehind) {
    listingsNeeded_.push_back(message.shard);
    return;
  }
  shard.setComplete(message.version);
  if (message.windowMs > 0 && !shard.windowOpen(now)) {
    shard.hold({from}, now + std::chrono::milliseconds(message.windowMs));
  }
}

std::optional<BackendId> ShardHomes::findRecord(const ShardKey& key,
                                                FlowFingerprint fingerprint) const {
  const auto it = states_.find(key);
  return it == states_.end() ? std::nullopt : it->second.find(fingerprint);
}

}  // namespace cobaltgauge::core
