/// @file
/// What an owner (home or replica) knows about one shard: the flows that do not follow the current
/// placement, and whether it may call an unknown flow new.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// How an owner treats a flow that it has no record of.
enum class UnknownFlowRule : std::uint8_t {
  kIsNew,          ///< Every old flow is recorded, so this one is new.
  kAssumeOld,      ///< Listing is under way; the flow may be an old one of the previous back end.
  kHold,           ///< Records may be missing and no safe guess exists; the sender must retry.
  kAskFormerHome,  ///< The former home has the records until its handover arrives.
};

class ShardState {
 public:
  std::optional<BackendId> find(FlowFingerprint fingerprint) const;

  /// Adds a record; a record that exists stays, since the flow already lives there.
  /// @return true where the record is new.
  bool add(const FlowRecord& record, Time now);

  /// Marks a recorded flow as seen now.
  void touch(FlowFingerprint fingerprint, Time now);

  void forgetBackend(BackendId backend);
  void expire(Time now, Duration idle);
  std::vector<FlowRecord> allRecords() const;
  std::size_t recordCount() const { return records_.size(); }
  /// @return number of recorded flows on a back end.
  std::uint32_t flowsOn(BackendId backend) const;
  ShardBitmap dirtyBuckets() const;

  /// Begins a listing window: until every awaited member reported or `closesAt`, flows may be old.
  void openWindow(ConfigurationVersion version, Time closesAt, std::set<MemberId> awaited);
  /// Notes that a member has sent all old flows it knows, as of a placement version.
  void noteReport(MemberId member, ConfigurationVersion version);
  /// A member died or left; it will not report.
  void noteGone(MemberId member) { awaited_.erase(member); }
  bool windowOpen(Time now) const { return now < windowClosesAt_ && !awaited_.empty(); }

  /// Until `until`, records may be missing that nobody can be asked for by name.
  void hold(Time until) { holdUntil_ = until; }

  /// Until the former home's handover arrives, or `until`, that daemon knows better.
  void awaitHandover(MemberId formerHome, Time until);
  void noteHandover() { formerHome_ = kNoMember; }
  MemberId formerHome() const { return formerHome_; }

  UnknownFlowRule unknownFlowRule(Time now) const;

  /// When the state was last owned; states of former owners are dropped later.
  Time ownedUntil{};
  /// When this daemon became the shard's home.
  Time homeSince{};

 private:
  struct Record {
    BackendId backend = kNoBackend;
    Time lastSeen{};
  };

  std::unordered_map<FlowFingerprint, Record> records_;
  std::unordered_map<BackendId, std::uint32_t> flowsPerBackend_;
  std::map<MemberId, ConfigurationVersion> reported_;
  std::set<MemberId> awaited_;
  ConfigurationVersion windowVersion_ = 0;
  Time windowClosesAt_{};
  Time holdUntil_{};
  MemberId formerHome_ = kNoMember;
  Time handoverDeadline_{};
};

}  // namespace cobaltgauge::core
