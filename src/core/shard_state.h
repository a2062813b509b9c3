/// @file
/// What an owner (home or replica) knows about one shard: the flows that do not follow the current
/// placement, and whether that knowledge is complete enough to call an unknown flow new.
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
  kAwaitsHandover,  ///< The former home has the records and has not sent all of them.
  kAwaitsListing,   ///< Records were lost; the members were asked to list what they know.
  kComplete,        ///< Every flow that needs a record has one.
};

/// How an owner treats a flow that it has no record of.
enum class UnknownFlowRule : std::uint8_t {
  kIsNew,          ///< Every old flow is recorded, so this one is new.
  kAssumeOld,      ///< Buckets moved just now; the flow may be an old one of the previous back end.
  kDrop,           ///< Records may be missing and no safe guess exists; the sender must retry.
  kAskFormerHome,  ///< The former home has the records until its handover arrives.
};

class ShardState {
 public:
  // Records.

  std::optional<BackendId> find(FlowFingerprint fingerprint) const;
  /// Adds a record; a record that exists stays, since the flow already lives there.
  /// @return true where the record is new.
  bool add(const FlowRecord& record, Time now);
  /// Marks a recorded flow as seen now.
  void touch(FlowFingerprint fingerprint, Time now);
  void removeBackend(BackendId backend);
  void expire(Time now, Duration idle);
  /// @return all records, sorted by fingerprint.
  std::vector<FlowRecord> allRecords() const;
  std::size_t recordCount() const { return records_.size(); }
  /// @return number of recorded flows on a back end.
  std::uint32_t flowsOn(BackendId backend) const;
  /// @return all recorded flows in short form, sorted.
  ShardListing listing() const;
  /// @return the buckets that hold a record.
  ShardBitmap dirtyBuckets() const;

  // Authority.

  Authority authority() const { return authority_; }
  /// @param version placement version as of which the records are complete.
  void setComplete(ConfigurationVersion version);
  /// @return true where the records are complete as of at least this version.
  bool isCompleteAt(ConfigurationVersion version) const {
    return authority_ == Authority::kComplete && recordsVersion_ >= version;
  }
  /// The records are not known to be complete any more; nobody was asked yet.
  void setUnknown() { authority_ = Authority::kNone; }
  void awaitHandover(MemberId formerHome, Time until);
  MemberId formerHome() const { return formerHome_; }
  /// @return true where the former home is gone or silent, so that a listing must replace it.
  bool handoverFailed(Time now) const;
  /// Waits for full listings of these members as of `version`, at most until `until`.
  void awaitListing(std::set<MemberId> members, ConfigurationVersion version, Time until);

  // Windows.

  /// Buckets moved: until every awaited member reported, or `closesAt`, flows may be old.
  void openWindow(ConfigurationVersion version, Time closesAt, std::set<MemberId> awaited);
  bool windowOpen(Time now) const { return now < windowClosesAt_ && !awaited_.empty(); }
  /// The former home knows the state of the window: it stays open this long, zero closes it.
  void adoptWindow(ConfigurationVersion version, Time now, Duration remaining);
  /// @return time until the window closes at the latest; zero while none is open.
  Duration windowRemaining(Time now) const;
  /// These members were out of reach; until they list their flows, or `until`, nothing is certain.
  void awaitReports(const std::set<MemberId>& members, Time until);

  /// A member has sent all flows it knows that need a record, as of a placement version.
  /// @param full true where it listed the whole shard, false where only the moved buckets.
  void onReport(MemberId member, ConfigurationVersion version, bool full);
  /// A member died or left; it will not report.
  void onMemberUnreachable(MemberId member);
  /// @return members whose full listing is still awaited.
  std::set<MemberId> missingListings(Time now) const;
  /// @return true where no complete set of records could be obtained.
  bool recordsMayBeMissing() const { return authority_ == Authority::kAwaitsListing; }

  UnknownFlowRule unknownFlowRule(Time now) const;

  /// Until when a former owner goes on deciding.
  Time ownedUntil{};
  /// When this daemon became the shard's home.
  Time homeSince{};

 private:
  struct Record {
    BackendId backend = kNoBackend;
    Time lastSeen{};
  };
  /// Members whose report is awaited, at most until a time.
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
