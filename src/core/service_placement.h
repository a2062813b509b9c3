/// @file
/// Which back end each bucket of one service gives to new flows, and which buckets may still hold
/// flows that were placed by an earlier version.
#pragma once

#include <array>
#include <bitset>
#include <cstdint>
#include <vector>

#include "core/configuration.h"
#include "core/constants.h"
#include "core/shard_listing.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Dirty buckets of one shard, four words of 64 buckets.
using ShardBitmap = std::array<std::uint64_t, kBucketsPerShard / 64>;

/// Placement of one service. A bucket is *settled* when every flow in it belongs to the current
/// back end, so that any daemon may forward an unknown flow at once. Otherwise the bucket's home
/// daemon decides unknown flows.
class ServicePlacement {
 public:
  /// Starts with every bucket unsettled: a daemon that joins knows no flow of the past.
  explicit ServicePlacement(ServiceId service);

  /// Takes the back ends of a new configuration version. Buckets whose back end changes become
  /// unsettled and remember the earlier back end.
  /// @param skipped true where this daemon never applied the version before this one: a bucket
  ///   may have moved there and back, so every bucket counts as moved.
  /// @return the buckets that moved, as a set.
  std::bitset<kBucketCount> apply(const Service& service, ConfigurationVersion version, Time now,
                                  bool skipped = false);

  ServiceId service() const { return service_; }
  ConfigurationVersion version() const { return version_; }
  BackendId current(std::size_t bucket) const { return current_[bucket]; }
  /// @return the back end before the last change of placement, kNoBackend where that change did
  /// not move the bucket.
  BackendId previous(std::size_t bucket) const {
    return lastMoved_[bucket] ? previous_[bucket] : kNoBackend;
  }
  bool isSettled(std::size_t bucket) const { return settled_[bucket] && !tracked_; }
  /// @return true where an unknown flow certainly belongs to the current back end: its bucket is
  /// settled, or the shard's recorded flows are known and this is none of them.
  bool followsTable(std::size_t bucket, FlowFingerprint fingerprint) const;
  /// @return true where the service wants every flow recorded at its home.
  bool isTracked() const { return tracked_; }
  /// @return true where a flow on this back end is not found by the bucket alone.
  bool needsRecord(std::size_t bucket, BackendId backend) const {
    return tracked_ || current_[bucket] != backend;
  }
  /// @return true where the last move hides versions whose back ends are not known here.
  bool skippedVersions() const { return skipped_; }

  /// Other zones became unreachable: remembers the present table, which their flows follow.
  void beginPartition();
  /// The other zones are back and have listed their flows.
  void endPartition();
  /// @return the back end of the bucket's flows in unreachable zones, kNoBackend where it is the
  /// current one or no zone is unreachable.
  BackendId partitionedBackend(std::size_t bucket) const;

  /// When buckets last moved, and whether they ever did.
  Time movedAt() const { return movedAt_; }
  bool hasMoved() const { return hasMoved_; }
  /// @return true where reports of the last move may still be on their way between owners.
  bool movedRecently(Time now) const { return hasMoved_ && now - movedAt_ < kRecentMove; }
  /// Version at which buckets last moved; the first version that this daemon held if none did.
  ConfigurationVersion movedVersion() const { return movedVersion_; }
  std::size_t settledCount() const { return settled_.count(); }

  /// Declares every bucket settled; for the first daemons of a fleet, which have no past.
  void settleAll() { settled_.set(); }

  /// Takes a home's word on one shard: buckets not in `dirty` are settled.
  void settleShard(std::size_t shard, const ShardBitmap& dirty);

  /// Takes a home's word on one shard: only these flows do not follow the table.
  void listShard(std::size_t shard, ShardListing flows);
  /// @return true where the recorded flows of the bucket's shard are known.
  bool isListed(std::size_t bucket) const { return listedBuckets_[bucket]; }

  /// Marks every bucket that ever moved here as unsettled, after a member returned that may know
  /// flows of its time apart.
  void unsettleMovedBuckets();

 private:
  ServiceId service_;
  ConfigurationVersion version_ = 0;
  std::vector<BackendId> current_;
  std::vector<BackendId> previous_;
  void unsettle(std::size_t bucket);
  void unsettleAll();

  std::bitset<kBucketCount> settled_;
  /// Buckets whose recorded flows are in `listings_`, as their home listed them.
  std::bitset<kBucketCount> listedBuckets_;
  std::array<ShardListing, kShardCount> listings_;
  std::bitset<kBucketCount> lastMoved_;
  std::vector<BackendId> tableBeforePartition_;
  bool skipped_ = false;
  bool tracked_ = false;
  bool hasMoved_ = false;
  Time movedAt_{};
  ConfigurationVersion movedVersion_ = 0;
};

}  // namespace cobaltgauge::core
