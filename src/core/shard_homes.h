/// @file
/// Determines the owners of each shard, holds the records of the shards this daemon owns, and
/// transfers records when owners change. See docs/design/001-flow-routing.md.
#pragma once

#include <bitset>
#include <map>
#include <set>
#include <vector>

#include "core/backend_directory.h"
#include "core/flow_table.h"
#include "core/home_selector.h"
#include "core/membership.h"
#include "core/outbox.h"
#include "core/record_transfers.h"
#include "core/service_placement.h"
#include "core/shard_state.h"

namespace cobaltgauge::core {

using BucketSet = std::bitset<kBucketCount>;
using ShardSet = std::bitset<kShardCount>;

/// Placement of every configured service.
using PlacementMap = std::map<ServiceId, ServicePlacement>;

class ShardHomes {
 public:
  ShardHomes(const Membership& membership, BackendDirectory& directory, const FlowTable& flows,
             Outbox& outbox);

  /// Updates the owners of every shard; transfers records of shards that this daemon gains or
  /// loses.
  void onEligibleChanged(const std::vector<MemberId>& eligible, const PlacementMap& placements,
                         Time now);

  /// Starts the listing window of a service whose buckets moved: reports this daemon's flows in
  /// moved buckets to the homes, and opens the window of the shards that this daemon owns.
  void onBucketsMoved(const ServicePlacement& placement, const BucketSet& moved, Time now);

  /// Call when dead members become reachable again, after a network partition or a suspension: each
  /// side may have accepted flows that the other does not know.
  void onMembersRejoined(const std::set<MemberId>& returned, const PlacementMap& placements,
                         Time now);

  /// Call after this process was suspended: waits for the replicas to hand over their records.
  void onResume(Time now);

  /// Reports all flows that need a record to the homes of their shards.
  void reportAll(const PlacementMap& placements, Time now);

  void onMemberUnreachable(MemberId member);
  void onRecords(MemberId from, const RecordsMessage& message, const PlacementMap& placements,
                 Time now);
  void onListingRequest(MemberId from, const ListingRequest& request,
                        const PlacementMap& placements, Time now);
  void onTick(const PlacementMap& placements, Time now);
  void removeBackend(BackendId backend);

  ShardOwners owners(const ShardKey& key) const;
  /// @return the owner to forward to: the home, or the replica while the home is suspect.
  MemberId ownerToQuery(const ShardKey& key) const;
  /// @return true if this daemon may decide flows of the shard that arrived after `hops` hops.
  bool mayDecide(const ShardKey& key, std::uint8_t hops, Time now) const;

  /// @return the state of a shard; created if missing.
  ShardState& state(const ShardKey& key) { return states_[key]; }

  /// @return the recorded backend of a flow; does not create shard state.
  std::optional<BackendId> findRecord(const ShardKey& key, FlowFingerprint fingerprint) const;

  /// Records flows and replicates the new ones to the other owner.
  void record(const ShardKey& key, ConfigurationVersion version,
              const std::vector<FlowRecord>& records, Time now);

  /// @return true if this daemon has been the shard's home for at least `span`.
  bool isHomeSince(const ShardKey& key, Duration span, Time now) const;

  std::size_t recordCount() const;
  void setRecordIdleTimeout(Duration idle) { recordIdleTimeout_ = idle; }

 private:
  bool owns(const ShardKey& key) const;
  bool isHome(const ShardKey& key) const;
  /// Updates one shard's ranking. @return the owners before the update.
  ShardOwners updateRanking(const ShardKey& key, const std::vector<MemberId>& added,
                            const std::vector<MemberId>& removed);
  void onOwnersChanged(const ShardKey& key, const ShardOwners& before, const ShardOwners& after,
                       const ServicePlacement& placement, Time now);
  void becomeHome(const ShardKey& key, const ShardOwners& before, const ServicePlacement& placement,
                  Time now);
  /// Sends all records of a shard, as a handover or as a copy for a new replica.
  void sendAllRecords(MemberId to, RecordPurpose purpose, const ShardKey& key,
                      const ServicePlacement& placement, Time now);
  void requestListings(const std::vector<ShardKey>& shards, const PlacementMap& placements,
                       Time now);
  std::set<MemberId> reportingMembers() const;
  void openWindow(const ShardKey& key, ConfigurationVersion version, Time closesAt);
  /// Selects the flows of one service to report, and the receiver.
  struct Report {
    const ServicePlacement* placement = nullptr;
    RecordPurpose purpose = RecordPurpose::kFullListing;
    BucketSet buckets = BucketSet{}.set();
    ShardSet shards = ShardSet{}.set();
    MemberId receiver = kNoMember;  ///< kNoMember: the home of each shard.
  };
  using Reports = std::map<ServiceId, Report>;

  /// Sends all reports with a single scan of the flow table.
  void reportFlows(const Reports& reports, Time now);
  static Report fullReport(const ServicePlacement& placement);
  /// @return full reports on these shards; services without a placement are skipped.
  static Reports reportsOn(const std::vector<ShardKey>& shards, const PlacementMap& placements,
                           MemberId receiver);
  void sendListingRequest(const std::set<MemberId>& members, const std::vector<ShardKey>& shards);
  void resendListingRequests(Time now);
  void onTransferComplete(MemberId from, const RecordsMessage& message,
                          const PlacementMap& placements, Time now);
  void onHandover(MemberId from, const RecordsMessage& message, const PlacementMap& placements,
                  Time now);
  bool isReachablePeer(MemberId member) const;

  const Membership& membership_;
  BackendDirectory& directory_;
  const FlowTable& flows_;
  Outbox& outbox_;
  RecordTransfers transfers_;
  std::map<ShardKey, OwnerRanking> rankings_;
  std::vector<MemberId> eligible_;  ///< Sorted; the members in `rankings_`.
  std::map<ShardKey, ShardState> states_;
  std::vector<ShardKey> shardsToList_;
  Duration recordIdleTimeout_{std::chrono::hours(1)};
  Time nextExpiry_{};
  Time nextListingResend_{};
};

}  // namespace cobaltgauge::core
