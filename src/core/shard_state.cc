#include "core/shard_state.h"

#include <algorithm>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {

std::optional<BackendId> ShardState::find(FlowFingerprint fingerprint) const {
  const auto it = records_.find(fingerprint);
  return it == records_.end() ? std::nullopt : std::optional(it->second.backend);
}

bool ShardState::add(const FlowRecord& record, Time now) {
  const auto [it, inserted] = records_.try_emplace(record.fingerprint, Record{record.backend, now});
  if (inserted) {
    ++flowsPerBackend_[record.backend];
  } else {
    it->second.lastSeen = now;
  }
  return inserted;
}

void ShardState::touch(FlowFingerprint fingerprint, Time now) {
  const auto it = records_.find(fingerprint);
  if (it != records_.end()) {
    it->second.lastSeen = now;
  }
}

void ShardState::removeBackend(BackendId backend) {
  std::erase_if(records_, [backend](const auto& item) { return item.second.backend == backend; });
  flowsPerBackend_.erase(backend);
}

void ShardState::expire(Time now, Duration idle) {
  std::erase_if(records_, [this, now, idle](const auto& item) {
    const bool old = now - item.second.lastSeen > idle;
    if (old) {
      --flowsPerBackend_[item.second.backend];
    }
    return old;
  });
}

std::vector<FlowRecord> ShardState::allRecords() const {
  std::vector<FlowRecord> records;
  records.reserve(records_.size());
  for (const auto& [fingerprint, record] : records_) {
    records.push_back({fingerprint, record.backend});
  }
  // Sorted for deterministic output.
  std::sort(records.begin(), records.end(),
            [](const FlowRecord& a, const FlowRecord& b) { return a.fingerprint < b.fingerprint; });
  return records;
}

std::uint32_t ShardState::flowsOn(BackendId backend) const {
  const auto it = flowsPerBackend_.find(backend);
  return it == flowsPerBackend_.end() ? 0 : it->second;
}

ShardListing ShardState::listing() const {
  ShardListing flows;
  flows.reserve(records_.size());
  for (const auto& [fingerprint, record] : records_) {
    flows.push_back(compactFlowIdOf(fingerprint));
  }
  std::sort(flows.begin(), flows.end());
  return flows;
}

ShardBitmap ShardState::dirtyBuckets() const {
  ShardBitmap dirty{};
  for (const auto& [fingerprint, record] : records_) {
    const std::size_t index = bucketOf(fingerprint) % kBucketsPerShard;
    dirty[index / 64] |= std::uint64_t{1} << (index % 64);
  }
  return dirty;
}

void ShardState::awaitHandover(MemberId formerHome, Time until) {
  authority_ = Authority::kAwaitsHandover;
  formerHome_ = formerHome;
  formerHomeGone_ = false;
  handoverDeadline_ = until;
}

bool ShardState::handoverFailed(Time now) const {
  return authority_ == Authority::kAwaitsHandover && (formerHomeGone_ || now >= handoverDeadline_);
}

void ShardState::setComplete(ConfigurationVersion version) {
  authority_ = Authority::kComplete;
  recordsVersion_ = version;
}

void ShardState::awaitListing(std::set<MemberId> members, ConfigurationVersion version,
                              Time until) {
  authority_ = Authority::kAwaitsListing;
  pendingListing_ = {std::move(members), until};
  listingVersion_ = version;
  recordsVersion_ = version;
  fullyListed_.clear();
}

void ShardState::openWindow(ConfigurationVersion version, Time closesAt,
                            std::set<MemberId> awaited) {
  if (isCompleteAt(version)) {
    return;  // Records received in a handover are already complete for this version.
  }
  windowVersion_ = version;
  recordsVersion_ = std::max(recordsVersion_, version);
  windowClosesAt_ = closesAt;
  awaited_ = std::move(awaited);
  std::erase_if(awaited_, [this](MemberId member) {
    const auto it = reported_.find(member);
    return it != reported_.end() && it->second >= windowVersion_;
  });
}

void ShardState::adoptWindow(ConfigurationVersion version, Time now, Duration remaining) {
  if (version >= windowVersion_) {
    windowClosesAt_ = std::min(windowClosesAt_, now + remaining);
  }
}

Duration ShardState::windowRemaining(Time now) const {
  return windowOpen(now) ? windowClosesAt_ - now : Duration::zero();
}

void ShardState::awaitReports(const std::set<MemberId>& members, Time until) {
  pendingReports_.members.insert(members.begin(), members.end());
  pendingReports_.until = until;
}

void ShardState::onReport(MemberId member, ConfigurationVersion version, bool full) {
  ConfigurationVersion& reported = reported_[member];
  reported = std::max(reported, version);
  if (version >= windowVersion_) {
    awaited_.erase(member);
    pendingReports_.members.erase(member);
  }
  if (full) {
    fullyListed_.insert(member);
  }
  // A member that sent a full listing for an older version reports the moved buckets when it
  // applies the current one.
  if (version >= listingVersion_ && fullyListed_.contains(member)) {
    pendingListing_.members.erase(member);
  }
}

std::set<MemberId> ShardState::missingListings(Time now) const {
  const bool waits = authority_ == Authority::kAwaitsListing && !pendingListing_.isOver(now);
  return waits ? pendingListing_.members : std::set<MemberId>{};
}

void ShardState::onMemberUnreachable(MemberId member) {
  awaited_.erase(member);
  pendingReports_.members.erase(member);
  pendingListing_.members.erase(member);
  formerHomeGone_ = formerHomeGone_ || member == formerHome_;
}

UnknownFlowRule ShardState::unknownFlowRule(Time now) const {
  switch (authority_) {
    case Authority::kNone:
      return UnknownFlowRule::kDrop;
    case Authority::kAwaitsHandover:
      return UnknownFlowRule::kQueryFormerHome;
    case Authority::kAwaitsListing:
      if (!pendingListing_.isOver(now)) {
        return UnknownFlowRule::kDrop;
      }
      break;
    case Authority::kComplete:
      break;
  }
  if (!pendingReports_.isOver(now)) {
    return UnknownFlowRule::kDrop;
  }
  return windowOpen(now) ? UnknownFlowRule::kAssumeOld : UnknownFlowRule::kIsNew;
}

}  // namespace cobaltgauge::core
