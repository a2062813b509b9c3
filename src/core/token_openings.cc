/// @file
/// The part of TokenSteering that decides openings.
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
  outcomes_.OnRetransmission(known->fingerprint, now);
  const bool takesFlows = backends_.takesNewFlows(known->backend) ||
                          backends_.hasVanishedSince(known->backend, now - kVanishedFallback);
  if (health_.isSuspected(known->backend, now) || !takesFlows) {
    const BackendId silent = known->backend;
    return placeOpening(packet, *route, RouteReason::kReplaced, silent, now);
  }
  return repeatOpening(*known, now);
}

Verdict TokenSteering::repeatOpening(TokenFlow& flow, Time now) {
  decision_.backend = flow.backend;
  decision_.openFlows = flows_.openOn(flow.backend);
  flows_.touch(flow, now);
  const BackendAddress& backend = *backends_.find(flow.backend);
  if (load_ != nullptr) {
    load_->OnOpening(flow.fingerprint, {backend.service, backend.zone}, now);
  }
  return forward(backend, RouteReason::kRepeated);
}

Verdict TokenSteering::placeOpening(const PacketSummary& packet, RouteEntry& route,
                                    RouteReason reason, BackendId avoided, Time now) {
  if (!mayOpen(packet, route.route, reason, now)) {
    return refuse(RefuseReason::kNoRoom, RefusalCertainty::kNotRun);
  }
  const PlacementChoice choice = chooser_.Choose(route, avoided, now);
  decision_.candidates = choice.Candidates;
  decision_.slowCandidates = choice.SlowCandidates;
  decision_.coldCandidates = choice.WarmUpExhaustedCandidates;
  decision_.spilled = choice.Spilled;
  if (choice.Id == kNoBackend) {
    return withoutBackend(packet, route.route, reason, now);
  }
  emptySince_.erase(route.route.endpoint);
  if (choice.Busy && packet.openingCopy < kLastOpeningCopy) {
    return Drop{DropReason::kPaced};
  }
  TokenFlow flow{fingerprintOf(packet.flow, options_.hashSeed), packet.flow, choice.Id};
  flow.openedAt = now;
  decision_.backend = choice.Id;
  decision_.openFlows = flows_.openOn(choice.Id);
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
    warmUps_.OnOpening(choice.Id, now);
  }
  return forward(backend, reason);
}

bool TokenSteering::mayOpen(const PacketSummary& packet, const Route& route, RouteReason reason,
                            Time now) {
  // A later copy may follow one that another daemon sent on. A stale view may lack back ends.
  const bool isFirst = packet.openingCopy == 0 && reason == RouteReason::kPlaced;
  if (admission_ == nullptr || !isFirst) {
    return true;
  }
  const bool admitted = admission_->Admit(route, now, viewCurrent_ && viewWhole_);
  for (const RouteTarget& target : route.targets) {
    const ServiceId service = serviceIdOf(target.service);
    spill_.SetLimited(service, admission_->IsLimited(service));
  }
  return admitted;
}

Verdict TokenSteering::withoutBackend(const PacketSummary& packet, const Route& route,
                                      RouteReason reason, Time now) {
  if (!viewCurrent_ || !viewWhole_) {
    return Drop{DropReason::kStaleView};
  }
  if (decision_.coldCandidates > 0) {
    // They bear another one soon. Only an opening that was never sent on is refused.
    const bool isLast = packet.openingCopy >= kLastOpeningCopy && reason == RouteReason::kPlaced;
    return isLast ? refuse(RefuseReason::kWarmingUp, RefusalCertainty::kNotRun)
                  : Verdict(Drop{DropReason::kPaced});
  }
  // A repeated opening may have been answered through another daemon before the zones were out.
  if (packet.openingCopy == 0 && isEvacuated(route)) {
    return refuse(RefuseReason::kEvacuated, RefusalCertainty::kNotRun);
  }
  const Time emptySince = emptySince_.try_emplace(route.endpoint, now).first->second;
  if (now - emptySince < kEmptyServicePatience) {
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
