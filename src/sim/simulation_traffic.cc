/// @file
/// Packet and control message delivery of the simulation.
#include "core/constants.h"
#include "sim/simulation.h"

namespace cobaltgauge::sim {
namespace {

/// Time until the platform removes a failed machine from its machine list.
constexpr core::Duration kMachineListLag = std::chrono::seconds(5);

}  // namespace

bool Simulation::isPartitioned(const std::string& a, const std::string& b) const {
  return a != b && (partitionedZones_.contains(a) || partitionedZones_.contains(b));
}

core::Duration Simulation::delayBetween(const std::string& a, const std::string& b) const {
  if (a == b) {
    return scenario_.network.sameZone;
  }
  const bool sameRegion = regions_.at(a) == regions_.at(b);
  return sameRegion ? scenario_.network.crossZone : scenario_.network.crossRegion;
}

void Simulation::transmit(const std::string& fromZone, const std::string& toZone,
                          const std::function<void()>& arrive) {
  if (isPartitioned(fromZone, toZone) || random_.chance(scenario_.network.lossPermille)) {
    return;
  }
  const bool twice = random_.chance(scenario_.network.duplicatePermille);
  for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
    const core::Duration delay = delayBetween(fromZone, toZone) +
                                 random_.between(core::Duration(0), scenario_.network.jitter);
    queue_.after(delay, arrive);
  }
}

Simulation::DaemonPtr Simulation::findByControl(const core::Endpoint& control) const {
  const auto it = daemonsByControl_.find(control);
  return it == daemonsByControl_.end() ? nullptr : it->second;
}

void Simulation::onClientPacket(const WorkRequest& request) {
  const std::string& zone = clients_[request.client]->zone();
  std::vector<DaemonPtr> candidates;
  for (const DaemonPtr& daemon : daemons_) {
    const bool reachable = !isPartitioned(zone, daemon->zone());
    if (reachable && queue_.now() >= daemon->startedAt && queue_.now() < daemon->receivesUntil) {
      candidates.push_back(daemon);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const DaemonPtr daemon = candidates[random_.below(candidates.size())];
  queue_.after(scenario_.network.client, [this, zone, daemon, request] {
    transmit(zone, daemon->zone(), [this, daemon, request] {
      daemon->deliver([this, daemon, request] {
        const core::Time now = queue_.now();
        executeVerdict(daemon, daemon->router().onPacket(request.packet, now), request,
                       daemon->identity().id);
        flush(daemon);
      });
    });
  });
}

void Simulation::executeVerdict(const DaemonPtr& daemon, const core::Verdict& verdict,
                                const WorkRequest& request, core::MemberId ingress) {
  if (request.session == scenario_.traceSession) {
    trace(*daemon, verdict, request);
  }
  if (const auto* forward = std::get_if<core::ForwardToBackend>(&verdict)) {
    ++packetsToBackends_;
    const auto target = backendsByEndpoint_.find(forward->backend.endpoint);
    if (target == backendsByEndpoint_.end()) {
      return;
    }
    SimulatedBackend* backend = target->second;
    transmit(daemon->zone(), backend->zone(),
             [backend, routed = forward->backend, request] { backend->onPacket(routed, request); });
  } else if (const auto* peerForward = std::get_if<core::ForwardToPeer>(&verdict)) {
    ++packetsToPeers_;
    const DaemonPtr peer = findByControl(peerForward->destination);
    if (peer == nullptr) {
      return;
    }
    const core::PeerArrival arrival{ingress, peerForward->hops, peerForward->needsListing};
    transmit(daemon->zone(), peer->zone(), [this, peer, request, arrival] {
      peer->deliver([this, peer, request, arrival] {
        const core::Verdict next =
            peer->router().onPeerPacket(request.packet, arrival, queue_.now());
        executeVerdict(peer, next, request, arrival.ingress);
        flush(peer);
      });
    });
  } else if (const auto* refusal = std::get_if<core::Refuse>(&verdict)) {
    ++drops_[std::string("refused_") + core::toString(refusal->reason)];
    if (refusal->form != core::RefusalForm::kNone) {
      const bool notRun = refusal->certainty == core::RefusalCertainty::kNotRun;
      const WorkResult result = notRun ? WorkResult::kNotRun : WorkResult::kOutcomeUnknown;
      sendResponse(request.client, daemon->zone(),
                   {request.messageId, result, request.request, request.block});
    }
  } else if (const auto* drop = std::get_if<core::Drop>(&verdict)) {
    ++drops_[core::toString(drop->reason)];
  }
}

void Simulation::sendResponse(std::size_t client, const std::string& fromZone,
                              const WorkResponse& response) {
  SimulatedClient* target = clients_[client].get();
  transmit(fromZone, target->zone(), [this, target, response] {
    queue_.after(scenario_.network.client, [target, response] { target->onResponse(response); });
  });
}

void Simulation::flush(const DaemonPtr& daemon) {
  for (core::OutgoingMessage& outgoing : daemon->router().takeMessages()) {
    ++daemon->traffic.messages;
    const std::size_t bytes = codec_.encode(net::toFrame(outgoing.message)).size();
    daemon->traffic.bytes += bytes;
    daemon->traffic.bytesByKind[core::kindName(outgoing.message)] += bytes;
    const DaemonPtr peer = findByControl(outgoing.destination);
    if (peer == nullptr) {
      continue;
    }
    transmit(daemon->zone(), peer->zone(),
             [this, peer, from = daemon->identity().id, message = std::move(outgoing.message)] {
               peer->deliver([this, peer, from, message] {
                 peer->router().onMessage(from, message, queue_.now());
                 flush(peer);
               });
             });
  }
}

void Simulation::readPlatform(const DaemonPtr& daemon) {
  // The platform runs in the first zone.
  const bool reachable = !isPartitioned(daemon->zone(), scenario_.zones.front().name);
  const core::Time now = queue_.now();
  if (!reachable || now < daemon->nextPlatformRead) {
    return;
  }
  daemon->nextPlatformRead = now + scenario_.platformPoll;
  if (!daemon->router().shouldReadPlatform(now)) {
    return;
  }
  const auto reader = static_cast<std::uint64_t>(daemon->identity().id) >> 8U;
  if (auto document = platform_.read(now, reader)) {
    daemon->router().offerConfiguration(std::move(*document), now);
    std::vector<core::MemberIdentity> machines;
    for (const DaemonPtr& other : daemons_) {
      const bool listed = other->isAlive() || now < other->receivesUntil + kMachineListLag;
      if (listed) {
        machines.push_back(other->identity());
      }
    }
    daemon->router().offerMemberSeeds(std::move(machines), now);
  }
}

void Simulation::tickDaemon(const DaemonPtr& daemon) {
  if (!daemon->isAlive()) {
    return;
  }
  const core::Time now = queue_.now();
  if (daemon->runs()) {
    daemon->router().onTick(now);
    readPlatform(daemon);
    const core::ConfigurationVersion version = daemon->router().activeVersion();
    if (version != daemon->reportedVersion) {
      daemon->reportedVersion = version;
      record(EventKind::kConfigurationActive, daemon->name(), std::to_string(version));
    }
    const bool stopping = daemon->stopRequestedAt != core::Time{};
    if (stopping && now - daemon->stopRequestedAt >= scenario_.shutdownDelay &&
        daemon->router().handoverDone()) {
      daemon->router().finishShutdown(now);
      flush(daemon);
      daemon->kill();
      daemon->endedAt = now;
      return;
    }
    flush(daemon);
  }
  queue_.after(core::kTickInterval, [this, daemon] { tickDaemon(daemon); });
}

}  // namespace cobaltgauge::sim
