/// @file
/// Chooses the back end that a new flow gets.
#pragma once

#include <cstdint>
#include <vector>

#include "core/backend_registry.h"
#include "core/opening_pacer.h"
#include "core/outlier/answer_times.h"
#include "core/placement/demotion.h"
#include "core/placement/zone_spill.h"
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
  bool Busy = true;     ///< Was given an opening only just now.
  bool Cold = false;    ///< Counts for the bound of what a cold back end gets.
  bool Spilled = false; ///< Left the preferred zone for want of room.
  std::size_t Candidates = 0;     ///< That could have been chosen.
  std::size_t SlowCandidates = 0; ///< Of those compared, with slow answers.
  std::size_t ColdCandidates = 0; ///< Of those compared, given all they bear.
};

/// What a BackendChooser looks at; all of it outlives the chooser.
struct PlacementInputs
{
  BackendRegistry& Backends;
  const RouteTable& Routes;
  const TokenFlows& Flows;
  const OpeningPacer& Pacer;
  const WarmUpBudget& WarmUps;
  const AnswerTimes& Answers;
  Random& Draws;
  ZoneSpill& Spill;
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
    : In(inputs)
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

  struct Rated
  {
    BackendId Id = kNoBackend;
    ServiceId Service{ 0 };
    ZoneId Zone = kNoZone;
    std::uint32_t Capacity = 1;
    bool Excluded = true; ///< The policy gives it no new flow.
    bool Last = true;
    bool Busy = true;
    bool Slow = false;
    bool Cold = false;
    bool ColdHeld = false; ///< Cold, and may be given nothing now.
    double Load = 0;
  };

  Rated ChooseForRoute(RouteEntry& route, BackendId avoided, Time now);
  /// Choose of registered back ends and of those whose registrations lapsed.
  Rated ChooseOfService(ServiceId service,
                        const RouteEntry& route,
                        BackendId avoided,
                        Time now);
  /// Choose of those in regions that the route allows.
  Rated ChooseAllowed(const Candidates& candidates,
                      const RouteEntry& route,
                      BackendId avoided,
                      Time now);
  Rated ChooseAmong(const Candidates& candidates, BackendId avoided, Time now);
  /// Leave the zone of a choice where it has too little room.
  Rated Spill(const Rated& first,
              const Candidates& candidates,
              BackendId avoided,
              Time now);
  bool Stays(const Rated& rated);
  /// \param without zones whose back ends, and all cold ones, are passed over;
  /// null: none are.
  Rated ChooseWithout(const Candidates& candidates,
                      const std::vector<ZoneId>* without,
                      BackendId avoided,
                      Time now);
  /// \param looks how many are compared; where not all, drawn at random.
  Rated ChooseBest(const Candidates& candidates,
                   std::size_t looks,
                   const std::vector<ZoneId>* without,
                   BackendId avoided,
                   Time now);
  bool MayTakeSpilled(const PlacementCandidate& candidate,
                      const std::vector<ZoneId>& without,
                      Time now) const;
  Rated Rate(const PlacementCandidate& candidate,
             BackendId avoided,
             Time now) const;
  bool ComesLast(const PlacementCandidate& candidate, Time now) const;
  static bool IsBetter(const Rated& left, const Rated& right);

  PlacementInputs In;
  std::vector<Demotion*> Demotions;
  PlacementChoice Seen; ///< Counts of the choice that is being made.
};

} // namespace cobaltgauge::core
