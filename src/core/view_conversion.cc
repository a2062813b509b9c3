#include "core/view_conversion.h"

#include <utility>

namespace cobaltgauge::core {

std::uint32_t toMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

ViewBackend toMessage(const StoreChange& change, const Registration& registration) {
  return {change.key,
          change.revision,
          registration.id,
          registration.service,
          registration.endpoint,
          registration.zone,
          registration.softwareVersion,
          registration.capacity,
          registration.state == BackendState::kDraining,
          toMilliseconds(registration.remainingWarmUp),
          registration.startedAtMs,
          registration.updateSequence};
}

StoreChange toChange(const ViewBackend& backend) {
  Registration registration;
  registration.id = backend.id;
  registration.service = backend.service;
  registration.endpoint = backend.endpoint;
  registration.zone = backend.zone;
  registration.softwareVersion = backend.softwareVersion;
  registration.capacity = backend.capacity;
  registration.state = backend.draining ? BackendState::kDraining : BackendState::kActive;
  registration.remainingWarmUp = std::chrono::milliseconds(backend.remainingWarmUpMs);
  registration.startedAtMs = backend.startedAtMs;
  registration.updateSequence = backend.updateSequence;
  return {backend.key, backend.revision, registration};
}

ViewEvacuation toMessage(const StoreChange& change, const ZoneEvacuation& evacuation) {
  return {change.key, change.revision, evacuation.zone};
}

StoreChange toChange(const ViewEvacuation& evacuation) {
  return {evacuation.key, evacuation.revision, ZoneEvacuation{evacuation.zone}};
}

ViewRoute toMessage(const Route& route) {
  ViewRoute message{route.name, route.endpoint, {}, {}};
  for (const RouteTarget& target : route.targets) {
    message.services.push_back(target.service);
    message.weights.push_back(target.weight);
  }
  message.kind = route.kind;
  message.latencyGoalMs = toMilliseconds(route.latencyGoal);
  message.timeoutMs = toMilliseconds(route.timeout);
  message.priority = route.priority;
  message.allowedRegions = route.allowedRegions;
  return message;
}

ViewService toMessage(const ServiceTraits& service) {
  return {service.name, toMilliseconds(service.warmUp), service.warmUpRateLimit};
}

ServiceTraits toTraits(const ViewService& message) {
  return {message.name, std::chrono::milliseconds(message.warmUpMs), message.warmUpRateLimit};
}

std::optional<Route> toRoute(const ViewRoute& message) {
  if (message.services.empty() || message.services.size() != message.weights.size()) {
    return std::nullopt;
  }
  Route route{message.name, message.endpoint, {}};
  for (std::size_t i = 0; i < message.services.size(); ++i) {
    route.targets.push_back({message.services[i], message.weights[i]});
  }
  route.kind = message.kind;
  route.latencyGoal = std::chrono::milliseconds(message.latencyGoalMs);
  route.timeout = std::chrono::milliseconds(message.timeoutMs);
  route.priority = message.priority;
  route.allowedRegions = message.allowedRegions;
  return route;
}

namespace {

ViewRouteDelta toMessage(const StoreChange& change, const RouteDelta& delta) {
  ViewRouteDelta message{
      change.key, change.revision, delta.from, delta.version, toMilliseconds(delta.idleTimeout),
      {},         delta.dropped};
  for (const Route& route : delta.changed) {
    message.changed.push_back(toMessage(route));
  }
  for (const ServiceTraits& service : delta.services) {
    message.services.push_back(toMessage(service));
  }
  return message;
}

/// A full route set is a delta to version zero.
ViewRouteDelta toMessage(const StoreChange& change, const RouteSet& routes) {
  return toMessage(
      change,
      RouteDelta{0, routes.version, routes.idleTimeout, routes.routes, {}, routes.services});
}

StoreChange toChange(const ViewRouteDelta& message) {
  RouteDelta delta{message.from,
                   message.version,
                   std::chrono::milliseconds(message.idleTimeoutMs),
                   {},
                   message.dropped};
  for (const ViewRoute& item : message.changed) {
    if (std::optional<Route> route = toRoute(item)) {
      delta.changed.push_back(std::move(*route));
    }
  }
  for (const ViewService& service : message.services) {
    delta.services.push_back(toTraits(service));
  }
  if (delta.from == 0) {
    return {message.key, message.revision,
            RouteSet{delta.version, delta.idleTimeout, std::move(delta.changed),
                     std::move(delta.services)}};
  }
  return {message.key, message.revision, std::move(delta)};
}

}  // namespace

void addToUpdate(const std::vector<StoreChange>& changes, ViewUpdate& update) {
  for (const StoreChange& change : changes) {
    if (const auto* registration = std::get_if<Registration>(&change.item)) {
      update.backends.push_back(toMessage(change, *registration));
    } else if (std::holds_alternative<RemovedItem>(change.item)) {
      update.removals.push_back({change.key, change.revision});
    } else if (const auto* delta = std::get_if<RouteDelta>(&change.item)) {
      update.routes.push_back(toMessage(change, *delta));
    } else if (const auto* routes = std::get_if<RouteSet>(&change.item)) {
      update.routes.push_back(toMessage(change, *routes));
    } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&change.item)) {
      update.evacuations.push_back(toMessage(change, *evacuation));
    }
  }
}

std::vector<StoreChange> toStoreChanges(const ViewUpdate& update) {
  std::vector<StoreChange> changes;
  for (const ViewBackend& backend : update.backends) {
    changes.push_back(toChange(backend));
  }
  // Added items come before removals: the removal of an unknown evacuation has no effect.
  for (const ViewEvacuation& evacuation : update.evacuations) {
    changes.push_back(toChange(evacuation));
  }
  for (const ViewRemoval& removal : update.removals) {
    changes.push_back({removal.key, removal.revision, RemovedItem{}});
  }
  for (const ViewRouteDelta& delta : update.routes) {
    changes.push_back(toChange(delta));
  }
  return changes;
}

}  // namespace cobaltgauge::core
