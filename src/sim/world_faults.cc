/// @file
/// Faults and operators' actions of the simulated world.
#include <algorithm>

#include "sim/world.h"

namespace cobaltgauge::sim {

World::DaemonPtr World::findDaemon(const std::string& name) const {
  for (const DaemonPtr& daemon : daemons_) {
    if (daemon->name() == name) {
      return daemon;
    }
  }
  return nullptr;
}

void World::publish() {
  const core::ConfigurationVersion version = platform_.publish(queue_.now());
  record(EventKind::kConfigurationPublished, "operator", std::to_string(version));
}

void World::applyFault(const FaultSpec& fault) {
  record(EventKind::kFault, "operator", std::string(toString(fault.kind)) + " " + fault.target);
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
    case FaultKind::kStopDaemon:
    case FaultKind::kFreezeDaemon:
    case FaultKind::kWakeDaemon:
      applyDaemonFault(fault);
      break;
    case FaultKind::kJoinDaemon:
      startDaemon(fault.target);
      break;
    case FaultKind::kCutZone:
      cutZones_.insert(fault.target);
      break;
    case FaultKind::kHealZone:
      cutZones_.erase(fault.target);
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

void World::applyDaemonFault(const FaultSpec& fault) {
  const DaemonPtr daemon = findDaemon(fault.target);
  if (daemon == nullptr || !daemon->isAlive()) {
    return;
  }
  switch (fault.kind) {
    case FaultKind::kKillDaemon:
      daemon->kill();
      daemon->endedAt = queue_.now();
      daemon->sprayedUntil = queue_.now() + scenario_.fabricLag;
      break;
    case FaultKind::kStopDaemon:
      daemon->leavingSince = queue_.now();
      daemon->sprayedUntil = queue_.now() + scenario_.fabricLag;
      daemon->deliver([this, daemon] {
        daemon->router().beginShutdown(queue_.now());
        flush(daemon);
      });
      break;
    case FaultKind::kFreezeDaemon:
      daemon->freeze();
      break;
    default:
      daemon->wake();
      break;
  }
}

void World::applyOperatorAction(const FaultSpec& fault) {
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
        // Alternates between favouring one zone and the policy of the scenario.
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
        platform_.publishRival(queue_.now());
      }
      break;
    default:
      break;
  }
}

void World::drainBackend(const std::string& name) {
  const auto [service, backend] = platform_.findBackend(name);
  if (backend == nullptr || backend->leaving) {
    return;
  }
  const auto active = std::count_if(service->backends.begin(), service->backends.end(),
                                    [](const ListedBackend& item) { return !item.leaving; });
  if (active < 2) {
    return;  // An operator does not drain the last back end.
  }
  backend->leaving = true;
  record(EventKind::kBackendLeaving, name, "");
  publish();
}

void World::addBackend(const std::string& serviceName) {
  ListedService* service = platform_.findService(serviceName);
  if (service == nullptr) {
    return;
  }
  const std::uint32_t number = nextBackendNumber_++;
  ListedBackend backend = service->backends.front();
  backend.name = serviceName + "-new-" + std::to_string(number);
  backend.zone = scenario_.zones[number % scenario_.zones.size()].name;
  backend.leaving = false;
  backend.incarnation = 1;
  backend.endpoint.address.bytes[2] = static_cast<std::uint8_t>(number >> 8U);
  backend.endpoint.address.bytes[3] = static_cast<std::uint8_t>(number & 0xffU);
  service->backends.push_back(backend);
  startBackend(*service, backend);
  publish();
}

void World::removeBackend(const std::string& name) {
  const auto [service, backend] = platform_.findBackend(name);
  if (backend == nullptr || !backend->leaving) {
    return;  // Only a back end that was drained is removed.
  }
  std::erase_if(service->backends,
                [&name](const ListedBackend& item) { return item.name == name; });
  publish();
}

void World::reuseAddress(const std::string& name) {
  const auto [service, backend] = platform_.findBackend(name);
  if (backend == nullptr || !backend->leaving || platform_.services().size() < 2) {
    return;
  }
  const SimulatedBackend* old = backendsByEndpoint_.at(backend->endpoint);
  if (old->sessions() > 0) {
    return;  // An operator waits until a machine is empty before it is given away.
  }
  ListedBackend moved = *backend;
  moved.name = name + "-reused";
  moved.leaving = false;
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
