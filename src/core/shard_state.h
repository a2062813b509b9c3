/// @file
/// State of one shard at an owner (home or replica): records of flows that do not follow the
/// current placement, and whether the records are complete enough to treat an unknown flow as new.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// How complete an owner's records of a shard are.
enum class Authority : std::uint8_t {
  kNone,            ///< Not an owner, or a replica without a copy of the home's records.
  kAwaitsHandover,  ///< The former home has not sent all of its records yet.
  kAwaitsListing,   ///< Records were lost; the members' full listings were requested.
  kComplete,        ///< Every flow that needs a record has one.
};

/// How an owner treats a flow without a record.
enum class UnknownFlowRule : std::uint8_t {
  kIsNew,            ///< All old flows are recorded, so the flow is new.
  kAssumeOld,        ///< Buckets moved recently; the flow may belong to the previous backend.
  kDrop,             ///< Records may be missing: drop the packet and let the client retransmit.
  kQueryFormerHome,  ///< The former home has the records until the handover is complete.
};

class ShardState {
 public:
  // Records.

  std::optional<BackendId> find(FlowFingerprint fingerprint) const;
  /// Adds a record unless the flow already has one.
  /// @return true if the record was added.
  bool add(const FlowRecord& record, Time now);
  /// Updates the time a recorded flow was last seen.
  void touch(FlowFingerprint fingerprint, Time now);
  void removeBackend(BackendId backend);
  void expire(Time now, Duration idle);
  /// @return all records, sorted by fingerprint.
  std::vector<FlowRecord> allRecords() const;
  std::size_t recordCount() const { return records_.size(); }
  /// @return number of recorded flows on a backend.
  std::uint32_t flowsOn(BackendId backend) const;
  /// @return the compact identifiers of all recorded flows, sorted.
  ShardListing listing() const;
  /// @return the buckets with at least one record.
  ShardBitmap dirtyBuckets() const;

  // Authority.

  Authority authority() const { return authority_; }
  /// Marks the records as complete.
  /// @param version placement version for which they are complete.
  void setComplete(ConfigurationVersion version);
  /// @return true if the records are complete for this version or a later one.
  bool isCompleteAt(ConfigurationVersion version) const {
    return authority_ == Authority::kComplete && recordsVersion_ >= version;
  }
  /// Marks the records as possibly incomplete, with no request pending.
  void setUnknown() { authority_ = Authority::kNone; }
  void awaitHandover(MemberId formerHome, Time until);
  MemberId formerHome() const { return formerHome_; }
  /// @return true if the handover timed out or the former home is unreachable; a listing is needed.
  bool handoverFailed(Time now) const;
  /// Waits until `until` for full listings of these members for `version`.
  void awaitListing(std::set<MemberId> members, ConfigurationVersion version, Time until);

  // Windows.

  /// Opens the listing window after buckets moved. It closes when every awaited member has
  /// reported, or at `closesAt`.
  void openWindow(ConfigurationVersion version, Time closesAt, std::set<MemberId> awaited);
  bool windowOpen(Time now) const { return now < windowClosesAt_ && !awaited_.empty(); }
  /// Shortens the window to the time remaining at the former home; zero closes it.
  void adoptWindow(ConfigurationVersion version, Time now, Duration remaining);
  /// @return the maximum time until the window closes; zero if it is not open.
  Duration windowRemaining(Time now) const;
  /// Drops unknown flows until these members, which were unreachable, have listed their flows, or
  /// until `until`.
  void awaitReports(const std::set<MemberId>& members, Time until);

  /// Call when a member has sent all its flows that need a record for a placement version.
  /// @param full true if it listed the whole shard, false if only the moved buckets.
  void onReport(MemberId member, ConfigurationVersion version, bool full);
  /// Stops waiting for reports of a member that failed or left.
  void onMemberUnreachable(MemberId member);
  /// @return the members whose full listing is pending.
  std::set<MemberId> missingListings(Time now) const;
  /// @return true if the records were lost and may not have been restored completely by listings.
  bool recordsMayBeMissing() const { return authority_ == Authority::kAwaitsListing; }

  UnknownFlowRule unknownFlowRule(Time now) const;

  /// Time until which a former owner continues to decide flows of the shard.
  Time ownedUntil{};
  /// Time at which this daemon became the shard's home.
  Time homeSince{};

 private:
  struct Record {
    BackendId backend = kNoBackend;
    Time lastSeen{};
  };
  /// Members whose reports are pending, with a deadline.
  struct PendingMembers {
    std::set<MemberId> members;
    Time until{};

    bool isOver(Time now) const { return members.empty() || now >= until; }
  };

  std::unordered_map<FlowFingerprint, Record> records_;
  std::unordered_map<BackendId, std::uint32_t> flowsPerBackend_;
  std::map<MemberId, ConfigurationVersion> reported_;
  Authority authority_ = Authority::kNone;
  ConfigurationVersion recordsVersion_ = 0;
  MemberId formerHome_ = kNoMember;
  Time handoverDeadline_{};
  bool formerHomeGone_ = false;
  PendingMembers pendingListing_;
  ConfigurationVersion listingVersion_ = 0;
  std::set<MemberId> fullyListed_;
  PendingMembers pendingReports_;
  std::set<MemberId> awaited_;
  ConfigurationVersion windowVersion_ = 0;
  Time windowClosesAt_{};
};

}  // namespace cobaltgauge::core
