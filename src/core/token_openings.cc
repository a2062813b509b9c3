/// @file
/// The part of TokenSteering that decides openings.
#include <algorithm>
#include <tuple>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/token_steering.h"

namespace cobaltgauge::core {
namespace {

/// Work on a back end that has just started takes about this much longer.
constexpr double kWarmUpFactor = 1.6;

}  // namespace

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
  outcomes_.OnCopy(known->fingerprint, now);
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
  const Choice choice = chooseForRoute(route, avoided, now);
  if (choice.id == kNoBackend) {
    return withoutBackend(packet, route.route, reason, now);
  }
  emptySince_.erase(route.route.endpoint);
  if (choice.busy && packet.openingCopy < kLastOpeningCopy) {
    return Drop{DropReason::kPaced};
  }
  TokenFlow flow{fingerprintOf(packet.flow, options_.hashSeed), packet.flow, choice.id};
  flow.openedAt = now;
  decision_.backend = choice.id;
  decision_.openFlows = flows_.openOn(choice.id);
  flows_.put(flow, now);
  const BackendAddress& backend = *backends_.find(choice.id);
  outcomes_.OnOpening(
      flow.fingerprint,
      {route.route.endpoint, backend.id, backend.service, backend.zone, route.route.priority}, now);
  if (load_ != nullptr) {
    load_->OnOpening(flow.fingerprint, {backend.service, backend.zone}, now);
  }
  health_.onOpening(choice.id, now);
  pacer_.onOpening(choice.id, choice.capacity, now);
  if (choice.cold) {
    warmUps_.OnOpening(choice.id, now);
  }
  return forward(backend, reason);
}

Verdict TokenSteering::withoutBackend(const PacketSummary& packet, const Route& route,
                                      RouteReason reason, Time now) {
  if (!viewCurrent_) {
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
    const Choice choice = chooseOfService(service, route, avoided, now);
    if (choice.id != kNoBackend) {
      return choice;
    }
  }
  if (decision_.coldCandidates > 0) {
    return Choice{};
  }
  for (const ServiceId service : services) {
    const std::vector<PlacementCandidate> vanished =
        backends_.vanishedSince(service, now - kVanishedFallback);
    const Choice choice = chooseAllowed(vanished, route, avoided, now);
    if (choice.id != kNoBackend) {
      return choice;
    }
  }
  return Choice{};
}

TokenSteering::Choice TokenSteering::chooseOfService(ServiceId service, const RouteEntry& route,
                                                     BackendId avoided, Time now) {
  const std::vector<PlacementCandidate>& registered = backends_.candidates(service);
  std::vector<PlacementCandidate> all = backends_.lapsedSince(service, now - kVanishedFallback);
  if (all.empty()) {
    return chooseAllowed(registered, route, avoided, now);
  }
  // Registrations are still coming back: those that are there are too few for all openings.
  all.insert(all.end(), registered.begin(), registered.end());
  return chooseAllowed(all, route, avoided, now);
}

TokenSteering::Choice TokenSteering::chooseAllowed(
    const std::vector<PlacementCandidate>& candidates, const RouteEntry& route, BackendId avoided,
    Time now) {
  if (route.regions.empty()) {
    return chooseAmong(candidates, avoided, now);
  }
  std::vector<PlacementCandidate> allowed;
  for (const PlacementCandidate& candidate : candidates) {
    if (route.allows(candidate.region)) {
      allowed.push_back(candidate);
    }
  }
  return chooseAmong(allowed, avoided, now);
}

TokenSteering::Choice TokenSteering::chooseAmong(const std::vector<PlacementCandidate>& candidates,
                                                 BackendId avoided, Time now) {
  decision_.candidates = candidates.size();
  decision_.slowCandidates = 0;
  if (candidates.size() > kPlacementLooks) {
    const Choice drawn = chooseBest(candidates, kPlacementLooks, avoided, now);
    if (drawn.id != kNoBackend) {
      return drawn;
    }
  }
  return chooseBest(candidates, candidates.size(), avoided, now);
}

TokenSteering::Choice TokenSteering::chooseBest(const std::vector<PlacementCandidate>& candidates,
                                                std::size_t looks, BackendId avoided, Time now) {
  Choice best;
  std::uint64_t ties = 0;
  const bool withOutliers = outliersCount(candidates);
  for (std::size_t look = 0; look < looks; ++look) {
    // Neighbours in the list would not do: one among back ends of other zones would be compared
    // with few of its own and get several times its share.
    const std::size_t index = looks < candidates.size() ? random_.below(candidates.size()) : look;
    const Choice choice = assess(candidates[index], avoided, withOutliers, now);
    decision_.coldCandidates += choice.coldHeld ? 1U : 0U;
    if (choice.excluded || choice.coldHeld) {
      continue;
    }
    decision_.slowCandidates += choice.slow ? 1U : 0U;
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
  const double warmUp = now < candidate.warmUntil ? kWarmUpFactor : 1.0;
  const double slowness = answerTimes_.GetSlowness(candidate.id, candidate.service, now);
  const double factor = std::max(warmUp, slowness);
  Choice choice;
  choice.id = candidate.id;
  choice.capacity = candidate.capacity;
  const bool isOutlier = outliersCount && outliers_->IsOutlier(candidate.id);
  choice.suspected = candidate.id == avoided || isOutlier || health_.isSuspected(candidate.id, now);
  choice.busy = pacer_.isBusy(candidate.id, now);
  choice.slow = slowness > 1.0;
  choice.excluded = candidate.weight == 0;
  const double bears = now < candidate.warmUntil ? routes_.coldOpenings(candidate.service) : 0;
  choice.cold = bears > 0;
  choice.coldHeld = choice.cold && !warmUps_.MayOpen(candidate.id, bears, now);
  choice.load = flows * factor / (double{1} * candidate.capacity * std::max(candidate.weight, 1U));
  return choice;
}

bool TokenSteering::isBetter(const Choice& left, const Choice& right) {
  return std::tie(left.excluded, left.suspected, left.busy, left.load) <
         std::tie(right.excluded, right.suspected, right.busy, right.load);
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

}  // namespace cobaltgauge::core
