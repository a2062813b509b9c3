#include "core/placement/backend_chooser.h"

#include <algorithm>
#include <tuple>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Assumed slowdown factor of backends that are warming up.
constexpr double kWarmUpFactor = 1.6;
/// Number of steps that a share of openings is rounded to for a random
/// decision.
constexpr std::uint64_t kShareResolution = 1U << 20U;

} // namespace

PlacementChoice BackendChooser::Choose(RouteEntry& route,
                                       BackendId avoided,
                                       Time now)
{
  this->Result = PlacementChoice{};
  const ScoredBackend best = this->ChooseForRoute(route, avoided, now);
  this->Result.Id = best.Id;
  this->Result.Capacity = best.Capacity;
  this->Result.Busy = best.Busy;
  this->Result.WarmUpLimited = best.WarmUpLimited;
  return this->Result;
}

BackendChooser::ScoredBackend BackendChooser::ChooseForRoute(RouteEntry& route,
                                                             BackendId avoided,
                                                             Time now)
{
  const std::vector<RouteTarget>& targets = route.route.targets;
  const RouteTarget& first = targets[route.split.next()];
  std::vector<ServiceId> services{ serviceIdOf(first.service) };
  for (const RouteTarget& target : targets) {
    if (target.weight > 0 && target.service != first.service) {
      services.push_back(serviceIdOf(target.service));
    }
  }
  // Prefer another target of the split to refusing the flow.
  for (const ServiceId service : services) {
    const ScoredBackend best =
      this->ChooseOfService(service, route, avoided, now);
    if (best.Id != kNoBackend) {
      return best;
    }
  }
  if (this->Result.WarmUpExhaustedCandidates > 0) {
    return ScoredBackend{};
  }
  for (const ServiceId service : services) {
    const Candidates removed = this->Inputs.Backends.unannouncedRemovalsSince(
      service, now - kUnannouncedRemovalGracePeriod);
    const ScoredBackend best =
      this->ChooseAllowed(removed, route, avoided, now);
    if (best.Id != kNoBackend) {
      return best;
    }
  }
  return ScoredBackend{};
}

BackendChooser::ScoredBackend BackendChooser::ChooseOfService(
  ServiceId service,
  const RouteEntry& route,
  BackendId avoided,
  Time now)
{
  const Candidates& registered = this->Inputs.Backends.candidates(service);
  // Use all regions, as routes with different regions share the statistics.
  this->Inputs.Spillover.Update(registered, now);
  Candidates all = this->Inputs.Backends.expiredSince(
    service, now - kUnannouncedRemovalGracePeriod);
  if (all.empty()) {
    return this->ChooseAllowed(registered, route, avoided, now);
  }
  // Registrations are being renewed; the current ones alone may be too few
  // for all openings.
  all.insert(all.end(), registered.begin(), registered.end());
  return this->ChooseAllowed(all, route, avoided, now);
}

BackendChooser::ScoredBackend BackendChooser::ChooseAllowed(
  const Candidates& candidates,
  const RouteEntry& route,
  BackendId avoided,
  Time now)
{
  if (route.regions.empty()) {
    return this->ChooseAmong(candidates, avoided, now);
  }
  Candidates allowed;
  for (const PlacementCandidate& candidate : candidates) {
    if (route.allows(candidate.region)) {
      allowed.push_back(candidate);
    }
  }
  return this->ChooseAmong(allowed, avoided, now);
}

BackendChooser::ScoredBackend BackendChooser::ChooseAmong(
  const Candidates& candidates,
  BackendId avoided,
  Time now)
{
  this->Result.Candidates = candidates.size();
  this->Result.SlowCandidates = 0;
  for (Demotion* demotion : this->Demotions) {
    demotion->Prepare(candidates, now);
  }
  const ScoredBackend first =
    this->ChooseOutsideZones(candidates, nullptr, avoided, now);
  return this->SpillOver(first, candidates, avoided, now);
}

BackendChooser::ScoredBackend BackendChooser::SpillOver(
  const ScoredBackend& first,
  const Candidates& candidates,
  BackendId avoided,
  Time now)
{
  ScoredBackend chosen = first;
  std::vector<ZoneId> overloadedZones;
  while (!this->StaysInZone(chosen)) {
    overloadedZones.push_back(chosen.Zone);
    chosen =
      this->ChooseOutsideZones(candidates, &overloadedZones, avoided, now);
    // Do not spill over to a backend that is deprioritized or busy.
    const bool isWorse = chosen.Id == kNoBackend ||
      std::tie(chosen.Deprioritized, chosen.Busy) >
        std::tie(first.Deprioritized, first.Busy);
    if (isWorse) {
      return first;
    }
  }
  if (!overloadedZones.empty()) {
    this->Inputs.Spillover.OnSpilled();
    this->Result.Spilled = true;
  }
  return chosen;
}

bool BackendChooser::StaysInZone(const ScoredBackend& scored)
{
  if (scored.Id == kNoBackend) {
    return true;
  }
  const double localShare =
    this->Inputs.Spillover.GetLocalShare(scored.Service, scored.Zone);
  return localShare >= 1 ||
    static_cast<double>(this->Inputs.RandomSource.below(kShareResolution)) <
    localShare * static_cast<double>(kShareResolution);
}

BackendChooser::ScoredBackend BackendChooser::ChooseOutsideZones(
  const Candidates& candidates,
  const std::vector<ZoneId>* excludedZones,
  BackendId avoided,
  Time now)
{
  if (candidates.size() > kPlacementSampleSize) {
    const ScoredBackend sampled = this->ChooseBest(
      candidates, kPlacementSampleSize, excludedZones, avoided, now);
    if (sampled.Id != kNoBackend) {
      return sampled;
    }
  }
  return this->ChooseBest(
    candidates, candidates.size(), excludedZones, avoided, now);
}

bool BackendChooser::AcceptsSpilled(const PlacementCandidate& candidate,
                                    const std::vector<ZoneId>& excludedZones,
                                    Time now) const
{
  return now >= candidate.warmUntil &&
    std::find(excludedZones.begin(), excludedZones.end(), candidate.zone) ==
    excludedZones.end() &&
    this->Inputs.Spillover.AcceptsSpillover(candidate.service, candidate.zone);
}

BackendChooser::ScoredBackend BackendChooser::ChooseBest(
  const Candidates& candidates,
  std::size_t sampleSize,
  const std::vector<ZoneId>* excludedZones,
  BackendId avoided,
  Time now)
{
  Random& random = this->Inputs.RandomSource;
  ScoredBackend best;
  std::uint64_t ties = 0;
  for (std::size_t i = 0; i < sampleSize; ++i) {
    // Sample independently: adjacent entries may be of other zones, and a
    // backend among these would get more than its share of openings.
    const std::size_t index =
      sampleSize < candidates.size() ? random.below(candidates.size()) : i;
    if (excludedZones != nullptr &&
        !this->AcceptsSpilled(candidates[index], *excludedZones, now)) {
      continue;
    }
    const ScoredBackend scored = this->Score(candidates[index], avoided, now);
    this->Result.WarmUpExhaustedCandidates += scored.WarmUpExhausted ? 1U : 0U;
    if (scored.Excluded || scored.WarmUpExhausted) {
      continue;
    }
    this->Result.SlowCandidates += scored.Slow ? 1U : 0U;
    const bool better = best.Id == kNoBackend || IsBetter(scored, best);
    const bool worse = !better && IsBetter(best, scored);
    ties = better ? 1 : ties + (worse ? 0U : 1U);
    if (better || (!worse && random.below(ties) == 0)) {
      best = scored;
    }
  }
  return best;
}

BackendChooser::ScoredBackend BackendChooser::Score(
  const PlacementCandidate& candidate,
  BackendId avoided,
  Time now) const
{
  const double flows = this->Inputs.Flows.openFlowCount(candidate.id) + 1.0;
  const bool isWarming = now < candidate.warmUntil;
  const double warmUp = isWarming ? kWarmUpFactor : 1.0;
  const double slowness = this->Inputs.ResponseTimes.GetSlowdown(
    candidate.id, candidate.service, now);
  const double factor = std::max(warmUp, slowness);
  const double warmUpRate =
    isWarming ? this->Inputs.Routes.warmUpRateLimit(candidate.service) : 0;
  ScoredBackend scored;
  scored.Id = candidate.id;
  scored.Service = candidate.service;
  scored.Zone = candidate.zone;
  scored.Capacity = candidate.capacity;
  scored.Excluded = candidate.weight == 0;
  scored.Deprioritized =
    candidate.id == avoided || this->IsDeprioritized(candidate, now);
  scored.Busy = this->Inputs.Pacer.isBusy(candidate.id, now);
  scored.Slow = slowness > 1.0;
  scored.WarmUpLimited = warmUpRate > 0;
  scored.WarmUpExhausted = scored.WarmUpLimited &&
    !this->Inputs.WarmUps.AllowsOpening(candidate.id, warmUpRate, now);
  scored.Load = flows * factor /
    (double{ 1 } * candidate.capacity * std::max(candidate.weight, 1U));
  return scored;
}

bool BackendChooser::IsDeprioritized(const PlacementCandidate& candidate,
                                     Time now) const
{
  return std::any_of(this->Demotions.begin(),
                     this->Demotions.end(),
                     [&candidate, now](const Demotion* demotion) {
                       return demotion->IsDeprioritized(candidate, now);
                     });
}

bool BackendChooser::IsBetter(const ScoredBackend& left,
                              const ScoredBackend& right)
{
  return std::tie(left.Excluded, left.Deprioritized, left.Busy, left.Load) <
    std::tie(right.Excluded, right.Deprioritized, right.Busy, right.Load);
}

} // namespace cobaltgauge::core
