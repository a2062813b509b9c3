/// @file
/// Transfer of flow records: listings, copies and handovers.
#include "core/constants.h"
#include "core/hashing.h"
#include "core/shard_homes.h"

namespace cobaltgauge::core {

ShardHomes::Report ShardHomes::fullReport(const ServicePlacement& placement) {
  Report report;
  report.placement = &placement;
  return report;
}

ShardHomes::Reports ShardHomes::reportsOn(const std::vector<ShardKey>& shards,
                                          const PlacementMap& placements, MemberId receiver) {
  Reports reports;
  for (const ShardKey& key : shards) {
    const auto placement = placements.find(key.service);
    if (placement == placements.end() || key.shard >= kShardCount) {
      continue;
    }
    const auto [report, isNew] = reports.try_emplace(key.service, fullReport(placement->second));
    if (isNew) {
      report->second.shards.reset();
      report->second.receiver = receiver;
    }
    report->second.shards.set(key.shard);
  }
  return reports;
}

void ShardHomes::reportAll(const PlacementMap& placements, Time now) {
  Reports reports;
  for (const auto& [service, placement] : placements) {
    reports.emplace(service, fullReport(placement));
  }
  reportFlows(reports, now);
}

void ShardHomes::reportFlows(const Reports& reports, Time now) {
  std::map<ShardKey, std::vector<FlowRecord>> lists;
  flows_.forEach(now, [&reports, &lists](const FlowEntry& entry) {
    const auto report = reports.find(entry.service);
    if (report == reports.end()) {
      return;
    }
    const std::size_t bucket = bucketOf(entry.fingerprint);
    const auto shard = static_cast<std::uint16_t>(shardOf(bucket));
    const bool listed = report->second.buckets[bucket] && report->second.shards[shard] &&
                        report->second.placement->needsRecord(bucket, entry.backend);
    if (listed) {
      lists[{entry.service, shard}].push_back({entry.fingerprint, entry.backend});
    }
  });
  for (const auto& [service, report] : reports) {
    const ConfigurationVersion version = report.placement->version();
    for (std::uint16_t shard = 0; shard < kShardCount; ++shard) {
      const ShardKey key{service, shard};
      const MemberId receiver = report.receiver == kNoMember ? owners(key).home : report.receiver;
      if (!report.shards[shard] || receiver == kNoMember) {
        continue;
      }
      if (receiver == membership_.self().id) {
        record(key, version, lists[key], now);
      } else {
        transfers_.send(receiver, {report.purpose, key, version}, lists[key], now);
      }
    }
  }
}

void ShardHomes::sendAllRecords(MemberId to, RecordPurpose purpose, const ShardKey& key,
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
  const std::set<MemberId> members = reportingMembers();
  for (const ShardKey& key : shards) {
    const auto placement = placements.find(key.service);
    if (placement != placements.end()) {
      states_[key].awaitListing(members, placement->second.movedVersion(), now + kListingTimeout);
    }
  }
  reportFlows(reportsOn(shards, placements, membership_.self().id), now);
  sendListingRequest(members, shards);
}

void ShardHomes::sendListingRequest(const std::set<MemberId>& members,
                                    const std::vector<ShardKey>& shards) {
  for (const MemberId id : members) {
    const Member* member = membership_.members().find(id);
    if (member != nullptr) {
      outbox_.send(id, member->identity.control, ListingRequest{shards});
    }
  }
}

void ShardHomes::resendListingRequests(Time now) {
  if (now < nextListingResend_) {
    return;
  }
  nextListingResend_ = now + kResendInterval;
  std::map<MemberId, std::vector<ShardKey>> pending;
  for (const auto& [key, shard] : states_) {
    for (const MemberId member : shard.missingListings(now)) {
      pending[member].push_back(key);
    }
  }
  for (const auto& [member, shards] : pending) {
    sendListingRequest({member}, shards);
  }
}

void ShardHomes::onListingRequest(MemberId from, const ListingRequest& request,
                                  const PlacementMap& placements, Time now) {
  // Reply to the requester: this daemon may not know yet that the requester is the home.
  reportFlows(reportsOn(request.shards, placements, from), now);
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
  if (transfers_.addBatch(from, message, now)) {
    onTransferComplete(from, message, placements, now);
  }
}

void ShardHomes::onTransferComplete(MemberId from, const RecordsMessage& message,
                                    const PlacementMap& placements, Time now) {
  ShardState& shard = states_[message.shard];
  switch (message.purpose) {
    case RecordPurpose::kListing:
    case RecordPurpose::kFullListing:
      shard.onReport(from, message.version, message.purpose == RecordPurpose::kFullListing);
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
  // A former home with an older version has no records of flows in buckets that moved since.
  const bool senderIsBehind =
      placement != placements.end() && message.version < placement->second.movedVersion();
  if (!message.authoritative || senderIsBehind) {
    shardsToList_.push_back(message.shard);
    return;
  }
  const Duration remaining = std::chrono::milliseconds(message.windowMs);
  shard.adoptWindow(message.version, now, remaining);
  shard.setComplete(message.version);
  if (remaining > Duration::zero() && !shard.windowOpen(now)) {
    shard.awaitReports({from}, now + remaining);
  }
}

std::optional<BackendId> ShardHomes::findRecord(const ShardKey& key,
                                                FlowFingerprint fingerprint) const {
  const auto it = states_.find(key);
  return it == states_.end() ? std::nullopt : it->second.find(fingerprint);
}

}  // namespace cobaltgauge::core
