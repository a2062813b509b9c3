/// @file
/// Control path of the Balancer: configuration, membership and periodic work.
#include "core/balancer.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

constexpr std::size_t kUpdateFanout = 3;  ///< Peers probed immediately after a change.
constexpr std::size_t kFenceFanout = 2;   ///< Peers probed at a time by a fenced daemon.
constexpr Duration kFencePingInterval = 200ms;
constexpr Duration kMaintenanceInterval = 10s;
/// Lifetime of flow records and removed backends as a multiple of the flow idle timeout. An owner
/// sees only some packets of a flow.
constexpr int kRecordIdleFactor = 6;

std::vector<MemberId> reachableMembersInZone(const MemberList& members, const std::string& zone) {
  std::vector<MemberId> result;
  for (const auto& [id, member] : members.all()) {
    if (isReachable(member.state) && member.identity.zone == zone) {
      result.push_back(id);
    }
  }
  return result;
}

}  // namespace

Balancer::Balancer(const BalancerOptions& options, ConfigurationCompiler& compiler, Random& random)
    : options_(options),
      membership_(options.self, options.process, random, outbox_),
      agent_(compiler),
      flows_(options.flowTableEntries, options.flowIdleTimeout),
      homes_(membership_, directory_, flows_, outbox_),
      daemonRate_(options.newFlowsPerSecond) {
  homes_.setRecordIdleTimeout(options.flowIdleTimeout * kRecordIdleFactor);
  membership_.setDigestSource([this] { return agent_.digest(); });
  membership_.setFenceSource([this] { return fence_.isClosed(); });
  membership_.setListener([this](const MemberChange& change) { onMemberChange(change); });
}

OfferResult Balancer::offerConfiguration(ConfigurationDocument document, Time now) {
  const OfferResult result = agent_.offer(std::move(document));
  propagateAccepted(result);
  applyPending(now);
  applyMembershipChanges(now);
  return result;
}

void Balancer::propagateAccepted(OfferResult result) {
  if (result == OfferResult::kAccepted) {
    membership_.probeRandomPeers(kUpdateFanout);
  }
}

void Balancer::offerMemberSeeds(std::vector<MemberIdentity> seeds, Time now) {
  if (seedsReceivedAt_ == Time{}) {
    seedsReceivedAt_ = now;
  }
  std::erase_if(seeds, [this](const MemberIdentity& seed) { return seed.id == options_.self.id; });
  hasSeeds_ = !seeds.empty();
  membership_.setSeeds(std::move(seeds));
}

bool Balancer::shouldReadPlatform(Time now) const {
  if (agent_.current() == nullptr || now - lastMessageAt_ > kPeerSilenceTimeout) {
    return true;
  }
  const std::vector<MemberId> peers =
      reachableMembersInZone(membership_.members(), options_.self.zone);
  return isAmongTopRanked(hashName("configuration-reader"), options_.self.id, peers,
                          kReadersPerZone);
}

void Balancer::applyPending(Time now) {
  const std::shared_ptr<const Configuration> accepted = agent_.current();
  if (accepted == nullptr || accepted->digest.version == activeVersion_) {
    return;
  }
  // Listing windows must not overlap: an existing flow would have two possible backends.
  const bool listing = lastPlacementMove_ != Time{} && now - lastPlacementMove_ < kListingWindow;
  // A fenced daemon makes no decisions and need not wait.
  if (!listing || fence_.isClosed()) {
    applyPlacements(*accepted, now);
    activeConfiguration_ = accepted;
    activeVersion_ = accepted->digest.version;
  }
}

void Balancer::applyPlacements(const Configuration& configuration, Time now) {
  for (const BackendId displaced : directory_.apply(configuration, now)) {
    flows_.removeBackend(displaced);
    homes_.removeBackend(displaced);
  }
  PlacementMap next;
  std::map<ServiceId, BucketSet> moves;
  virtualAddresses_.clear();
  for (const Service& service : configuration.services) {
    virtualAddresses_[{service.virtualEndpoint, service.protocol}] = &service;
    serviceRates_.insert_or_assign(service.id,
                                   AdmissionTokenBucket(service.limits.newFlowsPerSecond));
    const auto known = placements_.find(service.id);
    // The peers do not rely on placements of a daemon that has not joined yet.
    const bool fresh =
        known == placements_.end() || membership_.selfState() == MemberState::kJoining;
    ServicePlacement placement = fresh ? ServicePlacement(service.id) : std::move(known->second);
    const bool skipped = configuration.digest.version > activeVersion_ + 1;
    moves[service.id] = placement.apply(service, configuration.digest.version, now, skipped);
    next.emplace(service.id, std::move(placement));
  }
  const bool sameServices =
      std::equal(next.begin(), next.end(), placements_.begin(), placements_.end(),
                 [](const auto& a, const auto& b) { return a.first == b.first; });
  placements_ = std::move(next);
  if (!sameServices) {
    homes_.onEligibleChanged(eligible_, placements_, now);
  }
  for (const auto& [service, moved] : moves) {
    if (moved.any()) {
      lastPlacementMove_ = now;
      homes_.onBucketsMoved(placements_.at(service), moved, now);
    }
  }
}

void Balancer::onMemberChange(const MemberChange& change) {
  membershipChanged_ = true;
  if (!isReachable(change.after) || change.restarted) {
    homes_.onMemberUnreachable(change.id);
  }
  const bool returned = !change.isNew && !change.restarted && change.before == MemberState::kDead &&
                        isReachable(change.after);
  if (returned && change.id != options_.self.id) {
    rejoinedMembers_.insert(change.id);
  }
}

void Balancer::applyMembershipChanges(Time now) {
  if (!std::exchange(membershipChanged_, false)) {
    return;
  }
  std::vector<MemberId> eligible = membership_.members().eligible();
  if (eligible != eligible_) {
    eligible_ = std::move(eligible);
    homes_.onEligibleChanged(eligible_, placements_, now);
  }
  const std::set<MemberId> returned = std::exchange(rejoinedMembers_, {});
  if (!returned.empty()) {
    for (auto& [service, placement] : placements_) {
      placement.unsettleMovedBuckets();
    }
    homes_.onMembersRejoined(returned, placements_, now);
  }
  updatePartition(returned, now);
}

void Balancer::updatePartition(const std::set<MemberId>& returned, Time now) {
  const bool partitioned = membership_.members().hasUnreachableZone(options_.self.zone);
  if (partitioned && !partitioned_) {
    for (auto& [service, placement] : placements_) {
      placement.beginPartition();
    }
  }
  if (partitioned_ && !partitioned) {
    for (auto& [service, placement] : placements_) {
      placement.endPartition();
    }
  }
  if (partitioned_ && !returned.empty()) {
    // The other side of the partition may have a newer configuration: forward nothing until one of
    // its members has confirmed this view.
    fence_.closeUntilConfirmedBy(returned, now, membership_.nextSequence());
    for (const MemberId member : returned) {
      membership_.probe(member);
    }
  }
  partitioned_ = partitioned;
}

void Balancer::joinWhenReady(Time now) {
  const bool ready = !fence_.isClosed() && activeConfiguration_ != nullptr && !leaving_;
  if (!ready || membership_.selfState() != MemberState::kJoining) {
    return;
  }
  if (eligible_.empty()) {
    // The first daemon of a fleet: no earlier flows exist.
    for (auto& [service, placement] : placements_) {
      placement.settleAll();
    }
  }
  membership_.announce(MemberState::kAlive, now);
}

void Balancer::resumeAfterSuspension(Time now) {
  ++counters_.suspensions;
  fence_.close(now, membership_.nextSequence());
  heardFromEstablishedMember_ = false;
  membership_.onResume(now);
  homes_.onResume(now);
  nextFencePing_ = now;
  reportWhenFenceOpens_ = true;
}

void Balancer::updateFence(Time now) {
  if (!fence_.isClosed()) {
    return;
  }
  // Without a list of peers the daemon cannot tell whether it is the first one. If peers are listed
  // but no message arrives, a network partition is likely.
  const bool isolatedJoiner =
      membership_.selfState() == MemberState::kJoining && hasSeeds_ && lastMessageAt_ == Time{};
  const Duration wait = isolatedJoiner ? kFenceIsolatedTimeout : kFencePeerTimeout;
  const bool hadSeedsForTimeout = seedsReceivedAt_ != Time{} && now - seedsReceivedAt_ >= wait;
  fence_.openAfterTimeout(now, heardFromEstablishedMember_ || !hadSeedsForTimeout);
  if (now >= nextFencePing_) {
    nextFencePing_ = now + kFencePingInterval;
    membership_.probeRandomPeers(kFenceFanout);
    if (!synced_) {
      membership_.requestSync();
    }
  }
}

void Balancer::onTick(Time now) {
  if (fence_.detectsSuspension(now)) {
    resumeAfterSuspension(now);
  }
  if (lastMessageAt_ == Time{} && fence_.isClosed() && fence_.closedAt() == Time{}) {
    fence_.close(now, membership_.nextSequence());
  }
  fence_.onTick(now);
  updateFence(now);
  membership_.onTick(now);
  applyPending(now);
  joinWhenReady(now);
  applyMembershipChanges(now);
  if (reportWhenFenceOpens_ && !fence_.isClosed()) {
    reportWhenFenceOpens_ = false;
    homes_.reportAll(placements_, now);
  }
  homes_.onTick(placements_, now);
  outbox_.onTick(now);
  if (now >= nextMaintenance_) {
    nextMaintenance_ = now + kMaintenanceInterval;
    const Duration keep = options_.flowIdleTimeout * kRecordIdleFactor;
    for (const BackendId removed : directory_.removeExpired(now, keep)) {
      homes_.removeBackend(removed);
    }
  }
}

void Balancer::beginShutdown(Time now) {
  leaving_ = true;
  membership_.announce(MemberState::kLeaving, now);
  applyMembershipChanges(now);
  membership_.probeRandomPeers(kUpdateFanout);
}

void Balancer::finishShutdown(Time now) {
  membership_.announce(MemberState::kLeft, now);
  membership_.probeRandomPeers(kUpdateFanout);
}

}  // namespace cobaltgauge::core
