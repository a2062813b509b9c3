#include "core/token_steering.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/proof/witnesses.h"

namespace cobaltgauge::core {
namespace {

constexpr Duration kMaintenanceInterval = 1s;
std::unique_ptr<TokenReach> makeReach(const TokenSteeringOptions& options) {
  if (!options.home) {
    return nullptr;
  }
  return std::make_unique<TokenReach>(AddressTokenCodec(*options.home, options.hashSeed));
}

}  // namespace

TokenSteering::TokenSteering(const TokenSteeringOptions& options, PlacementWeights& weights,
                             Random& random)
    : options_(options),
      random_(random),
      reach_(makeReach(options)),
      backends_(options.longestFlow, weights, reach_.get()),
      routes_(random.below(UINT64_MAX)),
      flows_(options.flowEntries),
      warmUps_(options.daemon),
      chooser_({backends_, routes_, flows_, pacer_, warmUps_, answerTimes_, random, spill_}) {
  chooser_.AddDemotion(suspectDemotion_);
  chooser_.AddDemotion(outlierDemotion_);
  chooser_.AddDemotion(silentGroups_);
}

Verdict TokenSteering::onPacket(const PacketSummary& packet, Time now) {
  const bool opens = packet.kind == PacketKind::kOpening;
  const Verdict verdict = opens ? steerOpening(packet, now) : steerOpen(packet, now);
  counters_.count(verdict);
  return verdict;
}

Verdict TokenSteering::steerOpen(const PacketSummary& packet, Time now) {
  if (viewCurrent_ && routes_.wasRemoved(packet.flow.destination)) {
    return refuse(RefuseReason::kRouteDropped, RefusalCertainty::kOutcomeUnknown);
  }
  const BackendAddress* backend = backends_.findByToken(packet.token);
  if (backend == nullptr) {
    return steerWithoutView(packet);
  }
  if (backends_.isSuperseded(backend->id)) {
    resetFlowsOf(backend->id, RefuseReason::kBackendEnded);
    return refuse(RefuseReason::kBackendEnded, RefusalCertainty::kOutcomeUnknown);
  }
  if (options_.resetDeadFlows && health_.isDead(backend->id)) {
    return refuse(RefuseReason::kBackendDead, RefusalCertainty::kOutcomeUnknown);
  }
  noteSigns(packet, *backend, now);
  return forward(*backend, RouteReason::kCarriedToken);
}

Verdict TokenSteering::steerWithoutView(const PacketSummary& packet) {
  const std::optional<Endpoint> endpoint = reach_ ? reach_->Resolve(packet.token) : std::nullopt;
  if (!endpoint) {
    return Drop{DropReason::kUnknownToken};
  }
  // Without an id any back end at the address takes the packet. One that does not hold the flow
  // resets it, which is right: the flow's own one has ended then.
  BackendAddress backend;
  backend.endpoint = *endpoint;
  return ForwardToBackend{backend, routes_.version(), RouteReason::kReached, packet.token};
}

std::optional<std::uint16_t> TokenSteering::takeFoundPort() {
  return reach_ ? reach_->TakeFoundPort() : std::nullopt;
}

void TokenSteering::noteSigns(const PacketSummary& packet, const BackendAddress& backend,
                              Time now) {
  const FlowFingerprint fingerprint = fingerprintOf(packet.flow, options_.hashSeed);
  outcomes_.OnPacket(fingerprint, packet, now);
  TokenFlow* flow = flows_.find(fingerprint);
  if (packet.kind == PacketKind::kClosing) {
    noteGone(fingerprint);
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
    learned.answered = true;
    noteData(packet, flows_.put(learned, now), backend, now);
    return;
  }
  const bool newBytes = packet.acknowledgement != flow->acknowledgement;
  if (newBytes || !flow->answered) {
    noteAnswer(*flow, backend, now);
    flow->acknowledgement = packet.acknowledgement;
  }
  noteData(packet, *flow, backend, now);
  flows_.touch(*flow, now);
}

void TokenSteering::noteAnswer(TokenFlow& flow, const BackendAddress& backend, Time now) {
  health_.onAnswer(flow.backend, now);
  noteAnswerOfDomain(flow.backend, now);
  if (outliers_ != nullptr && !flow.dataAnswered) {
    outliers_->OnAnswered();
  }
  if (latencies_ != nullptr && !flow.answered && flow.openedAt != Time{}) {
    latencies_->onOpeningAnswered(now - flow.openedAt);
  } else if (latencies_ != nullptr && !flow.dataAnswered) {
    latencies_->onDataAnswered(now - flow.dataSentAt);
  }
  if (!flow.dataAnswered) {
    answerTimes_.OnAnswer(backend.id, backend.service, now - flow.dataSentAt, now);
  }
  if (load_ != nullptr && (!flow.answered || !flow.dataAnswered)) {
    load_->OnAnswered(flow.fingerprint, now);
  }
  flow.answered = true;
  flow.dataAnswered = true;
}

void TokenSteering::noteGone(FlowFingerprint flow) {
  if (load_ != nullptr) {
    load_->OnGone(flow);
  }
}

void TokenSteering::noteData(const PacketSummary& packet, TokenFlow& flow,
                             const BackendAddress& backend, Time now) {
  if (packet.dataLength == 0) {
    return;
  }
  const std::uint32_t end = packet.sequence + packet.dataLength;
  const bool isNew = flow.dataSentAt == Time{} || static_cast<std::int32_t>(end - flow.dataEnd) > 0;
  if (isNew) {
    flow.dataEnd = end;
    flow.dataSentAt = now;
    flow.dataAnswered = false;
    if (load_ != nullptr) {
      load_->OnRequest(flow.fingerprint, {backend.service, backend.zone}, now);
    }
    // Of a flow that was opened elsewhere it is not known what was sent before.
    if (outliers_ != nullptr && flow.openedAt != Time{}) {
      deadlines_.Expect(flow.fingerprint, flow.dataEnd, now);
    }
  } else {
    health_.onRepeatedData(flow.backend, flow.dataSentAt, now);
  }
}

Verdict TokenSteering::refuse(RefuseReason reason, RefusalCertainty certainty) const {
  return Refuse{RefusalForm::kReset, certainty, reason, std::chrono::seconds(1)};
}

Verdict TokenSteering::forward(const BackendAddress& backend, RouteReason reason) const {
  return ForwardToBackend{backend, routes_.version(), reason, backends_.tokenFor(backend)};
}

void TokenSteering::noteLateAnswers(Time now) {
  for (const AnswerDeadlines::Expected& expected : deadlines_.TakeDue(now)) {
    const TokenFlow* flow = flows_.find(expected.Flow);
    const bool isLate = flow != nullptr && !flow->closed && !flow->dataAnswered &&
                        flow->dataEnd == expected.DataEnd;
    if (isLate) {
      outliers_->OnLate(flow->backend);
    }
  }
}

void TokenSteering::onResume() {
  serving_.OnResume();
  noteReach();
  silentGroups_.OnResume();
  deadlines_.Clear();
  outcomes_.Clear();
  openingsAreStale_ = true;
  health_.onResume();
}

std::vector<BackendAddress> TokenSteering::takeProbes(Time now) {
  std::vector<BackendAddress> probes;
  // Cut off, it would find every back end dead, and reset flows that live.
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
  return ChooseWitnesses(suspect, health_, backends_, random_, now);
}

void TokenSteering::onProbe(BackendId backend, ProbeResult result, Time now) {
  // Silence that proves no death still asks for a look at its neighbours.
  onGroupProbe(backend, result == ProbeResult::kUnproven ? ProbeResult::kTimedOut : result, now);
  if (!serving_.IsServing() && result != ProbeResult::kConnected) {
    health_.onProbe(backend, ProbeResult::kRefused, now);
    return;
  }
  if (health_.onProbe(backend, result, now)) {
    if (outliers_ != nullptr) {
      outliers_->OnLate(backend);
    }
    if (options_.resetDeadFlows) {
      resetFlowsOf(backend, RefuseReason::kBackendDead);
    }
  }
}

std::vector<TokenFlow> TokenSteering::forgetFlowsOf(BackendId backend) {
  std::vector<TokenFlow> flows = flows_.takeAllOf(backend);
  for (const TokenFlow& flow : flows) {
    outcomes_.Forget(flow.fingerprint);
    noteGone(flow.fingerprint);
  }
  return flows;
}

void TokenSteering::resetFlowsOf(BackendId backend, RefuseReason reason) {
  for (const TokenFlow& flow : forgetFlowsOf(backend)) {
    resets_.push_back({flow.key, flow.acknowledgement, backend, reason});
  }
}

std::vector<FlowReset> TokenSteering::takeResets() { return std::exchange(resets_, {}); }

void TokenSteering::resetFlowsOfEnded() {
  for (const BackendId id : flows_.backendsWithFlows()) {
    if (backends_.isSuperseded(id)) {
      resetFlowsOf(id, RefuseReason::kBackendEnded);
    }
  }
}

void TokenSteering::forgetRestarted() {
  for (const BackendId id : backends_.takeRestarted()) {
    health_.forget(id);
    answerTimes_.Forget(id);
    if (outliers_ != nullptr) {
      outliers_->Forget(id);
    }
    forgetFlowsOf(id);
  }
}

void TokenSteering::onTick(Time now) {
  forgetRestarted();
  noteLateAnswers(now);
  outcomes_.OnTick(now);
  serving_.OnTick(now);
  if (now < nextMaintenance_) {
    return;
  }
  nextMaintenance_ = now + kMaintenanceInterval;
  flows_.expire(now, std::max<Duration>(options_.flowIdleTimeout, routes_.idleTimeout()));
  health_.expire(now);
  pacer_.expire(now);
  warmUps_.Expire(now);
  silentGroups_.Expire(now);
  answerTimes_.Expire(now);
  if (admission_ != nullptr) {
    admission_->Expire(now);
  }
  resetFlowsOfEnded();
  backends_.discardDeparted(now);
  routes_.discardRemoved(now, options_.longestFlow);
}

}  // namespace cobaltgauge::core
