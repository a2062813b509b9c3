#include "core/service_placement.h"

#include <algorithm>

#include "core/hashing.h"
#include "core/maglev_table.h"

namespace cobaltgauge::core {
namespace {

std::vector<WeightedBackend> eligibleBackends(const Service& service) {
  std::vector<WeightedBackend> eligible;
  for (const Backend& backend : service.backends) {
    if (backend.state == BackendState::kActive && backend.weight > 0) {
      eligible.push_back({backend.address.id, backend.weight});
    }
  }
  return eligible;
}

}  // namespace

ServicePlacement::ServicePlacement(ServiceId service)
    : service_(service), current_(kBucketCount, kNoBackend), previous_(kBucketCount, kNoBackend) {}

std::bitset<kBucketCount> ServicePlacement::apply(const Service& service,
                                                  ConfigurationVersion version, Time now,
                                                  bool skipped) {
  std::bitset<kBucketCount> moved;
  std::vector<BackendId> next = buildMaglevTable(eligibleBackends(service));
  const bool first = version_ == 0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (next[bucket] == current_[bucket]) {
      continue;
    }
    if (!first) {
      moved.set(bucket);
      unsettle(bucket);
      if (current_[bucket] != kNoBackend) {
        previous_[bucket] = current_[bucket];
      }
    }
  }
  // Flows that were opened before tracking began must be listed once.
  const bool trackingBegins = !first && service.tracked && !tracked_;
  skipped_ = skipped && !first;
  if (trackingBegins || skipped_) {
    moved.set();
    unsettleAll();
  }
  if (first) {
    movedVersion_ = version;
  }
  if (moved.any()) {
    movedVersion_ = version;
    movedAt_ = now;
    lastMoved_ = moved;
    hasMoved_ = true;
  }
  tracked_ = service.tracked;
  current_ = std::move(next);
  version_ = version;
  return moved;
}

void ServicePlacement::settleShard(std::size_t shard, const ShardBitmap& dirty) {
  for (std::size_t index = 0; index < kBucketsPerShard; ++index) {
    const bool isDirty = ((dirty[index / 64] >> (index % 64)) & 1U) != 0;
    settled_.set(shard * kBucketsPerShard + index, !isDirty);
  }
}

void ServicePlacement::unsettle(std::size_t bucket) {
  settled_.reset(bucket);
  listedBuckets_.reset(bucket);
}

void ServicePlacement::unsettleAll() {
  settled_.reset();
  listedBuckets_.reset();
}

void ServicePlacement::listShard(std::size_t shard, ShardListing flows) {
  for (std::size_t index = 0; index < kBucketsPerShard; ++index) {
    listedBuckets_.set(shard * kBucketsPerShard + index);
  }
  listings_[shard] = std::move(flows);
}

bool ServicePlacement::followsTable(std::size_t bucket, FlowFingerprint fingerprint) const {
  if (tracked_) {
    return false;
  }
  if (settled_[bucket]) {
    return true;
  }
  const ShardListing& listing = listings_[shardOf(bucket)];
  return listedBuckets_[bucket] &&
         !std::binary_search(listing.begin(), listing.end(), compactFlowIdOf(fingerprint));
}

void ServicePlacement::beginPartition() {
  if (tableBeforePartition_.empty()) {
    tableBeforePartition_ = current_;
  }
}

void ServicePlacement::endPartition() {
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (partitionedBackend(bucket) != kNoBackend) {
      unsettle(bucket);
    }
  }
  tableBeforePartition_.clear();
}

BackendId ServicePlacement::partitionedBackend(std::size_t bucket) const {
  const bool differs =
      !tableBeforePartition_.empty() && tableBeforePartition_[bucket] != current_[bucket];
  return differs ? tableBeforePartition_[bucket] : kNoBackend;
}

void ServicePlacement::unsettleMovedBuckets() {
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    if (previous_[bucket] != kNoBackend) {
      unsettle(bucket);
    }
  }
}

}  // namespace cobaltgauge::core
