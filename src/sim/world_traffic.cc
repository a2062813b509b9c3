/// @file
/// Packets and messages of the simulated world.
#include "core/constants.h"
#include "sim/world.h"

namespace cobaltgauge::sim {
namespace {

/// The platform's machine list still names a dead machine for this long.
constexpr core::Duration kMachineListLag = std::chrono::seconds(5);

}  // namespace

bool World::isCut(const std::string& a, const std::string& b) const {
  return a != b && (cutZones_.contains(a) || cutZones_.contains(b));
}

core::Duration World::delayBetween(const std::string& a, const std::string& b) const {
  if (a == b) {
    return scenario_.network.sameZone;
  }
  const bool sameRegion = regions_.at(a) == regions_.at(b);
  return sameRegion ? scenario_.network.crossZone : scenario_.network.crossRegion;
}

void World::transmit(const std::string& fromZone, const std::string& toZone,
                     const std::function<void()>& arrive) {
  if (isCut(fromZone, toZone) || random_.chance(scenario_.network.lossPermille)) {
    return;
  }
  const bool twice = random_.chance(scenario_.network.duplicatePermille);
  for (int copy = 0; copy < (twice ? 2 : 1); ++copy) {
    const core::Duration delay = delayBetween(fromZone, toZone) +
                                 random_.between(core::Duration(0), scenario_.network.jitter);
    queue_.after(delay, arrive);
  }
}

World::DaemonPtr World::findByControl(const core::Endpoint& control) const {
  const auto it = daemonsByControl_.find(control);
  return it == daemonsByControl_.end() ? nullptr : it->second;
}

void World::onCallerPacket(const WorkRequest& request) {
  const std::string& zone = callers_[request.caller]->zone();
  std::vector<DaemonPtr> candidates;
  for (const DaemonPtr& daemon : daemons_) {
    const bool reachable = !isCut(zone, daemon->zone());
    if (reachable && queue_.now() >= daemon->startedAt && queue_.now() < daemon->sprayedUntil) {
      candidates.push_back(daemon);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const DaemonPtr daemon = candidates[random_.below(candidates.size())];
  queue_.after(scenario_.network.caller, [this, zone, daemon, request] {
    transmit(zone, daemon->zone(), [this, daemon, request] {
      daemon->deliver([this, daemon, request] {
        const core::Time now = queue_.now();
        carryOut(daemon, daemon->router().onPacket(request.packet, now), request,
                 daemon->identity().id);
        flush(daemon);
      });
    });
  });
}

void World::carryOut(const DaemonPtr& daemon, const core::Verdict& verdict,
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
  } else if (const auto* pass = std::get_if<core::ForwardToPeer>(&verdict)) {
    ++packetsToPeers_;
    const DaemonPtr peer = findByControl(pass->destination);
    if (peer == nullptr) {
      return;
    }
    const core::PeerArrival arrival{ingress, pass->hops, pass->needsListing};
    transmit(daemon->zone(), peer->zone(), [this, peer, request, arrival] {
      peer->deliver([this, peer, request, arrival] {
        const core::Verdict next =
            peer->router().onPeerPacket(request.packet, arrival, queue_.now());
        carryOut(peer, next, request, arrival.ingress);
        flush(peer);
      });
    });
  } else if (const auto* refusal = std::get_if<core::Refuse>(&verdict)) {
    ++drops_[std::string("refused_") + core::toString(refusal->reason)];
    if (refusal->form != core::RefusalForm::kNone) {
      const bool notRun = refusal->certainty == core::RefusalCertainty::kNotRun;
      const WorkResult result = notRun ? WorkResult::kNotRun : WorkResult::kOutcomeUnknown;
      answerCaller(request.caller, daemon->zone(),
                   {request.messageId, result, request.request, request.block});
    }
  } else if (const auto* drop = std::get_if<core::Drop>(&verdict)) {
    ++drops_[core::toString(drop->reason)];
  }
}

void World::answerCaller(std::size_t caller, const std::string& fromZone,
                         const WorkAnswer& answer) {
  SimulatedCaller* target = callers_[caller].get();
  transmit(fromZone, target->zone(), [this, target, answer] {
    queue_.after(scenario_.network.caller, [target, answer] { target->onAnswer(answer); });
  });
}

void World::flush(const DaemonPtr& daemon) {
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

void World::readPlatform(const DaemonPtr& daemon) {
  // The platform stands in the first zone.
  const bool reachable = !isCut(daemon->zone(), scenario_.zones.front().name);
  const core::Time now = queue_.now();
  if (!reachable || now < daemon->nextRead) {
    return;
  }
  daemon->nextRead = now + scenario_.platformPoll;
  if (!daemon->router().shouldReadPlatform(now)) {
    return;
  }
  const auto reader = static_cast<std::uint64_t>(daemon->identity().id) >> 8U;
  if (auto document = platform_.read(now, reader)) {
    daemon->router().offerConfiguration(std::move(*document), now);
    std::vector<core::MemberIdentity> machines;
    for (const DaemonPtr& other : daemons_) {
      const bool listed = other->isAlive() || now < other->sprayedUntil + kMachineListLag;
      if (listed) {
        machines.push_back(other->identity());
      }
    }
    daemon->router().offerMemberSeeds(std::move(machines), now);
  }
}

void World::tickDaemon(const DaemonPtr& daemon) {
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
      record(EventKind::kConfigurationInForce, daemon->name(), std::to_string(version));
    }
    const bool leaving = daemon->leavingSince != core::Time{};
    if (leaving && now - daemon->leavingSince >= scenario_.linger &&
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
