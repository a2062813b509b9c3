/// @file
/// Steers packets by the token they carry. A packet of an open flow goes where its token says, at
/// any daemon and without state; only openings need a decision. See
/// docs/design/004-carried-token.md.
///
/// Invariants:
///  - An open flow is never moved, and reset only where its back end has ended, or was silent and
///    failed a probe, or a configuration dropped its route.
///  - A refusal of an opening is given only by a view that is known to be current.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admission/rank_admission.h"
#include "core/backend_health.h"
#include "core/backend_registry.h"
#include "core/domains/serving_readiness.h"
#include "core/domains/silent_groups.h"
#include "core/flow_steering.h"
#include "core/load/load_meter.h"
#include "core/load/opening_tracker.h"
#include "core/opening_pacer.h"
#include "core/outlier/outlier_detector.h"
#include "core/outlier/response_deadlines.h"
#include "core/outlier/response_time_tracker.h"
#include "core/placement/backend_chooser.h"
#include "core/placement/local_demotions.h"
#include "core/random.h"
#include "core/route_table.h"
#include "core/token_flows.h"
#include "core/tokens/token_resolver.h"
#include "core/warmup/warm_up_budget.h"

namespace cobaltgauge::core {

/// Sizes and times of a TokenSteering.
struct TokenSteeringOptions {
  std::uint64_t hashSeed = 0;
  std::size_t flowEntries = 1U << 16U;
  Duration flowIdleTimeout = std::chrono::seconds(15);
  Duration longestFlow = std::chrono::seconds(60);  ///< No flow gets older.
  std::uint64_t daemon = 0;                         ///< Tells daemons apart.
  bool resetDeadFlows = true;  ///< Else a proof of death steers new flows only.
  /// An address of this daemon; tokens hold addresses that lie near it. None: tokens are hashes.
  std::optional<IpAddress> home;
};

/// How an opening was decided, for logs.
struct OpeningDecision {
  std::string route;
  BackendId backend = kNoBackend;
  std::uint32_t openFlows = 0;     ///< On the back end, as far as seen here.
  std::size_t candidates = 0;      ///< Back ends that could have been chosen.
  std::size_t slowCandidates = 0;  ///< Of those that were compared: passed over for their answers.
  std::size_t coldCandidates = 0;  ///< Of those that were compared: cold, and given all they bear.
  bool spilled = false;            ///< Left the preferred zone for want of room.
  ConfigurationVersion version = 0;  ///< Of the routes that decided.
};

/// Takes the times that a steering sees; for histograms.
class LatencyObserver {
 public:
  virtual ~LatencyObserver() = default;
  /// From placing an opening to the caller's first packet that shows an answer.
  virtual void onOpeningAnswered(Duration latency) = 0;
  /// From a caller's new data to its first acknowledgement of new bytes.
  virtual void onDataAnswered(Duration latency) = 0;
};

class TokenSteering : public FlowSteering {
 public:
  /// @param weights outlives the steering.
  TokenSteering(const TokenSteeringOptions& options, PlacementWeights& weights, Random& random);

  /// @param observer outlives the steering; null for none.
  void setLatencyObserver(LatencyObserver* observer) { latencies_ = observer; }

  Verdict onPacket(const PacketSummary& packet, Time now) override;
  void onTick(Time now) override;

  /// Says whether the view is complete, whether it is in step with the store, as far as this
  /// daemon can know, and whether it holds every back end. Openings are placed only by a complete
  /// view; that there is no back end or no room is said only by a whole one.
  void setViewState(bool complete, bool current, bool whole = true) {
    viewComplete_ = complete;
    viewCurrent_ = current;
    viewWhole_ = whole;
  }
  bool hasCompleteView() const { return viewComplete_; }
  /// Call after the view has changed: flows of back ends whose address another one has taken are
  /// given up at once, so that the next request on an idle one opens elsewhere and is not lost.
  void onViewChanged() {
    forgetRestarted();
    resetFlowsOfEnded();
  }
  /// Call after the process was suspended: openings that waited meanwhile have been sent again,
  /// and a late second answer would break their flow. They are dropped until onQueueDrained().
  void onResume();
  /// Call when every packet that waited has been handled.
  void onQueueDrained() { openingsAreStale_ = false; }

  /// Says how many daemons there are; too high a number is the safe side.
  void setFleet(std::uint32_t daemons) { warmUps_.SetFleet(daemons); }

  /// @return back ends whose address should be connected to; answer each by onProbe().
  std::vector<BackendAddress> takeProbes(Time now);
  void onProbe(BackendId backend, ProbeResult result, Time now);
  /// @return back ends to be connected to, to learn whether any is reached; answer each by
  /// onReachProbe().
  std::vector<BackendAddress> takeReachProbes(Time now);
  void onReachProbe(BackendId backend, ProbeResult result, Time now);
  /// @return back ends to be connected to, to learn whether all of their group are gone; answer
  /// each by onGroupProbe().
  std::vector<BackendAddress> takeGroupProbes(Time now);
  void onGroupProbe(BackendId backend, ProbeResult result, Time now);
  /// Takes what another daemon found of groups.
  void onGroupNotice(const GroupNotice& notice, Time now);
  SilentGroups& silentGroups() { return silentGroups_; }
  const SilentGroups& silentGroups() const { return silentGroups_; }
  ServingReadiness& serving() { return serving_; }
  const ServingReadiness& serving() const { return serving_; }
  /// @return addresses to be connected to beside a back end that is probed.
  std::vector<Endpoint> witnessesFor(BackendId suspect, Time now);
  /// Told of answers and of late ones, and asked which back ends come last. Outlives the steering;
  /// null for none.
  void setOutliers(OutlierDetector* outliers) {
    outliers_ = outliers;
    outlierDemotion_.SetDetector(outliers);
  }
  /// Decides which openings leave a zone for want of room; give it the sources of figures.
  ZoneSpillover& spill() { return spill_; }
  const ZoneSpillover& spill() const { return spill_; }
  /// Adds a reason to put back ends last for new flows; outlives the steering.
  void addDemotion(Demotion& demotion) { chooser_.AddDemotion(demotion); }

  /// Asked which openings are refused while back ends are full. Outlives the steering; null for
  /// none.
  void setAdmission(RankAdmission* admission) { admission_ = admission; }

  /// Told of requests, openings and their ends. Outlives the steering.
  void setLoadMeter(LoadMeter* load) {
    load_ = load;
    addOpeningListener(load);
  }
  /// Told of the end of each opening that was placed here. Outlives the steering.
  void addOpeningListener(OpeningListener* listener) { outcomes_.AddListener(listener); }

  /// @return the port of the back ends where it was found out since the last call: packets with
  /// unknown tokens may be decided again.
  std::optional<std::uint16_t> takeFoundPort();

  /// @return flows whose callers are to be told that their back end is gone.
  std::vector<FlowReset> takeResets();

  BackendRegistry& backends() { return backends_; }
  const BackendRegistry& backends() const { return backends_; }
  RouteTable& routes() { return routes_; }
  const RouteTable& routes() const { return routes_; }

  const VerdictCounters& counters() const { return counters_; }
  const TokenFlows& flows() const { return flows_; }
  const BackendHealth& health() const { return health_; }
  const OpeningTracker& outcomes() const { return outcomes_; }
  /// @return how the last opening was decided.
  const OpeningDecision& lastDecision() const { return decision_; }

 private:
  Verdict steerOpening(const PacketSummary& packet, Time now);
  Verdict steerOpen(const PacketSummary& packet, Time now);
  /// Decides a packet of an open flow whose back end is in no view.
  Verdict steerWithoutView(const PacketSummary& packet);
  Verdict repeatOpening(TokenFlow& flow, Time now);
  Verdict placeOpening(const PacketSummary& packet, RouteEntry& route, RouteReason reason,
                       BackendId avoided, Time now);
  /// @return what an opening gets where no back end of its route takes flows.
  Verdict withoutBackend(const PacketSummary& packet, const Route& route, RouteReason reason,
                         Time now);
  /// @return false for an opening that is to be refused, of which no copy was ever sent on.
  bool mayOpen(const PacketSummary& packet, const Route& route, RouteReason reason, Time now);
  /// @return true where operators have taken out zones of the route's back ends.
  bool isEvacuated(const Route& route) const;
  void noteSigns(const PacketSummary& packet, const BackendAddress& backend, Time now);
  /// Notes that the back end of a flow answered. @param backend that of the flow.
  void noteAnswer(TokenFlow& flow, const BackendAddress& backend, Time now);
  void noteAnswerOfDomain(BackendId backend, Time now);
  /// Takes back what was believed of back ends where this daemon was cut off from all.
  void noteReach();
  /// @return all of a group that take new flows.
  std::vector<BackendId> membersOf(const BackendGroup& group);
  /// @param backend that of the flow.
  void noteData(const PacketSummary& packet, TokenFlow& flow, const BackendAddress& backend,
                Time now);
  /// Notes that nothing is in flight on a flow any more.
  void noteGone(FlowFingerprint flow);
  /// Reports back ends whose answers are overdue.
  void noteLateAnswers(Time now);
  /// @return the flows, which count for nothing any more.
  std::vector<TokenFlow> forgetFlowsOf(BackendId backend);
  void resetFlowsOf(BackendId backend, RefuseReason reason);
  void resetFlowsOfEnded();
  /// Forgets what was seen of earlier runs of back ends. Their flows ended with them, and are left
  /// for the back ends to reset: some may have been opened at the new run already.
  void forgetRestarted();
  Verdict refuse(RefuseReason reason, RefusalCertainty certainty) const;
  Verdict forward(const BackendAddress& backend, RouteReason reason) const;

  TokenSteeringOptions options_;
  Random& random_;
  std::unique_ptr<TokenResolver> reach_;  ///< Null: tokens are hashes.
  BackendRegistry backends_;
  RouteTable routes_;
  TokenFlows flows_;
  BackendHealth health_;
  ServingReadiness serving_;
  bool wasServing_ = true;
  SilentGroups silentGroups_;
  OpeningPacer pacer_;
  WarmUpBudget warmUps_;
  std::unordered_map<Endpoint, Time, EndpointHash> emptySince_;  ///< Routes without back ends.
  std::vector<FlowReset> resets_;
  VerdictCounters counters_;
  OpeningDecision decision_;
  OutlierDetector* outliers_ = nullptr;
  RankAdmission* admission_ = nullptr;
  ResponseDeadlines deadlines_;
  OpeningTracker outcomes_;
  LoadMeter* load_ = nullptr;
  ResponseTimeTracker answerTimes_;
  SuspectDemotion suspectDemotion_{health_};
  OutlierDemotion outlierDemotion_;
  ZoneSpillover spill_;
  BackendChooser chooser_;
  LatencyObserver* latencies_ = nullptr;
  bool viewComplete_ = false;
  bool viewCurrent_ = false;
  bool viewWhole_ = false;
  bool openingsAreStale_ = false;
  Time nextMaintenance_{};
};

}  // namespace cobaltgauge::core
