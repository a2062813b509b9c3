#include "core/placement/backend_chooser.h"

#include <algorithm>
#include <tuple>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Work on a back end that has just started takes about this much longer.
constexpr double kWarmUpFactor = 1.6;
/// Parts in which a share of openings is drawn.
constexpr std::uint64_t kDrawnParts = 1U << 20U;

} // namespace

PlacementChoice BackendChooser::Choose(RouteEntry& route,
                                       BackendId avoided,
                                       Time now)
{
  this->Seen = PlacementChoice{};
  const Rated best = this->ChooseForRoute(route, avoided, now);
  this->Seen.Id = best.Id;
  this->Seen.Capacity = best.Capacity;
  this->Seen.Busy = best.Busy;
  this->Seen.Cold = best.Cold;
  return this->Seen;
}

BackendChooser::Rated BackendChooser::ChooseForRoute(RouteEntry& route,
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
  // Another part of the split is allowed to run the flow, and better than
  // refusing it.
  for (const ServiceId service : services) {
    const Rated best = this->ChooseOfService(service, route, avoided, now);
    if (best.Id != kNoBackend) {
      return best;
    }
  }
  if (this->Seen.ColdCandidates > 0) {
    return Rated{};
  }
  for (const ServiceId service : services) {
    const Candidates vanished =
      this->In.Backends.vanishedSince(service, now - kVanishedFallback);
    const Rated best = this->ChooseAllowed(vanished, route, avoided, now);
    if (best.Id != kNoBackend) {
      return best;
    }
  }
  return Rated{};
}

BackendChooser::Rated BackendChooser::ChooseOfService(ServiceId service,
                                                      const RouteEntry& route,
                                                      BackendId avoided,
                                                      Time now)
{
  const Candidates& registered = this->In.Backends.candidates(service);
  // Of all regions: routes that allow different ones share the figures.
  this->In.Spill.Update(registered, now);
  Candidates all =
    this->In.Backends.expiredSince(service, now - kVanishedFallback);
  if (all.empty()) {
    return this->ChooseAllowed(registered, route, avoided, now);
  }
  // Registrations are still coming back: those that are there are too few for
  // all openings.
  all.insert(all.end(), registered.begin(), registered.end());
  return this->ChooseAllowed(all, route, avoided, now);
}

BackendChooser::Rated BackendChooser::ChooseAllowed(
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

BackendChooser::Rated BackendChooser::ChooseAmong(const Candidates& candidates,
                                                  BackendId avoided,
                                                  Time now)
{
  this->Seen.Candidates = candidates.size();
  this->Seen.SlowCandidates = 0;
  for (Demotion* demotion : this->Demotions) {
    demotion->Consider(candidates, now);
  }
  const Rated first = this->ChooseWithout(candidates, nullptr, avoided, now);
  return this->Spill(first, candidates, avoided, now);
}

BackendChooser::Rated BackendChooser::Spill(const Rated& first,
                                            const Candidates& candidates,
                                            BackendId avoided,
                                            Time now)
{
  Rated chosen = first;
  std::vector<ZoneId> full;
  while (!this->Stays(chosen)) {
    full.push_back(chosen.Zone);
    chosen = this->ChooseWithout(candidates, &full, avoided, now);
    // A back end that comes last is no room, nor is one that is busy.
    const bool isWorse = chosen.Id == kNoBackend ||
      std::tie(chosen.Last, chosen.Busy) > std::tie(first.Last, first.Busy);
    if (isWorse) {
      return first;
    }
  }
  if (!full.empty()) {
    this->In.Spill.OnSpilled();
    this->Seen.Spilled = true;
  }
  return chosen;
}

bool BackendChooser::Stays(const Rated& rated)
{
  if (rated.Id == kNoBackend) {
    return true;
  }
  const double kept = this->In.Spill.GetKept(rated.Service, rated.Zone);
  return kept >= 1 ||
    static_cast<double>(this->In.Draws.below(kDrawnParts)) <
    kept * static_cast<double>(kDrawnParts);
}

BackendChooser::Rated BackendChooser::ChooseWithout(
  const Candidates& candidates,
  const std::vector<ZoneId>* without,
  BackendId avoided,
  Time now)
{
  if (candidates.size() > kPlacementLooks) {
    const Rated drawn =
      this->ChooseBest(candidates, kPlacementLooks, without, avoided, now);
    if (drawn.Id != kNoBackend) {
      return drawn;
    }
  }
  return this->ChooseBest(
    candidates, candidates.size(), without, avoided, now);
}

bool BackendChooser::MayTakeSpilled(const PlacementCandidate& candidate,
                                    const std::vector<ZoneId>& without,
                                    Time now) const
{
  return now >= candidate.warmUntil &&
    std::find(without.begin(), without.end(), candidate.zone) ==
    without.end() &&
    this->In.Spill.MayTake(candidate.service, candidate.zone);
}

BackendChooser::Rated BackendChooser::ChooseBest(
  const Candidates& candidates,
  std::size_t looks,
  const std::vector<ZoneId>* without,
  BackendId avoided,
  Time now)
{
  Random& draws = this->In.Draws;
  Rated best;
  std::uint64_t ties = 0;
  for (std::size_t look = 0; look < looks; ++look) {
    // Neighbours in the list would not do: one among back ends of other zones
    // would be compared with few of its own and get several times its share.
    const std::size_t index =
      looks < candidates.size() ? draws.below(candidates.size()) : look;
    if (without != nullptr &&
        !this->MayTakeSpilled(candidates[index], *without, now)) {
      continue;
    }
    const Rated rated = this->Rate(candidates[index], avoided, now);
    this->Seen.ColdCandidates += rated.ColdHeld ? 1U : 0U;
    if (rated.Excluded || rated.ColdHeld) {
      continue;
    }
    this->Seen.SlowCandidates += rated.Slow ? 1U : 0U;
    const bool better = best.Id == kNoBackend || IsBetter(rated, best);
    const bool worse = !better && IsBetter(best, rated);
    ties = better ? 1 : ties + (worse ? 0U : 1U);
    if (better || (!worse && draws.below(ties) == 0)) {
      best = rated;
    }
  }
  return best;
}

BackendChooser::Rated BackendChooser::Rate(const PlacementCandidate& candidate,
                                           BackendId avoided,
                                           Time now) const
{
  const double flows = this->In.Flows.openOn(candidate.id) + 1.0;
  const bool isWarming = now < candidate.warmUntil;
  const double warmUp = isWarming ? kWarmUpFactor : 1.0;
  const double slowness =
    this->In.Answers.GetSlowness(candidate.id, candidate.service, now);
  const double factor = std::max(warmUp, slowness);
  const double bears =
    isWarming ? this->In.Routes.warmUpRateLimit(candidate.service) : 0;
  Rated rated;
  rated.Id = candidate.id;
  rated.Service = candidate.service;
  rated.Zone = candidate.zone;
  rated.Capacity = candidate.capacity;
  rated.Excluded = candidate.weight == 0;
  rated.Last = candidate.id == avoided || this->ComesLast(candidate, now);
  rated.Busy = this->In.Pacer.isBusy(candidate.id, now);
  rated.Slow = slowness > 1.0;
  rated.Cold = bears > 0;
  rated.ColdHeld =
    rated.Cold && !this->In.WarmUps.MayOpen(candidate.id, bears, now);
  rated.Load = flows * factor /
    (double{ 1 } * candidate.capacity * std::max(candidate.weight, 1U));
  return rated;
}

bool BackendChooser::ComesLast(const PlacementCandidate& candidate,
                               Time now) const
{
  return std::any_of(this->Demotions.begin(),
                     this->Demotions.end(),
                     [&candidate, now](const Demotion* demotion) {
                       return demotion->ComesLast(candidate, now);
                     });
}

bool BackendChooser::IsBetter(const Rated& left, const Rated& right)
{
  return std::tie(left.Excluded, left.Last, left.Busy, left.Load) <
    std::tie(right.Excluded, right.Last, right.Busy, right.Load);
}

} // namespace cobaltgauge::core
