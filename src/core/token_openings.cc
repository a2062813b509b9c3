/// @file
/// Decisions of TokenSteering about connection attempts.
#include <algorithm>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/token_steering.h"

namespace cobaltgauge::core {

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
  TokenFlow* flow = flows_.find(fingerprintOf(packet.flow, options_.hashSeed));
  const bool isRetransmission =
      flow != nullptr && flow->openedAt != Time{} && now - flow->openedAt < kOpeningRetryWindow;
  if (!isRetransmission) {
    return placeOpening(packet, *route, RouteReason::kPlaced, kNoBackend, now);
  }
  if (flow->responded) {
    // The flow is established. A response of a second backend would redirect its later packets.
    return Drop{DropReason::kStaleOpening};
  }
  outcomes_.OnRetransmission(flow->fingerprint, now);
  const bool takesFlows =
      backends_.takesNewFlows(flow->backend) ||
      backends_.wasRemovedUnannouncedSince(flow->backend, now - kUnannouncedRemovalGracePeriod);
  if (health_.isSuspected(flow->backend, now) || !takesFlows) {
    const BackendId previous = flow->backend;
    return placeOpening(packet, *route, RouteReason::kReplaced, previous, now);
  }
  return forwardRetransmission(*flow, now);
}

Verdict TokenSteering::forwardRetransmission(TokenFlow& flow, Time now) {
  decision_.backend = flow.backend;
  decision_.openFlows = flows_.openFlowCount(flow.backend);
  flows_.touch(flow, now);
  const BackendAddress& backend = *backends_.find(flow.backend);
  if (load_ != nullptr) {
    load_->OnOpening(flow.fingerprint, {backend.service, backend.zone}, now);
  }
  return forward(backend, RouteReason::kRepeated);
}

Verdict TokenSteering::placeOpening(const PacketSummary& packet, RouteEntry& route,
                                    RouteReason reason, BackendId avoided, Time now) {
  if (!admitOpening(packet, route.route, reason, now)) {
    return refuse(RefuseReason::kOverloaded, RefusalCertainty::kNotRun);
  }
  const PlacementChoice choice = chooser_.Choose(route, avoided, now);
  decision_.candidates = choice.Candidates;
  decision_.slowCandidates = choice.SlowCandidates;
  decision_.warmingUpCandidates = choice.WarmUpExhaustedCandidates;
  decision_.spilled = choice.Spilled;
  if (choice.Id == kNoBackend) {
    return verdictWithoutBackend(packet, route.route, reason, now);
  }
  emptySince_.erase(route.route.endpoint);
  if (choice.Busy && packet.openingRetransmission < kMaxOpeningRetransmissions) {
    return Drop{DropReason::kPaced};
  }
  TokenFlow flow{fingerprintOf(packet.flow, options_.hashSeed), packet.flow, choice.Id};
  flow.openedAt = now;
  decision_.backend = choice.Id;
  decision_.openFlows = flows_.openFlowCount(choice.Id);
  flows_.put(flow, now);
  const BackendAddress& backend = *backends_.find(choice.Id);
  outcomes_.OnOpening(
      flow.fingerprint,
      {route.route.endpoint, backend.id, backend.service, backend.zone, route.route.priority}, now);
  if (load_ != nullptr) {
    load_->OnOpening(flow.fingerprint, {backend.service, backend.zone}, now);
  }
  health_.onOpening(choice.Id, now);
  serving_.OnOpening(choice.Id, backend.service, now);
  pacer_.onOpening(choice.Id, choice.Capacity, now);
  if (choice.WarmUpLimited) {
    warmUpBudget_.OnOpening(choice.Id, now);
  }
  return forward(backend, reason);
}

bool TokenSteering::admitOpening(const PacketSummary& packet, const Route& route,
                                 RouteReason reason, Time now) {
  // Another daemon may have forwarded an earlier copy of a retransmission. A stale view may lack
  // backends.
  const bool isFirst = packet.openingRetransmission == 0 && reason == RouteReason::kPlaced;
  if (admission_ == nullptr || !isFirst) {
    return true;
  }
  const bool admitted = admission_->Admit(route, now, viewCurrent_ && viewCoversAllBackends_);
  for (const RouteTarget& target : route.targets) {
    const ServiceId service = serviceIdOf(target.service);
    spillover_.SetLimited(service, admission_->IsLimited(service));
  }
  return admitted;
}

Verdict TokenSteering::verdictWithoutBackend(const PacketSummary& packet, const Route& route,
                                             RouteReason reason, Time now) {
  if (!viewCurrent_ || !viewCoversAllBackends_) {
    return Drop{DropReason::kStaleView};
  }
  if (decision_.warmingUpCandidates > 0) {
    // A backend will be below its warm-up rate limit soon. Only an attempt that was never forwarded
    // is refused.
    const bool isLast = packet.openingRetransmission >= kMaxOpeningRetransmissions &&
                        reason == RouteReason::kPlaced;
    return isLast ? refuse(RefuseReason::kWarmingUp, RefusalCertainty::kNotRun)
                  : Verdict(Drop{DropReason::kPaced});
  }
  // A retransmission may have been answered through another daemon before the evacuation.
  if (packet.openingRetransmission == 0 && isEvacuated(route)) {
    return refuse(RefuseReason::kEvacuated, RefusalCertainty::kNotRun);
  }
  const Time emptySince = emptySince_.try_emplace(route.endpoint, now).first->second;
  if (now - emptySince < kEmptyServiceGracePeriod) {
    return Drop{DropReason::kEmptyService};
  }
  return refuse(RefuseReason::kNoBackend, RefusalCertainty::kNotRun);
}

bool TokenSteering::isEvacuated(const Route& route) const {
  return std::any_of(route.targets.begin(), route.targets.end(), [this](const RouteTarget& target) {
    return target.weight > 0 && backends_.isEvacuated(serviceIdOf(target.service));
  });
}

}  // namespace cobaltgauge::core
