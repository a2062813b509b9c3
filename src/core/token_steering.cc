#include "core/token_steering.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

constexpr Duration kMaintenanceInterval = 1s;
/// Work on a back end that has just started takes about this much longer.
constexpr double kWarmUpFactor = 1.6;

std::unique_ptr<TokenReach> makeReach(const TokenSteeringOptions& options) {
  if (!options.home) {
    return nullptr;
  }
  return std::make_unique<TokenReach>(AddressTokenCodec(*options.home, options.hashSeed));
}

}  // namespace

TokenSteering::TokenSteering(const TokenSteeringOptions& options, PlacementWeights& weights,
                             Random& random)
    : options_(options),
      random_(random),
      reach_(makeReach(options)),
      backends_(options.longestFlow, weights, reach_.get()),
      routes_(random.below(UINT64_MAX)),
      flows_(options.flowEntries) {}

Verdict TokenSteering::onPacket(const PacketSummary& packet, Time now) {
  const bool opens = packet.kind == PacketKind::kOpening;
  const Verdict verdict = opens ? steerOpening(packet, now) : steerOpen(packet, now);
  counters_.count(verdict);
  return verdict;
}

Verdict TokenSteering::steerOpen(const PacketSummary& packet, Time now) {
  if (viewCurrent_ && routes_.wasDropped(packet.flow.destination)) {
    return refuse(RefuseReason::kRouteDropped, RefusalCertainty::kOutcomeUnknown);
  }
  const BackendAddress* backend = backends_.findByToken(packet.token);
  if (backend == nullptr) {
    return steerWithoutView(packet);
  }
  if (backends_.hasEnded(backend->id)) {
    resetFlowsOf(backend->id, RefuseReason::kBackendEnded);
    return refuse(RefuseReason::kBackendEnded, RefusalCertainty::kOutcomeUnknown);
  }
  if (health_.isDead(backend->id)) {
    return refuse(RefuseReason::kBackendDead, RefusalCertainty::kOutcomeUnknown);
  }
  noteSigns(packet, *backend, now);
  return forward(*backend, RouteReason::kCarriedToken);
}

Verdict TokenSteering::steerWithoutView(const PacketSummary& packet) {
  const std::optional<Endpoint> endpoint = reach_ ? reach_->Resolve(packet.token) : std::nullopt;
  if (!endpoint) {
    return Drop{DropReason::kUnknownToken};
  }
  // Without an id any back end at the address takes the packet. One that does not hold the flow
  // resets it, which is right: the flow's own one has ended then.
  BackendAddress backend;
  backend.endpoint = *endpoint;
  return ForwardToBackend{backend, routes_.version(), RouteReason::kReached, packet.token};
}

std::optional<std::uint16_t> TokenSteering::takeFoundPort() {
  return reach_ ? reach_->TakeFoundPort() : std::nullopt;
}

void TokenSteering::noteSigns(const PacketSummary& packet, const BackendAddress& backend,
                              Time now) {
  const FlowFingerprint fingerprint = fingerprintOf(packet.flow, options_.hashSeed);
  TokenFlow* flow = flows_.find(fingerprint);
  if (packet.kind == PacketKind::kClosing) {
    if (flow != nullptr) {
      flows_.close(*flow);
    }
    return;
  }
  if (flow != nullptr && flow->closed) {
    return;
  }
  if (flow == nullptr || flow->backend != backend.id) {
    TokenFlow learned{fingerprint, packet.flow, backend.id};
    learned.acknowledgement = packet.acknowledgement;
    learned.answered = true;
    noteData(packet, flows_.put(learned, now), now);
    return;
  }
  const bool newBytes = packet.acknowledgement != flow->acknowledgement;
  if (newBytes || !flow->answered) {
    noteAnswer(*flow, now);
    flow->acknowledgement = packet.acknowledgement;
  }
  noteData(packet, *flow, now);
  flows_.touch(*flow, now);
}

void TokenSteering::noteAnswer(TokenFlow& flow, Time now) {
  health_.onAnswer(flow.backend, now);
  if (outliers_ != nullptr && !flow.dataAnswered) {
    outliers_->OnAnswered();
  }
  if (latencies_ != nullptr && !flow.answered && flow.openedAt != Time{}) {
    latencies_->onOpeningAnswered(now - flow.openedAt);
  } else if (latencies_ != nullptr && !flow.dataAnswered) {
    latencies_->onDataAnswered(now - flow.dataSentAt);
  }
  flow.answered = true;
  flow.dataAnswered = true;
}

void TokenSteering::noteData(const PacketSummary& packet, TokenFlow& flow, Time now) {
  if (packet.dataLength == 0) {
    return;
  }
  const std::uint32_t end = packet.sequence + packet.dataLength;
  const bool isNew = flow.dataSentAt == Time{} || static_cast<std::int32_t>(end - flow.dataEnd) > 0;
  if (isNew) {
    flow.dataEnd = end;
    flow.dataSentAt = now;
    flow.dataAnswered = false;
    // Of a flow that was opened elsewhere it is not known what was sent before.
    if (outliers_ != nullptr && flow.openedAt != Time{}) {
      deadlines_.Expect(flow.fingerprint, flow.dataEnd, now);
    }
  } else {
    health_.onRepeatedData(flow.backend, flow.dataSentAt, now);
  }
}

Verdict TokenSteering::steerOpening(const PacketSummary& packet, Time now) {
  decision_ = OpeningDecision{};
  decision_.version = routes_.version();
  if (openingsAreStale_) {
    return Drop{DropReason::kStaleOpening};
  }
  if (!viewComplete_ || routes_.version() == 0) {
    return Drop{DropReason::kNoConfiguration};
  }
  RouteEntry* route = routes_.find(packet.flow.destination);
  if (route == nullptr) {
    return viewCurrent_ ? refuse(RefuseReason::kNoRoute, RefusalCertainty::kNotRun)
                        : Verdict(Drop{DropReason::kStaleView});
  }
  decision_.route = route->route.name;
  TokenFlow* known = flows_.find(fingerprintOf(packet.flow, options_.hashSeed));
  const bool isRepeat =
      known != nullptr && known->openedAt != Time{} && now - known->openedAt < kOpeningSpan;
  if (!isRepeat) {
    return placeOpening(packet, *route, RouteReason::kPlaced, kNoBackend, now);
  }
  if (known->answered) {
    // The flow is open. A second back end that answered would take its later packets.
    return Drop{DropReason::kStaleOpening};
  }
  if (health_.isSuspected(known->backend, now) || !backends_.takesNewFlows(known->backend)) {
    const BackendId silent = known->backend;
    return placeOpening(packet, *route, RouteReason::kReplaced, silent, now);
  }
  return repeatOpening(*known, now);
}

Verdict TokenSteering::repeatOpening(TokenFlow& flow, Time now) {
  const BackendAddress* backend = backends_.find(flow.backend);
  decision_.backend = flow.backend;
  decision_.openFlows = flows_.openOn(flow.backend);
  flows_.touch(flow, now);
  return forward(*backend, RouteReason::kRepeated);
}

Verdict TokenSteering::placeOpening(const PacketSummary& packet, RouteEntry& route,
                                    RouteReason reason, BackendId avoided, Time now) {
  const Choice choice = chooseForRoute(route, avoided, now);
  if (choice.id == kNoBackend) {
    return withoutBackend(route.route, now);
  }
  emptySince_.erase(route.route.endpoint);
  if (choice.busy && packet.openingCopy < kLastOpeningCopy) {
    return Drop{DropReason::kPaced};
  }
  const BackendAddress& backend = *backends_.find(choice.id);
  TokenFlow flow{fingerprintOf(packet.flow, options_.hashSeed), packet.flow, choice.id};
  flow.openedAt = now;
  decision_.backend = choice.id;
  decision_.openFlows = flows_.openOn(choice.id);
  flows_.put(flow, now);
  health_.onOpening(choice.id, now);
  pacer_.onOpening(choice.id, choice.capacity, now);
  return forward(backend, reason);
}

Verdict TokenSteering::withoutBackend(const Route& route, Time now) {
  if (!viewCurrent_) {
    return Drop{DropReason::kStaleView};
  }
  const Time emptySince = emptySince_.try_emplace(route.endpoint, now).first->second;
  if (now - emptySince < kEmptyServicePatience) {
    return Drop{DropReason::kEmptyService};
  }
  return refuse(RefuseReason::kNoBackend, RefusalCertainty::kNotRun);
}

TokenSteering::Choice TokenSteering::chooseForRoute(RouteEntry& route, BackendId avoided,
                                                    Time now) {
  const std::vector<RouteTarget>& targets = route.route.targets;
  const RouteTarget& first = targets[route.split.next()];
  std::vector<ServiceId> services{serviceIdOf(first.service)};
  for (const RouteTarget& target : targets) {
    if (target.weight > 0 && target.service != first.service) {
      services.push_back(serviceIdOf(target.service));
    }
  }
  // Another part of the split is allowed to run the flow, and better than refusing it.
  for (const ServiceId service : services) {
    const Choice choice = chooseAmong(backends_.candidates(service), avoided, now);
    if (choice.id != kNoBackend) {
      return choice;
    }
  }
  for (const ServiceId service : services) {
    const Choice choice =
        chooseAmong(backends_.vanishedSince(service, now - kVanishedFallback), avoided, now);
    if (choice.id != kNoBackend) {
      return choice;
    }
  }
  return Choice{};
}

TokenSteering::Choice TokenSteering::chooseAmong(const std::vector<PlacementCandidate>& candidates,
                                                 BackendId avoided, Time now) {
  Choice best;
  if (candidates.empty()) {
    return best;
  }
  decision_.candidates = candidates.size();
  std::uint64_t ties = 0;
  const std::size_t looks = std::min(candidates.size(), kPlacementLooks);
  const std::size_t start = random_.below(candidates.size());
  const bool withOutliers = outliersCount(candidates);
  for (std::size_t i = 0; i < looks; ++i) {
    const Choice choice =
        assess(candidates[(start + i) % candidates.size()], avoided, withOutliers, now);
    if (choice.excluded) {
      continue;
    }
    const bool better = best.id == kNoBackend || isBetter(choice, best);
    const bool worse = !better && isBetter(best, choice);
    ties = better ? 1 : ties + (worse ? 0U : 1U);
    if (better || (!worse && random_.below(ties) == 0)) {
      best = choice;
    }
  }
  return best;
}

TokenSteering::Choice TokenSteering::assess(const PlacementCandidate& candidate, BackendId avoided,
                                            bool outliersCount, Time now) const {
  const double flows = flows_.openOn(candidate.id) + 1.0;
  const double factor = now < candidate.warmUntil ? kWarmUpFactor : 1.0;
  Choice choice;
  choice.id = candidate.id;
  choice.capacity = candidate.capacity;
  const bool isOutlier = outliersCount && outliers_->IsOutlier(candidate.id);
  choice.suspected = candidate.id == avoided || isOutlier || health_.isSuspected(candidate.id, now);
  choice.busy = pacer_.isBusy(candidate.id, now);
  choice.excluded = candidate.weight == 0;
  choice.load = flows * factor / (double{1} * candidate.capacity * std::max(candidate.weight, 1U));
  return choice;
}

bool TokenSteering::isBetter(const Choice& left, const Choice& right) {
  return std::tie(left.excluded, left.suspected, left.busy, left.load) <
         std::tie(right.excluded, right.suspected, right.busy, right.load);
}

Verdict TokenSteering::refuse(RefuseReason reason, RefusalCertainty certainty) const {
  return Refuse{RefusalForm::kReset, certainty, reason, std::chrono::seconds(1)};
}

Verdict TokenSteering::forward(const BackendAddress& backend, RouteReason reason) const {
  return ForwardToBackend{backend, routes_.version(), reason, backends_.tokenFor(backend)};
}

bool TokenSteering::outliersCount(const std::vector<PlacementCandidate>& candidates) const {
  if (outliers_ == nullptr) {
    return false;
  }
  std::size_t found = 0;
  for (const BackendId outlier : outliers_->GetOutliers()) {
    found += std::any_of(candidates.begin(), candidates.end(),
                         [outlier](const auto& candidate) { return candidate.id == outlier; })
                 ? 1U
                 : 0U;
  }
  return found != 0 && found * kBackendsPerOutlier <= candidates.size();
}

void TokenSteering::noteLateAnswers(Time now) {
  for (const AnswerDeadlines::Expected& expected : deadlines_.TakeDue(now)) {
    const TokenFlow* flow = flows_.find(expected.Flow);
    const bool isLate = flow != nullptr && !flow->closed && !flow->dataAnswered &&
                        flow->dataEnd == expected.DataEnd;
    if (isLate) {
      outliers_->OnLate(flow->backend);
    }
  }
}

void TokenSteering::onResume() {
  deadlines_.Clear();
  openingsAreStale_ = true;
  health_.onResume();
}

std::vector<BackendAddress> TokenSteering::takeProbes(Time now) {
  std::vector<BackendAddress> probes;
  if (!health_.hasSuspects()) {
    return probes;
  }
  for (const BackendId id : health_.takeProbes(backends_.activeCount(), now)) {
    if (const BackendAddress* backend = backends_.find(id)) {
      probes.push_back(*backend);
    } else {
      health_.onProbe(id, ProbeResult::kConnected, now);
    }
  }
  return probes;
}

void TokenSteering::onProbe(BackendId backend, ProbeResult result, Time now) {
  if (health_.onProbe(backend, result, now)) {
    if (outliers_ != nullptr) {
      outliers_->OnLate(backend);
    }
    resetFlowsOf(backend, RefuseReason::kBackendDead);
  }
}

void TokenSteering::resetFlowsOf(BackendId backend, RefuseReason reason) {
  for (const TokenFlow& flow : flows_.takeAllOf(backend)) {
    resets_.push_back({flow.key, flow.acknowledgement, backend, reason});
  }
}

std::vector<FlowReset> TokenSteering::takeResets() { return std::exchange(resets_, {}); }

void TokenSteering::resetFlowsOfEnded() {
  for (const BackendId id : flows_.backendsWithFlows()) {
    if (backends_.hasEnded(id)) {
      resetFlowsOf(id, RefuseReason::kBackendEnded);
    }
  }
}

void TokenSteering::onTick(Time now) {
  noteLateAnswers(now);
  if (now < nextMaintenance_) {
    return;
  }
  nextMaintenance_ = now + kMaintenanceInterval;
  flows_.expire(now, std::max<Duration>(options_.flowIdleTimeout, routes_.idleTimeout()));
  health_.expire(now);
  pacer_.expire(now);
  resetFlowsOfEnded();
  backends_.forgetDeparted(now);
  routes_.forgetDropped(now, options_.longestFlow);
}

}  // namespace cobaltgauge::core
