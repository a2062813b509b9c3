/// @file
/// Chooses the back end that a new flow gets.
#pragma once

#include <cstdint>
#include <vector>

#include "core/backend_registry.h"
#include "core/opening_pacer.h"
#include "core/outlier/answer_times.h"
#include "core/placement/demotion.h"
#include "core/placement/zone_spillover.h"
#include "core/random.h"
#include "core/route_table.h"
#include "core/token_flows.h"
#include "core/warmup/warm_up_budget.h"

namespace cobaltgauge::core {

/// A back end for a new flow, with what decided.
struct PlacementChoice
{
  BackendId Id = kNoBackend; ///< kNoBackend: none takes flows.
  std::uint32_t Capacity = 1;
  bool Busy = true; ///< Was given an opening only just now.
  bool WarmUpLimited =
    false;              ///< Counts for the bound of what a cold back end gets.
  bool Spilled = false; ///< Left the preferred zone for want of room.
  std::size_t Candidates = 0;     ///< That could have been chosen.
  std::size_t SlowCandidates = 0; ///< Of those compared, with slow answers.
  std::size_t WarmUpExhaustedCandidates =
    0; ///< Of those compared, given all they bear.
};

/// What a BackendChooser sampleSize at; all of it outlives the chooser.
struct PlacementInputs
{
  BackendRegistry& Backends;
  const RouteTable& Routes;
  const TokenFlows& Flows;
  const OpeningPacer& Pacer;
  const WarmUpBudget& WarmUps;
  const AnswerTimes& Answers;
  Random& RandomSource;
  ZoneSpillover& Spill;
};

/** \class BackendChooser
 * \brief Find the best back end for a new flow.
 *
 * It decides and notes nothing: whoever follows the choice tells the parts
 * that it was made of.
 */
class BackendChooser
{
public:
  explicit BackendChooser(const PlacementInputs& inputs)
    : Inputs(inputs)
  {
  }

  /// Add a reason to put back ends last.
  /// \param demotion outlives the chooser.
  void AddDemotion(Demotion& demotion)
  {
    this->Demotions.push_back(&demotion);
  }

  /// Choose for a flow of a route, in turn of the route's split.
  /// \param avoided the back end that left this opening unanswered.
  PlacementChoice Choose(RouteEntry& route, BackendId avoided, Time now);

private:
  using Candidates = std::vector<PlacementCandidate>;

  struct ScoredBackend
  {
    BackendId Id = kNoBackend;
    ServiceId Service{ 0 };
    ZoneId Zone = kNoZone;
    std::uint32_t Capacity = 1;
    bool Excluded = true; ///< The policy gives it no new flow.
    bool Deprioritized = true;
    bool Busy = true;
    bool Slow = false;
    bool WarmUpLimited = false;
    bool WarmUpExhausted =
      false; ///< WarmUpLimited, and may be given nothing now.
    double Load = 0;
  };

  ScoredBackend ChooseForRoute(RouteEntry& route, BackendId avoided, Time now);
  /// Choose of registered back ends and of those whose registrations lapsed.
  ScoredBackend ChooseOfService(ServiceId service,
                                const RouteEntry& route,
                                BackendId avoided,
                                Time now);
  /// Choose of those in regions that the route allows.
  ScoredBackend ChooseAllowed(const Candidates& candidates,
                              const RouteEntry& route,
                              BackendId avoided,
                              Time now);
  ScoredBackend ChooseAmong(const Candidates& candidates,
                            BackendId avoided,
                            Time now);
  /// Leave the zone of a choice where it has too little room.
  ScoredBackend Spill(const ScoredBackend& first,
                      const Candidates& candidates,
                      BackendId avoided,
                      Time now);
  bool StaysInZone(const ScoredBackend& scored);
  /// \param excludedZones zones whose back ends, and all cold ones, are passed
  /// over; null: none are.
  ScoredBackend ChooseOutsideZones(const Candidates& candidates,
                                   const std::vector<ZoneId>* excludedZones,
                                   BackendId avoided,
                                   Time now);
  /// \param sampleSize how many are compared; where not all, sampled at
  /// random.
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
  PlacementChoice Result; ///< Counts of the choice that is being made.
};

} // namespace cobaltgauge::core
