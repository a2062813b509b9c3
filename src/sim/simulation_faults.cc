/// @file
/// Faults and operator actions of the simulation.
#include <algorithm>

#include "sim/simulation.h"

namespace cobaltgauge::sim {

Simulation::DaemonPtr Simulation::findDaemon(const std::string& name) const {
  for (const DaemonPtr& daemon : daemons_) {
    if (daemon->name() == name) {
      return daemon;
    }
  }
  return nullptr;
}

void Simulation::publish() {
  const core::ConfigurationVersion version = platform_.publish(queue_.now());
  record(EventKind::kConfigurationPublished, "operator", std::to_string(version));
}

void Simulation::applyFault(const FaultSpec& fault) {
  record(EventKind::kFault, "operator", std::string(toString(fault.kind)) + " " + fault.target);
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
    case FaultKind::kStopDaemon:
    case FaultKind::kSuspendDaemon:
    case FaultKind::kResumeDaemon:
      applyDaemonFault(fault);
      break;
    case FaultKind::kJoinDaemon:
      startDaemon(fault.target);
      break;
    case FaultKind::kPartitionZone:
      partitionedZones_.insert(fault.target);
      break;
    case FaultKind::kRecoverZone:
      partitionedZones_.erase(fault.target);
      break;
    case FaultKind::kPlatformDown:
      platform_.setDown(true);
      break;
    case FaultKind::kPlatformUp:
      platform_.setDown(false);
      platform_.setStale(false);
      break;
    case FaultKind::kPlatformStale:
      platform_.setDown(false);
      platform_.setStale(true);
      break;
    default:
      applyOperatorAction(fault);
      break;
  }
}

void Simulation::applyDaemonFault(const FaultSpec& fault) {
  const DaemonPtr daemon = findDaemon(fault.target);
  if (daemon == nullptr || !daemon->isAlive()) {
    return;
  }
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
      daemon->kill();
      daemon->endedAt = queue_.now();
      daemon->receivesUntil = queue_.now() + scenario_.fabricLag;
      break;
    case FaultKind::kStopDaemon:
      daemon->stopRequestedAt = queue_.now();
      daemon->receivesUntil = queue_.now() + scenario_.fabricLag;
      daemon->deliver([this, daemon] {
        daemon->router().beginShutdown(queue_.now());
        flush(daemon);
      });
      break;
    case FaultKind::kSuspendDaemon:
      daemon->suspend();
      break;
    default:
      daemon->resume();
      break;
  }
}

void Simulation::applyOperatorAction(const FaultSpec& fault) {
  switch (fault.kind) {
    case FaultKind::kDrainBackend:
      drainBackend(fault.target);
      break;
    case FaultKind::kRemoveBackend:
      removeBackend(fault.target);
      break;
    case FaultKind::kAddBackend:
      addBackend(fault.target);
      break;
    case FaultKind::kReuseAddress:
      reuseAddress(fault.target);
      break;
    case FaultKind::kReplacePolicy:
      if (ListedService* service = platform_.findService(fault.target)) {
        // Alternates between a policy that favors the first zone and the scenario's policy.
        service->policy =
            service->policy != service->spec.policy
                ? service->spec.policy
                : "function place(class, backend) if backend.state ~= 'active' then return 0 end "
                  "if backend.zone == '" +
                      scenario_.zones.front().name + "' then return 130 end return 100 end";
        publish();
      }
      break;
    case FaultKind::kPlatformRace:
      publish();
      if (!platform_.services().empty()) {
        platform_.services().front().policy += " -- rival";
        platform_.publishConflicting(queue_.now());
      }
      break;
    default:
      break;
  }
}

void Simulation::drainBackend(const std::string& name) {
  const auto [service, backend] = platform_.findBackend(name);
  if (backend == nullptr || backend->draining) {
    return;
  }
  const auto active = std::count_if(service->backends.begin(), service->backends.end(),
                                    [](const ListedBackend& item) { return !item.draining; });
  if (active < 2) {
    return;  // Keep at least one active backend.
  }
  backend->draining = true;
  record(EventKind::kBackendDraining, name, "");
  publish();
}

void Simulation::addBackend(const std::string& serviceName) {
  ListedService* service = platform_.findService(serviceName);
  if (service == nullptr) {
    return;
  }
  const std::uint32_t number = nextBackendNumber_++;
  ListedBackend backend = service->backends.front();
  backend.name = serviceName + "-new-" + std::to_string(number);
  backend.zone = scenario_.zones[number % scenario_.zones.size()].name;
  backend.draining = false;
  backend.incarnation = 1;
  backend.endpoint.address.bytes[2] = static_cast<std::uint8_t>(number >> 8U);
  backend.endpoint.address.bytes[3] = static_cast<std::uint8_t>(number & 0xffU);
  service->backends.push_back(backend);
  startBackend(*service, backend);
  publish();
}

void Simulation::removeBackend(const std::string& name) {
  const auto [service, backend] = platform_.findBackend(name);
  if (backend == nullptr || !backend->draining) {
    return;  // Only drained backends may be removed.
  }
  std::erase_if(service->backends,
                [&name](const ListedBackend& item) { return item.name == name; });
  publish();
}

void Simulation::reuseAddress(const std::string& name) {
  const auto [service, backend] = platform_.findBackend(name);
  if (backend == nullptr || !backend->draining || platform_.services().size() < 2) {
    return;
  }
  const SimulatedBackend* old = backendsByEndpoint_.at(backend->endpoint);
  if (old->sessions() > 0) {
    return;  // An address may be reused only after all its sessions are closed.
  }
  ListedBackend moved = *backend;
  moved.name = name + "-reused";
  moved.draining = false;
  ++moved.incarnation;
  ListedService& next = &platform_.services().front() == service ? platform_.services().back()
                                                                 : platform_.services().front();
  std::erase_if(service->backends,
                [&name](const ListedBackend& item) { return item.name == name; });
  next.backends.push_back(moved);
  startBackend(next, moved);
  publish();
}

}  // namespace cobaltgauge::sim
