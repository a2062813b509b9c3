/// @file
/// Packet decisions of the Balancer.
#include "core/balancer.h"
#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Retry delay of a refusal because flow records are unreachable in a network partition.
constexpr std::chrono::seconds kPartitionRetryAfter{5};

/// Each shard's home enforces its share of a backend's flow limit.
std::uint32_t limitPerShard(std::uint32_t limit) {
  return static_cast<std::uint32_t>((limit + kShardCount - 1) / kShardCount);
}

}  // namespace

std::size_t Balancer::VirtualAddressHash::operator()(const VirtualAddress& address) const {
  const auto hash =
      backendIdOf(ServiceId{0}, address.endpoint, static_cast<std::uint32_t>(address.protocol));
  return static_cast<std::size_t>(hash);
}

Verdict Balancer::onPacket(const PacketSummary& packet, Time now) {
  return count(route(packet, PeerArrival{}, now));
}

Verdict Balancer::onPeerPacket(const PacketSummary& packet, const PeerArrival& arrival, Time now) {
  return count(route(packet, arrival, now));
}

Verdict Balancer::count(Verdict verdict) {
  counters_.count(verdict);
  return verdict;
}

Verdict Balancer::route(const PacketSummary& packet, const PeerArrival& arrival, Time now) {
  if (fence_.detectsSuspension(now)) {
    resumeAfterSuspension(now);
  }
  if (fence_.isClosed()) {
    return Drop{DropReason::kFenced};
  }
  if (activeConfiguration_ == nullptr) {
    return Drop{DropReason::kNoConfiguration};
  }
  const auto found =
      virtualAddresses_.find(VirtualAddress{packet.flow.destination, packet.flow.protocol});
  if (found == virtualAddresses_.end()) {
    return Drop{DropReason::kNoService};
  }
  const Service& service = *found->second;
  const FlowFingerprint fingerprint = fingerprintOf(packet.flow, options_.hashSeed);
  const std::size_t bucket = bucketOf(fingerprint);
  const Context context{
      packet,      service, placements_.at(service.id),
      fingerprint, bucket,  ShardKey{service.id, static_cast<std::uint16_t>(shardOf(bucket))},
      arrival,     now};
  const std::optional<BackendId> known = flows_.touch(fingerprint, now);
  const bool reopened =
      packet.kind == PacketKind::kOpening && known && directory_.isDrainingOrUnlisted(*known);
  if (known && !reopened && directory_.find(*known) != nullptr) {
    return forward(context, *known, RouteReason::kKnownFlow);
  }
  return routeUnknown(context);
}

Verdict Balancer::routeUnknown(const Context& context) {
  if (context.placement.followsTable(context.bucket, context.fingerprint)) {
    return startFlow(context, RouteReason::kSettledBucket);
  }
  const bool listing =
      context.now - context.placement.movedAt() < kListingWindow && context.placement.hasMoved();
  const bool opening = context.packet.kind == PacketKind::kOpening;
  if (opening && !listing && !context.placement.isTracked()) {
    return startFlow(context, RouteReason::kNewFlow);
  }
  const MemberId owner = homes_.ownerToQuery(context.shard);
  const bool isOwner = owner == options_.self.id || owner == kNoMember;
  const bool arrivedHere = context.arrival.hops > 0 &&
                           homes_.mayDecide(context.shard, context.arrival.hops, context.now);
  if (isOwner || arrivedHere) {
    return decideAsHome(context);
  }
  return forwardToPeer(owner, context);
}

Verdict Balancer::forwardToPeer(MemberId peer, const Context& context) {
  const Member* member = membership_.members().find(peer);
  if (member == nullptr || !isReachable(member->state)) {
    return Drop{DropReason::kHomeSyncing};
  }
  if (context.arrival.hops >= kMaxPeerHops) {
    return Drop{DropReason::kTooManyHops};
  }
  const auto hops = static_cast<std::uint8_t>(context.arrival.hops + 1);
  const bool isIngress = context.arrival.hops == 0;
  const bool needsListing =
      isIngress ? !context.placement.isListed(context.bucket) && !context.placement.isTracked()
                : context.arrival.needsListing;
  return ForwardToPeer{peer, member->identity.control, hops, needsListing};
}

Verdict Balancer::decideAsHome(const Context& context) {
  ShardState& shard = homes_.state(context.shard);
  const std::optional<BackendId> recorded = shard.find(context.fingerprint);
  if (recorded && directory_.find(*recorded) != nullptr) {
    shard.touch(context.fingerprint, context.now);
    return forward(context, *recorded, RouteReason::kHomeRecord);
  }
  switch (shard.unknownFlowRule(context.now)) {
    case UnknownFlowRule::kQueryFormerHome:
      return forwardToPeer(shard.formerHome(), context);
    case UnknownFlowRule::kDrop:
      return Drop{DropReason::kHomeSyncing};
    case UnknownFlowRule::kAssumeOld:
      return decideWhileListing(context);
    case UnknownFlowRule::kIsNew:
      break;
  }
  return decideAfterListing(context);
}

Verdict Balancer::decideWhileListing(const Context& context) {
  if (context.placement.skippedVersions()) {
    return Drop{DropReason::kHomeSyncing};
  }
  const BackendId previous = context.placement.previous(context.bucket);
  const bool canBeOld = previous != kNoBackend && directory_.find(previous) != nullptr &&
                        context.packet.kind != PacketKind::kOpening;
  return canBeOld ? forwardToOldBackend(context, previous)
                  : startFlow(context, RouteReason::kHomeNewFlow);
}

Verdict Balancer::decideAfterListing(const Context& context) {
  if (isPartitioned(context)) {
    // A partition may last: refuse with a retry delay instead of dropping the packet.
    return Refuse{context.service.refusal, RefusalCertainty::kOutcomeUnknown,
                  RefuseReason::kPartitioned, kPartitionRetryAfter};
  }
  if (lacksRecentRecords(context)) {
    return Drop{DropReason::kHomeSyncing};
  }
  // While a zone is unreachable, the flow may be known only to that zone. A new flow may also use
  // the old backend unless that backend is draining.
  const BackendId old = context.placement.partitionedBackend(context.bucket);
  const bool canBeOld = old != kNoBackend && !directory_.isDrainingOrUnlisted(old) &&
                        context.packet.kind != PacketKind::kOpening;
  return canBeOld ? forwardToOldBackend(context, old)
                  : startFlow(context, RouteReason::kHomeNewFlow);
}

bool Balancer::isPartitioned(const Context& context) {
  return partitioned_ && membership_.members().hasLostMajority() &&
         homes_.state(context.shard).recordsMayBeMissing();
}

bool Balancer::lacksRecentRecords(const Context& context) const {
  // A replica does not receive the members' reports, and the home that received them may have
  // failed.
  const bool isHome = homes_.owners(context.shard).home == options_.self.id;
  return !isHome && context.placement.movedRecently(context.now);
}

Verdict Balancer::forwardToOldBackend(const Context& context, BackendId backend) {
  homes_.record(context.shard, context.placement.version(), {{context.fingerprint, backend}},
                context.now);
  return forward(context, backend, RouteReason::kHomeOldFlow);
}

Verdict Balancer::startFlow(const Context& context, RouteReason reason) {
  const BackendId backend = context.placement.current(context.bucket);
  if (const std::optional<Refuse> refusal = refusalFor(context, backend)) {
    return *refusal;
  }
  if (context.placement.isTracked()) {
    homes_.record(context.shard, context.placement.version(), {{context.fingerprint, backend}},
                  context.now);
  }
  return forward(context, backend, reason);
}

std::optional<Refuse> Balancer::refusalFor(const Context& context, BackendId backend) {
  const bool opening = context.packet.kind == PacketKind::kOpening;
  const bool provablyNew =
      opening ||
      (context.placement.isTracked() &&
       homes_.isHomeSince(context.shard, kMaxTransmitSpan, context.now) &&
       homes_.state(context.shard).unknownFlowRule(context.now) == UnknownFlowRule::kIsNew);
  Refuse refusal{context.service.refusal,
                 provablyNew ? RefusalCertainty::kNotRun : RefusalCertainty::kOutcomeUnknown,
                 RefuseReason::kNoBackend, std::chrono::seconds(1)};
  if (backend == kNoBackend || directory_.find(backend) == nullptr) {
    return refusal;
  }
  const bool limited = opening || context.placement.isTracked();
  if (!limited) {
    return std::nullopt;  // An unknown UDP packet may belong to an established flow.
  }
  const std::uint32_t flowLimit = context.service.limits.flowsPerBackend;
  const std::uint32_t flows = homes_.state(context.shard).flowsOn(backend);
  if (flowLimit != 0 && context.placement.isTracked() && flows >= limitPerShard(flowLimit)) {
    refusal.reason = RefuseReason::kBackendLimit;
    refusal.retryAfter = std::chrono::seconds(2);
    return refusal;
  }
  AdmissionTokenBucket& rate = serviceRates_.at(context.service.id);
  const bool serviceAdmits = rate.admit(AdmissionTokenBucket::kMaxPriority, context.now);
  if (!serviceAdmits || !daemonRate_.admit(context.service.priority, context.now)) {
    refusal.reason = RefuseReason::kNewFlowRate;
    refusal.retryAfter = serviceAdmits ? daemonRate_.retryAfter(context.service.priority)
                                       : rate.retryAfter(AdmissionTokenBucket::kMaxPriority);
    return refusal;
  }
  return std::nullopt;
}

Verdict Balancer::forward(const Context& context, BackendId backend, RouteReason reason) {
  const BackendAddress* address = directory_.find(backend);
  if (reason != RouteReason::kKnownFlow) {
    flows_.learn(context.fingerprint, context.service.id, backend, context.now);
  }
  if (context.arrival.hops > 0) {
    sendHint(context, *address);
  }
  return ForwardToBackend{*address, activeVersion_, reason};
}

bool Balancer::addPartitionedBuckets(const Context& context, ShardBitmap& dirty) {
  bool any = false;
  for (std::size_t index = 0; index < kBucketsPerShard; ++index) {
    const std::size_t bucket = context.shard.shard * kBucketsPerShard + index;
    if (context.placement.partitionedBackend(bucket) != kNoBackend) {
      dirty[index / 64] |= std::uint64_t{1} << (index % 64);
      any = true;
    }
  }
  return any;
}

void Balancer::sendHint(const Context& context, const BackendAddress& backend) {
  const ShardState& shard = homes_.state(context.shard);
  RouteHint hint;
  hint.fingerprint = context.fingerprint;
  hint.backend = backend;
  hint.shard = context.shard;
  hint.version = context.placement.version();
  hint.shardIsFinal = homes_.owners(context.shard).home == options_.self.id &&
                      shard.unknownFlowRule(context.now) == UnknownFlowRule::kIsNew &&
                      !isPartitioned(context) && !lacksRecentRecords(context);
  if (hint.shardIsFinal) {
    // Only computed for a final shard: the receiver ignores them otherwise, and they require an
    // iteration over all records.
    hint.dirty = shard.dirtyBuckets();
    const bool hasPartitionedBuckets = addPartitionedBuckets(context, hint.dirty);
    hint.shardIsListed = !hasPartitionedBuckets && context.arrival.needsListing;
  }
  if (hint.shardIsListed) {
    hint.listing = shard.listing();
  }
  sendTo(context.arrival.ingress, std::move(hint));
  ++counters_.hintsSent;
}

std::optional<Explanation> Balancer::explain(const FlowKey& flow, Time now) const {
  const auto found = virtualAddresses_.find(VirtualAddress{flow.destination, flow.protocol});
  if (found == virtualAddresses_.end()) {
    return std::nullopt;
  }
  const Service& service = *found->second;
  const ServicePlacement& placement = placements_.at(service.id);
  const FlowFingerprint fingerprint = fingerprintOf(flow, options_.hashSeed);
  Explanation explanation;
  explanation.service = service.name;
  explanation.bucket = bucketOf(fingerprint);
  explanation.shard = static_cast<std::uint16_t>(shardOf(explanation.bucket));
  explanation.settled = placement.isSettled(explanation.bucket);
  explanation.current = placement.current(explanation.bucket);
  explanation.previous = placement.previous(explanation.bucket);
  explanation.learned = flows_.peek(fingerprint, now);
  const ShardKey key{service.id, explanation.shard};
  explanation.owners = homes_.owners(key);
  if (homes_.mayDecide(key, 0, now)) {
    explanation.recorded = homes_.findRecord(key, fingerprint);
  }
  explanation.version = placement.version();
  return explanation;
}

}  // namespace cobaltgauge::core
