/// @file
/// Routes packets by the token they carry. Any daemon can route a packet of an established flow
/// without state; only connection attempts need a decision. See docs/design/004-carried-token.md.
///
/// Invariants:
///  - An established flow is never moved to another backend. It is reset only if its backend was
///    unresponsive and failed a probe, or its route was removed. Registrations reset no flow: only
///    the backend at an address knows whether it has a flow.
///  - A connection attempt is refused only if the view is known to be current.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission/priority_admission.h"
#include "core/backend_health.h"
#include "core/backend_registry.h"
#include "core/domains/serving_readiness.h"
#include "core/domains/unreachable_groups.h"
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

/// Options of TokenSteering.
struct TokenSteeringOptions {
  std::uint64_t hashSeed = 0;
  std::size_t flowEntries = 1U << 16U;
  Duration flowIdleTimeout = std::chrono::seconds(15);
  Duration longestFlow = std::chrono::seconds(60);  ///< Maximum age of a flow.
  std::uint64_t daemonId = 0;                       ///< Unique per daemon.
  bool resetDeadFlows = true;  ///< If false, dead backends only get no new flows.
  /// Address of this daemon. Tokens encode backend addresses relative to it; without it, tokens are
  /// hashes.
  std::optional<IpAddress> localAddress;
};

/// Details of the decision about a connection attempt, for logs.
struct OpeningDecision {
  std::string route;
  BackendId backend = kNoBackend;
  std::uint32_t openFlows = 0;          ///< Open flows of the backend that passed this daemon.
  std::size_t candidates = 0;           ///< Backends that could be selected.
  std::size_t slowCandidates = 0;       ///< Compared backends that were too slow.
  std::size_t warmingUpCandidates = 0;  ///< Compared backends at their warm-up rate limit.
  bool spilled = false;                 ///< Left the preferred zone for lack of capacity.
  ConfigurationVersion version = 0;     ///< Version of the routes.
};

/// Receives latencies measured by TokenSteering, for histograms.
class LatencyObserver {
 public:
  virtual ~LatencyObserver() = default;
  /// Time from a connection attempt to the first packet of the client that confirms a response.
  virtual void onOpeningResponse(Duration latency) = 0;
  /// Time from new data of a client to its next acknowledgement of new bytes.
  virtual void onDataAcknowledged(Duration latency) = 0;
};

class TokenSteering : public FlowSteering {
 public:
  /// @param weights must outlive this object.
  TokenSteering(const TokenSteeringOptions& options, PlacementWeights& weights, Random& random);

  /// @param observer null for none; must outlive this object.
  void setLatencyObserver(LatencyObserver* observer) { latencyObserver_ = observer; }

  Verdict onPacket(const PacketSummary& packet, Time now) override;
  void onTick(Time now) override;

  /// Sets the state of the view. @param complete required to place connection attempts.
  /// @param current the view is synchronized with the store. @param coversAllBackends the view is
  /// not a sample; required to refuse for lack of backends or capacity.
  void setViewState(bool complete, bool current, bool coversAllBackends = true) {
    viewComplete_ = complete;
    viewCurrent_ = current;
    viewCoversAllBackends_ = coversAllBackends;
  }
  bool hasCompleteView() const { return viewComplete_; }
  /// To be called after the view has changed.
  void onViewChanged() {
    discardRestartedBackends();
    onReassignedAddresses();
  }
  /// To be called after the process was suspended. Connection attempts are dropped until
  /// onQueueDrained(), because clients have retransmitted the queued ones and a second response
  /// would break the flow.
  void onResume();
  /// To be called when all queued packets have been processed.
  void onQueueDrained() { openingsAreStale_ = false; }

  /// Sets the number of daemons. Must not be too low.
  void setFleetSize(std::uint32_t daemons) { warmUpBudget_.SetDaemonCount(daemons); }

  /// @return backends to probe by a connection. Each requires a call of onProbe().
  std::vector<BackendAddress> takeProbes(Time now);
  void onProbe(BackendId backend, ProbeResult result, Time now);
  /// @return backends to probe in order to find whether any is reachable. Each requires a call of
  /// onReachabilityProbe().
  std::vector<BackendAddress> takeReachabilityProbes(Time now);
  void onReachabilityProbe(BackendId backend, ProbeResult result, Time now);
  /// @return backends to probe in order to find whether their whole group is unreachable. Each
  /// requires a call of onGroupProbe().
  std::vector<BackendAddress> takeGroupProbes(Time now);
  void onGroupProbe(BackendId backend, ProbeResult result, Time now);
  /// Processes a notice of another daemon about unreachable groups.
  void onGroupNotice(const UnreachableGroupsNotice& notice, Time now);
  UnreachableGroups& unreachableGroups() { return unreachableGroups_; }
  const UnreachableGroups& unreachableGroups() const { return unreachableGroups_; }
  ServingReadiness& serving() { return serving_; }
  const ServingReadiness& serving() const { return serving_; }
  /// @return addresses to connect to in addition to the probed backend, for comparison.
  std::vector<Endpoint> witnessesFor(BackendId suspect, Time now);
  /// Sets the outlier detector, which receives responses and late responses and determines which
  /// backends are deprioritized. Null for none; must outlive this object.
  void setOutliers(OutlierDetector* outliers) {
    outliers_ = outliers;
    outlierDemotion_.SetDetector(outliers);
  }
  /// Decides which connection attempts leave a zone for lack of capacity. The caller adds the
  /// sources of load statistics.
  ZoneSpillover& spillover() { return spillover_; }
  const ZoneSpillover& spillover() const { return spillover_; }
  /// Adds a rule that deprioritizes backends for new flows; must outlive this object.
  void addDemotion(Demotion& demotion) { chooser_.AddDemotion(demotion); }

  /// Sets the admission control for overloaded backends. Null for none; must outlive this object.
  void setAdmission(PriorityAdmission* admission) { admission_ = admission; }

  /// Sets the receiver of requests, connection attempts and their ends. Must outlive this object.
  void setLoadMeter(LoadMeter* load) {
    load_ = load;
    addOpeningListener(load);
  }
  /// Adds a listener for the outcomes of connection attempts placed here. Must outlive this object.
  void addOpeningListener(OpeningListener* listener) { outcomes_.AddListener(listener); }

  /// @return the port of the backends, if it was discovered since the last call. Packets with
  /// unknown tokens can then be routed.
  std::optional<std::uint16_t> takeDiscoveredPort();

  /// @return flows that are to be reset at their clients because the backend is gone.
  std::vector<FlowReset> takeResets();
  /// @return packets to be sent on idle flows, so that none of them is used for a further request
  /// if its backend has ended.
  std::vector<FlowKeepAlive> takeKeepAlives() { return std::exchange(keepAlives_, {}); }

  BackendRegistry& backends() { return backends_; }
  const BackendRegistry& backends() const { return backends_; }
  RouteTable& routes() { return routes_; }
  const RouteTable& routes() const { return routes_; }

  const VerdictCounters& counters() const { return counters_; }
  const TokenFlows& flows() const { return flows_; }
  const BackendHealth& health() const { return health_; }
  const OpeningTracker& outcomes() const { return outcomes_; }
  /// @return details of the last decision about a connection attempt.
  const OpeningDecision& lastDecision() const { return decision_; }

 private:
  Verdict steerOpening(const PacketSummary& packet, Time now);
  Verdict steerEstablished(const PacketSummary& packet, Time now);
  /// Routes a packet of an established flow whose backend is not in the view.
  Verdict steerUnknownBackend(const PacketSummary& packet);
  Verdict forwardRetransmission(TokenFlow& flow, Time now);
  Verdict placeOpening(const PacketSummary& packet, RouteEntry& route, RouteReason reason,
                       BackendId avoided, Time now);
  /// @return the verdict for a connection attempt if no backend of its route accepts flows.
  Verdict verdictWithoutBackend(const PacketSummary& packet, const Route& route, RouteReason reason,
                                Time now);
  /// @return false if a connection attempt is to be refused. No copy of it has been forwarded.
  bool admitOpening(const PacketSummary& packet, const Route& route, RouteReason reason, Time now);
  /// @return true if operators have evacuated zones of the route's backends.
  bool isEvacuated(const Route& route) const;
  void observePacket(const PacketSummary& packet, const BackendAddress& backend, Time now);
  /// Keeps the packet for keepalives if it carries no data.
  static void retainAcknowledgement(const PacketSummary& packet, TokenFlow& flow);
  /// Records a response of a flow's backend. @param backend the backend of the flow.
  void recordResponse(TokenFlow& flow, const BackendAddress& backend, Time now);
  void recordDomainResponse(BackendId backend, Time now);
  /// Clears the health states of backends if the readiness of this daemon has changed.
  void updateReachability();
  /// @return all members of a group that accept new flows.
  std::vector<BackendId> groupMembers(const BackendGroup& group);
  /// Records data sent by the client. @param backend the backend of the flow.
  void recordData(const PacketSummary& packet, TokenFlow& flow, const BackendAddress& backend,
                  Time now);
  /// Records that a flow has no requests in flight any more.
  void recordFlowEnd(FlowFingerprint flow);
  /// Reports backends with overdue responses to the outlier detector.
  void reportLateResponses(Time now);
  /// Removes all open flows of a backend. @return the removed flows.
  std::vector<TokenFlow> discardFlowsOf(BackendId backend);
  /// Resets all open flows of a dead backend.
  void resetFlowsOf(BackendId backend);
  /// Handles backends whose address may have been reassigned.
  void onReassignedAddresses();
  /// Prepares keepalives on the idle flows of a backend.
  void sendKeepAlives(BackendId id);
  /// Removes the state of earlier incarnations of backends. Their flows are left to the backends to
  /// reset, since some may belong to the new incarnation.
  void discardRestartedBackends();
  Verdict refuse(RefuseReason reason, RefusalCertainty certainty) const;
  ForwardToBackend forward(const BackendAddress& backend, RouteReason reason,
                           Recipient recipient = Recipient::kBackend) const;

  TokenSteeringOptions options_;
  Random& random_;
  std::unique_ptr<TokenResolver> tokenResolver_;  ///< Null if tokens are hashes.
  BackendRegistry backends_;
  RouteTable routes_;
  TokenFlows flows_;
  BackendHealth health_;
  ServingReadiness serving_;
  bool wasServing_ = true;
  UnreachableGroups unreachableGroups_;
  OpeningPacer pacer_;
  WarmUpBudget warmUpBudget_;
  std::unordered_map<Endpoint, Time, EndpointHash>
      emptySince_;  ///< Start time, by route without backends.
  std::vector<FlowReset> resets_;
  std::vector<FlowKeepAlive> keepAlives_;
  VerdictCounters counters_;
  OpeningDecision decision_;
  OutlierDetector* outliers_ = nullptr;
  PriorityAdmission* admission_ = nullptr;
  ResponseDeadlines deadlines_;
  OpeningTracker outcomes_;
  LoadMeter* load_ = nullptr;
  ResponseTimeTracker responseTimes_;
  SuspectDemotion suspectDemotion_{health_};
  ContestedAddressDemotion contestedAddressDemotion_;
  OutlierDemotion outlierDemotion_;
  ZoneSpillover spillover_;
  BackendChooser chooser_;
  LatencyObserver* latencyObserver_ = nullptr;
  bool viewComplete_ = false;
  bool viewCurrent_ = false;
  bool viewCoversAllBackends_ = false;
  bool openingsAreStale_ = false;
  Time nextMaintenance_{};
};

}  // namespace cobaltgauge::core
