/// @file
/// The part of the core that knows who owns each shard, holds the records of the shards this
/// daemon owns, and moves records when owners change. See docs/design/001-flow-routing.md.
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

/// Placement of every service in force, by service.
using PlacementMap = std::map<ServiceId, ServicePlacement>;

class ShardHomes {
 public:
  ShardHomes(const Membership& membership, BackendDirectory& directory, const FlowTable& flows,
             Outbox& outbox);

  /// Recomputes the owners of every shard; moves records where this daemon gains or loses a shard.
  void onEligibleChanged(const std::vector<MemberId>& eligible, const PlacementMap& placements,
                         Time now);

  /// Starts the listing of a service whose buckets moved: reports this daemon's old flows to the
  /// homes and opens a window at the shards that this daemon owns.
  void onBucketsMoved(const ServicePlacement& placement, const BucketSet& moved, Time now);

  /// Members that were given up came back (a cut healed, a process woke): flows of their time
  /// apart may be unknown here, and ours unknown there.
  void onMembersReturned(const std::set<MemberId>& returned, const PlacementMap& placements,
                         Time now);

  /// This process was suspended; its replicas know better until they hand the records back.
  void onResume(Time now);

  /// Reports every flow that needs a record to the homes of all shards.
  void reportAll(const PlacementMap& placements, Time now);

  void onMemberUnreachable(MemberId member);
  void onRecords(MemberId from, const RecordsMessage& message, const PlacementMap& placements,
                 Time now);
  void onListingRequest(MemberId from, const ListingRequest& request,
                        const PlacementMap& placements, Time now);
  void onTick(const PlacementMap& placements, Time now);
  void removeBackend(BackendId backend);

  ShardOwners owners(const ShardKey& key) const;
  /// @return the owner to ask: the home, or the replica while the home is suspect.
  MemberId ownerToAsk(const ShardKey& key) const;
  /// @return true where this daemon may decide flows of the shard that reached it after `hops`.
  bool mayDecide(const ShardKey& key, std::uint8_t hops, Time now) const;

  /// @return the state of a shard, created empty when missing.
  ShardState& state(const ShardKey& key) { return states_[key]; }

  /// @return the recorded back end of a flow, without creating any state.
  std::optional<BackendId> findRecord(const ShardKey& key, FlowFingerprint fingerprint) const;

  /// Records flows and passes those that are new to the other owner.
  void record(const ShardKey& key, ConfigurationVersion version,
              const std::vector<FlowRecord>& records, Time now);

  /// @return true where this daemon has been the shard's home for at least `span`.
  bool isHomeSince(const ShardKey& key, Duration span, Time now) const;

  std::size_t recordCount() const;
  void setRecordIdleTimeout(Duration idle) { recordIdleTimeout_ = idle; }

 private:
  bool owns(const ShardKey& key) const;
  bool isHome(const ShardKey& key) const;
  /// Brings one shard's ranking up to date. @return the owners before.
  ShardOwners updateRanking(const ShardKey& key, const std::vector<MemberId>& added,
                            const std::vector<MemberId>& removed);
  void onOwnersChanged(const ShardKey& key, const ShardOwners& before, const ShardOwners& after,
                       const ServicePlacement& placement, Time now);
  void becomeHome(const ShardKey& key, const ShardOwners& before, const ServicePlacement& placement,
                  Time now);
  /// Sends all records of a shard, as handover or as copy for a new replica.
  void sendAllRecords(MemberId to, RecordPurpose purpose, const ShardKey& key,
                      const ServicePlacement& placement, Time now);
  void requestListings(const std::vector<ShardKey>& shards, const PlacementMap& placements,
                       Time now);
  std::set<MemberId> reportingMembers() const;
  void openWindow(const ShardKey& key, ConfigurationVersion version, Time closesAt);
  /// Which of this daemon's flows of one service to report, and to whom.
  struct Report {
    const ServicePlacement* placement = nullptr;
    RecordPurpose purpose = RecordPurpose::kFullListing;
    BucketSet buckets = BucketSet{}.set();
    ShardSet shards = ShardSet{}.set();
    MemberId receiver = kNoMember;  ///< kNoMember: each shard's home.
  };
  using Reports = std::map<ServiceId, Report>;

  /// Makes all reports with one scan of the flow table, which is the costly part.
  void reportFlows(const Reports& reports, Time now);
  static Report fullReport(const ServicePlacement& placement);
  /// @return full reports on these shards only, of the services that are placed here.
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
  std::vector<MemberId> eligible_;  ///< Sorted; what `rankings_` was made from.
  std::map<ShardKey, ShardState> states_;
  std::vector<ShardKey> shardsToList_;
  Duration recordIdleTimeout_{std::chrono::hours(1)};
  Time nextExpiry_{};
  Time nextListingResend_{};
};

}  // namespace cobaltgauge::core
