/// @file
/// Backend of each bucket of one service for new flows, and which buckets may still have flows that
/// were placed by an earlier version.
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

/// Bitmap of the dirty buckets of one shard.
using ShardBitmap = std::array<std::uint64_t, kBucketsPerShard / 64>;

/// Placement of one service. A bucket is settled if all its flows use the current backend; then any
/// daemon may forward an unknown flow. Otherwise the home of the bucket's shard decides.
class ServicePlacement {
 public:
  /// All buckets are unsettled initially: a joining daemon knows no earlier flows.
  explicit ServicePlacement(ServiceId service);

  /// Applies a configuration version. Buckets whose backend changes become unsettled and keep their
  /// previous backend.
  /// @param skipped true if this daemon did not apply the preceding version. Every bucket counts as
  ///   moved then, because it may have moved and moved back.
  /// @return the buckets that moved.
  std::bitset<kBucketCount> apply(const Service& service, ConfigurationVersion version, Time now,
                                  bool skipped = false);

  ServiceId service() const { return service_; }
  ConfigurationVersion version() const { return version_; }
  BackendId current(std::size_t bucket) const { return current_[bucket]; }
  /// @return the backend before the last placement change; kNoBackend if that change did not move
  /// the bucket.
  BackendId previous(std::size_t bucket) const {
    return lastMoved_[bucket] ? previous_[bucket] : kNoBackend;
  }
  bool isSettled(std::size_t bucket) const { return settled_[bucket] && !tracked_; }
  /// @return true if an unknown flow uses the current backend: its bucket is settled, or the
  /// shard's recorded flows are known and do not include it.
  bool followsTable(std::size_t bucket, FlowFingerprint fingerprint) const;
  /// @return true if every flow of the service is recorded at its home.
  bool isTracked() const { return tracked_; }
  /// @return true if a flow on this backend must be recorded at its home.
  bool needsRecord(std::size_t bucket, BackendId backend) const {
    return tracked_ || current_[bucket] != backend;
  }
  /// @return true if the last change skipped versions, so that previous backends may be unknown.
  bool skippedVersions() const { return skipped_; }

  /// Call when other zones become unreachable: saves the current table, which their flows follow.
  void beginPartition();
  /// Call when all zones are reachable again: discards the saved table and unsettles the buckets
  /// that differ from it.
  void endPartition();
  /// @return the bucket's backend in the saved table; kNoBackend if it is the current backend or no
  /// zone is unreachable.
  BackendId partitionedBackend(std::size_t bucket) const;

  /// @return when buckets last moved; valid only if hasMoved().
  Time movedAt() const { return movedAt_; }
  bool hasMoved() const { return hasMoved_; }
  /// @return true if reports after the last move may not have been replicated yet.
  bool movedRecently(Time now) const { return hasMoved_ && now - movedAt_ < kRecentMoveWindow; }
  /// @return the version at which buckets last moved, or the first applied version if none did.
  ConfigurationVersion movedVersion() const { return movedVersion_; }
  std::size_t settledCount() const { return settled_.count(); }

  /// Marks every bucket as settled; used by the first daemon of a fleet.
  void settleAll() { settled_.set(); }

  /// Applies a home's hint for one shard: marks buckets that are not in `dirty` as settled.
  void settleShard(std::size_t shard, const ShardBitmap& dirty);

  /// Applies a home's listing of one shard: only these flows do not follow the table.
  void listShard(std::size_t shard, ShardListing flows);
  /// @return true if the recorded flows of the bucket's shard are known.
  bool isListed(std::size_t bucket) const { return listedBuckets_[bucket]; }

  /// Marks every bucket that has moved as unsettled, after a member became reachable again that may
  /// have accepted flows in the meantime.
  void unsettleMovedBuckets();

 private:
  ServiceId service_;
  ConfigurationVersion version_ = 0;
  std::vector<BackendId> current_;
  std::vector<BackendId> previous_;
  void unsettle(std::size_t bucket);
  void unsettleAll();

  std::bitset<kBucketCount> settled_;
  /// Buckets whose recorded flows are in `listings_`.
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
