/// @file
/// Selects the backend for a new flow.
#pragma once

#include <cstdint>
#include <vector>

#include "core/backend_registry.h"
#include "core/opening_pacer.h"
#include "core/outlier/response_time_tracker.h"
#include "core/placement/demotion.h"
#include "core/placement/zone_spillover.h"
#include "core/random.h"
#include "core/route_table.h"
#include "core/token_flows.h"
#include "core/warmup/warm_up_budget.h"

namespace cobaltgauge::core {

/// The backend selected for a new flow, with the inputs of the decision.
struct PlacementChoice
{
  BackendId Id = kNoBackend;  ///< kNoBackend: no backend is available.
  std::uint32_t Capacity = 1; ///< Concurrent requests (slots).
  bool Busy = true;           ///< Received another opening very recently.
  bool WarmUpLimited = false; ///< Is subject to a warm-up rate limit.
  bool Spilled = false;       ///< Left the preferred zone due to overload.
  std::size_t Candidates = 0;
  /// Compared candidates with slow responses.
  std::size_t SlowCandidates = 0;
  /// Compared candidates that have reached their warm-up rate limit.
  std::size_t WarmUpExhaustedCandidates = 0;
};

/// Inputs of a BackendChooser; all must outlive the chooser.
struct PlacementInputs
{
  BackendRegistry& Backends;
  const RouteTable& Routes;
  const TokenFlows& Flows;
  const OpeningPacer& Pacer;
  const WarmUpBudget& WarmUps;
  const ResponseTimeTracker& ResponseTimes;
  Random& RandomSource;
  ZoneSpillover& Spillover;
};

/** \class BackendChooser
 * \brief Selects the best backend for a new flow.
 *
 * The choice is not recorded in the inputs; the caller does so if it uses the
 * choice.
 */
class BackendChooser
{
public:
  explicit BackendChooser(const PlacementInputs& inputs)
    : Inputs(inputs)
  {
  }

  /// \param demotion outlives the chooser.
  void AddDemotion(Demotion& demotion)
  {
    this->Demotions.push_back(&demotion);
  }

  /// Choose a backend for a flow of a route.  Advances the traffic split.
  /// \param avoided the backend that left this opening without a response.
  PlacementChoice Choose(RouteEntry& route, BackendId avoided, Time now);

private:
  using Candidates = std::vector<PlacementCandidate>;

  struct ScoredBackend
  {
    BackendId Id = kNoBackend;
    ServiceId Service{ 0 };
    ZoneId Zone = kNoZone;
    std::uint32_t Capacity = 1;
    bool Excluded = true; ///< Has weight zero.
    bool Deprioritized = true;
    bool Busy = true;
    bool Slow = false;
    bool WarmUpLimited = false;
    bool WarmUpExhausted = false; ///< Has reached its warm-up rate limit.
    double Load = 0;
  };

  ScoredBackend ChooseForRoute(RouteEntry& route, BackendId avoided, Time now);
  /// Choose among registered backends and those with expired registrations.
  ScoredBackend ChooseOfService(ServiceId service,
                                const RouteEntry& route,
                                BackendId avoided,
                                Time now);
  /// Choose among candidates in the regions that the route allows.
  ScoredBackend ChooseAllowed(const Candidates& candidates,
                              const RouteEntry& route,
                              BackendId avoided,
                              Time now);
  ScoredBackend ChooseAmong(const Candidates& candidates,
                            BackendId avoided,
                            Time now);
  /// Replace a choice by one from another zone if its zone is overloaded.
  ScoredBackend SpillOver(const ScoredBackend& first,
                          const Candidates& candidates,
                          BackendId avoided,
                          Time now);
  bool StaysInZone(const ScoredBackend& scored);
  /// \param excludedZones null for a choice among all candidates; otherwise
  /// candidates in these zones, and those warming up, are skipped.
  ScoredBackend ChooseOutsideZones(const Candidates& candidates,
                                   const std::vector<ZoneId>* excludedZones,
                                   BackendId avoided,
                                   Time now);
  /// \param sampleSize number of candidates that are compared; selected at
  /// random if fewer than all.
  ScoredBackend ChooseBest(const Candidates& candidates,
                           std::size_t sampleSize,
                           const std::vector<ZoneId>* excludedZones,
                           BackendId avoided,
                           Time now);
  bool AcceptsSpilled(const PlacementCandidate& candidate,
                      const std::vector<ZoneId>& excludedZones,
                      Time now) const;
  ScoredBackend Score(const PlacementCandidate& candidate,
                      BackendId avoided,
                      Time now) const;
  bool IsDeprioritized(const PlacementCandidate& candidate, Time now) const;
  static bool IsBetter(const ScoredBackend& left, const ScoredBackend& right);

  PlacementInputs Inputs;
  std::vector<Demotion*> Demotions;
  PlacementChoice Result; ///< The choice in progress.
};

} // namespace cobaltgauge::core
