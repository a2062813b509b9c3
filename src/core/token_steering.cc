#include "core/token_steering.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/probe/witness_selection.h"

namespace cobaltgauge::core {
namespace {

constexpr Duration kMaintenanceInterval = 1s;

std::unique_ptr<TokenResolver> makeTokenResolver(const TokenSteeringOptions& options) {
  if (!options.localAddress) {
    return nullptr;
  }
  return std::make_unique<TokenResolver>(
      AddressTokenCodec(*options.localAddress, options.hashSeed));
}

}  // namespace

TokenSteering::TokenSteering(const TokenSteeringOptions& options, PlacementWeights& weights,
                             Random& random)
    : options_(options),
      random_(random),
      tokenResolver_(makeTokenResolver(options)),
      backends_(options.longestFlow, weights, tokenResolver_.get()),
      routes_(random.below(UINT64_MAX)),
      flows_(options.flowEntries),
      warmUpBudget_(options.daemonId),
      chooser_(
          {backends_, routes_, flows_, pacer_, warmUpBudget_, responseTimes_, random, spillover_}) {
  chooser_.AddDemotion(suspectDemotion_);
  chooser_.AddDemotion(contestedAddressDemotion_);
  chooser_.AddDemotion(outlierDemotion_);
  chooser_.AddDemotion(unreachableGroups_);
}

Verdict TokenSteering::onPacket(const PacketSummary& packet, Time now) {
  const bool opens = packet.kind == PacketKind::kOpening;
  const Verdict verdict = opens ? steerOpening(packet, now) : steerEstablished(packet, now);
  counters_.count(verdict);
  return verdict;
}

Verdict TokenSteering::steerEstablished(const PacketSummary& packet, Time now) {
  if (viewCurrent_ && routes_.wasRemoved(packet.flow.destination)) {
    return refuse(RefuseReason::kRouteDropped, RefusalCertainty::kOutcomeUnknown);
  }
  const BackendAddress* backend = backends_.findByToken(packet.token);
  if (backend == nullptr) {
    return steerUnknownBackend(packet);
  }
  if (options_.resetDeadFlows && health_.isDead(backend->id)) {
    return refuse(RefuseReason::kBackendDead, RefusalCertainty::kOutcomeUnknown);
  }
  observePacket(packet, *backend, now);
  // The view may name another backend of the address than the one that has the flow.
  return forward(*backend, RouteReason::kCarriedToken, Recipient::kAnyAtAddress);
}

Verdict TokenSteering::steerUnknownBackend(const PacketSummary& packet) {
  const std::optional<Endpoint> endpoint =
      tokenResolver_ ? tokenResolver_->Resolve(packet.token) : std::nullopt;
  if (!endpoint) {
    return Drop{DropReason::kUnknownToken};
  }
  BackendAddress backend;
  backend.endpoint = *endpoint;
  return ForwardToBackend{backend, routes_.version(), RouteReason::kResolvedToken, packet.token,
                          Recipient::kAnyAtAddress};
}

std::optional<std::uint16_t> TokenSteering::takeDiscoveredPort() {
  return tokenResolver_ ? tokenResolver_->TakeFoundPort() : std::nullopt;
}

void TokenSteering::observePacket(const PacketSummary& packet, const BackendAddress& backend,
                                  Time now) {
  const FlowFingerprint fingerprint = fingerprintOf(packet.flow, options_.hashSeed);
  outcomes_.OnPacket(fingerprint, packet, now);
  TokenFlow* flow = flows_.find(fingerprint);
  if (packet.kind == PacketKind::kClosing) {
    recordFlowEnd(fingerprint);
    if (flow != nullptr) {
      flows_.close(*flow);
    }
    return;
  }
  if (flow != nullptr && flow->closed) {
    return;
  }
  if (flow == nullptr || flow->backend != backend.id) {
    TokenFlow learned{fingerprint, packet.flow, backend.id};
    learned.acknowledgement = packet.acknowledgement;
    learned.responded = true;
    flow = &flows_.put(learned, now);
    retainAcknowledgement(packet, *flow);
    recordData(packet, *flow, backend, now);
    return;
  }
  const bool newBytes = packet.acknowledgement != flow->acknowledgement;
  if (newBytes || !flow->responded) {
    recordResponse(*flow, backend, now);
    flow->acknowledgement = packet.acknowledgement;
  }
  retainAcknowledgement(packet, *flow);
  recordData(packet, *flow, backend, now);
  flows_.touch(*flow, now);
}

void TokenSteering::retainAcknowledgement(const PacketSummary& packet, TokenFlow& flow) {
  if (packet.dataLength == 0) {
    flow.lastAcknowledgement.assign(packet.bytes.begin(), packet.bytes.end());
  } else {
    flow.lastAcknowledgement.clear();
  }
}

void TokenSteering::recordResponse(TokenFlow& flow, const BackendAddress& backend, Time now) {
  health_.onResponse(flow.backend, now);
  recordDomainResponse(flow.backend, now);
  if (outliers_ != nullptr && !flow.dataAcknowledged) {
    outliers_->OnResponse();
  }
  if (latencyObserver_ != nullptr && !flow.responded && flow.openedAt != Time{}) {
    latencyObserver_->onOpeningResponse(now - flow.openedAt);
  } else if (latencyObserver_ != nullptr && !flow.dataAcknowledged) {
    latencyObserver_->onDataAcknowledged(now - flow.dataSentAt);
  }
  if (!flow.dataAcknowledged) {
    responseTimes_.OnResponse(backend.id, backend.service, now - flow.dataSentAt, now);
  }
  if (load_ != nullptr && (!flow.responded || !flow.dataAcknowledged)) {
    load_->OnResponse(flow.fingerprint, now);
  }
  flow.responded = true;
  flow.dataAcknowledged = true;
}

void TokenSteering::recordFlowEnd(FlowFingerprint flow) {
  if (load_ != nullptr) {
    load_->OnFlowEnded(flow);
  }
}

void TokenSteering::recordData(const PacketSummary& packet, TokenFlow& flow,
                               const BackendAddress& backend, Time now) {
  if (packet.dataLength == 0) {
    return;
  }
  const std::uint32_t end = packet.sequence + packet.dataLength;
  const bool isNew = flow.dataSentAt == Time{} || static_cast<std::int32_t>(end - flow.dataEnd) > 0;
  if (isNew) {
    flow.dataEnd = end;
    flow.dataSentAt = now;
    flow.dataAcknowledged = false;
    if (load_ != nullptr) {
      load_->OnRequest(flow.fingerprint, {backend.service, backend.zone}, now);
    }
    // Earlier data of a flow that was opened at another daemon is unknown.
    if (outliers_ != nullptr && flow.openedAt != Time{}) {
      deadlines_.Add(flow.fingerprint, flow.dataEnd, now);
    }
  } else {
    health_.onRetransmittedData(flow.backend, flow.dataSentAt, now);
  }
}

Verdict TokenSteering::refuse(RefuseReason reason, RefusalCertainty certainty) const {
  return Refuse{RefusalForm::kReset, certainty, reason, std::chrono::seconds(1)};
}

ForwardToBackend TokenSteering::forward(const BackendAddress& backend, RouteReason reason,
                                        Recipient recipient) const {
  return {backend, routes_.version(), reason, backends_.tokenFor(backend), recipient};
}

void TokenSteering::reportLateResponses(Time now) {
  for (const ResponseDeadlines::PendingResponse& expected : deadlines_.TakeDue(now)) {
    const TokenFlow* flow = flows_.find(expected.Flow);
    const bool isLate = flow != nullptr && !flow->closed && !flow->dataAcknowledged &&
                        flow->dataEnd == expected.DataEnd;
    if (isLate) {
      outliers_->OnLateResponse(flow->backend);
    }
  }
}

void TokenSteering::onResume() {
  serving_.OnResume();
  updateReachability();
  unreachableGroups_.OnResume();
  deadlines_.Clear();
  outcomes_.Clear();
  openingsAreStale_ = true;
  health_.onResume();
}

std::vector<BackendAddress> TokenSteering::takeProbes(Time now) {
  std::vector<BackendAddress> probes;
  // A partitioned daemon would declare all backends dead and reset working flows.
  if (!health_.hasSuspects() || !serving_.IsServing()) {
    return probes;
  }
  for (const BackendId id : health_.takeProbes(backends_.candidateCount(), now)) {
    if (const BackendAddress* backend = backends_.find(id)) {
      probes.push_back(*backend);
    } else {
      health_.onProbe(id, ProbeResult::kConnected, now);
    }
  }
  return probes;
}

std::vector<Endpoint> TokenSteering::witnessesFor(BackendId suspect, Time now) {
  return SelectWitnesses(suspect, health_, backends_, random_, now);
}

void TokenSteering::onProbe(BackendId backend, ProbeResult result, Time now) {
  // An inconclusive timeout still counts for the group of the backend.
  onGroupProbe(backend, result == ProbeResult::kInconclusive ? ProbeResult::kTimedOut : result,
               now);
  if (!serving_.IsServing() && result != ProbeResult::kConnected) {
    health_.onProbe(backend, ProbeResult::kRefused, now);
    return;
  }
  // The other backend may have accepted the connection.
  const bool isAmbiguous = result == ProbeResult::kConnected && backends_.sharesAddress(backend);
  if (health_.onProbe(backend, isAmbiguous ? ProbeResult::kInconclusive : result, now)) {
    if (outliers_ != nullptr) {
      outliers_->OnLateResponse(backend);
    }
    if (options_.resetDeadFlows) {
      resetFlowsOf(backend);
    }
  }
}

std::vector<TokenFlow> TokenSteering::discardFlowsOf(BackendId backend) {
  std::vector<TokenFlow> flows = flows_.removeFlowsOf(backend);
  for (const TokenFlow& flow : flows) {
    outcomes_.Discard(flow.fingerprint);
    recordFlowEnd(flow.fingerprint);
  }
  return flows;
}

void TokenSteering::resetFlowsOf(BackendId backend) {
  for (const TokenFlow& flow : discardFlowsOf(backend)) {
    resets_.push_back({flow.key, flow.acknowledgement, backend, RefuseReason::kBackendDead});
  }
}

std::vector<FlowReset> TokenSteering::takeResets() { return std::exchange(resets_, {}); }

void TokenSteering::onReassignedAddresses() {
  for (const BackendId id : backends_.takeReassigned()) {
    // Probes of the address concern the other backend from now on.
    health_.remove(id);
    sendKeepAlives(id);
  }
}

void TokenSteering::sendKeepAlives(BackendId id) {
  const BackendAddress* backend = backends_.find(id);
  if (backend == nullptr || flows_.openFlowCount(id) == 0) {
    return;
  }
  const ForwardToBackend recipient =
      forward(*backend, RouteReason::kCarriedToken, Recipient::kAnyAtAddress);
  for (TokenFlow& flow : flows_.takeAcknowledgements(id)) {
    keepAlives_.push_back({flow.key, recipient, std::move(flow.lastAcknowledgement)});
  }
}

void TokenSteering::discardRestartedBackends() {
  for (const BackendId id : backends_.takeRestarted()) {
    health_.remove(id);
    responseTimes_.Remove(id);
    if (outliers_ != nullptr) {
      outliers_->Remove(id);
    }
    discardFlowsOf(id);
  }
}

void TokenSteering::onTick(Time now) {
  discardRestartedBackends();
  reportLateResponses(now);
  outcomes_.OnTick(now);
  serving_.OnTick(now);
  if (now < nextMaintenance_) {
    return;
  }
  nextMaintenance_ = now + kMaintenanceInterval;
  flows_.expire(now, std::max<Duration>(options_.flowIdleTimeout, routes_.idleTimeout()));
  health_.expire(now);
  pacer_.expire(now);
  warmUpBudget_.Expire(now);
  unreachableGroups_.Expire(now);
  responseTimes_.Expire(now);
  if (admission_ != nullptr) {
    admission_->Expire(now);
  }
  onReassignedAddresses();
  backends_.discardExpired(now);
  routes_.discardRemoved(now, options_.longestFlow);
}

}  // namespace cobaltgauge::core
