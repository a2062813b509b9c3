#include "core/route_table.h"

#include "core/hashing.h"

namespace cobaltgauge::core {

std::size_t EndpointHash::operator()(const Endpoint& endpoint) const {
  return static_cast<std::size_t>(backendIdOf(ServiceId{0}, endpoint, 0));
}

RouteOffer RouteTable::offer(const RouteSet& routes, Time now) {
  if (routes.version == version_) {
    return RouteOffer::kUnchanged;
  }
  if (routes.version < version_) {
    return RouteOffer::kOlder;
  }
  std::unordered_map<Endpoint, RouteEntry, EndpointHash> next;
  for (const Route& route : routes.routes) {
    const RouteEntry* known = find(route.endpoint);
    const bool sameSplit = known != nullptr && known->route.targets == route.targets;
    WeightedSplit split =
        sameSplit ? known->split
                  : WeightedSplit(route.targets, startPoint_ ^ EndpointHash{}(route.endpoint));
    next.insert_or_assign(route.endpoint, RouteEntry{route, std::move(split)});
    dropped_.erase(route.endpoint);
  }
  for (const auto& [endpoint, entry] : routes_) {
    if (!next.contains(endpoint)) {
      dropped_.emplace(endpoint, now);
    }
  }
  routes_ = std::move(next);
  version_ = routes.version;
  idleTimeout_ = routes.idleTimeout;
  return RouteOffer::kAccepted;
}

RouteEntry* RouteTable::find(const Endpoint& endpoint) {
  const auto found = routes_.find(endpoint);
  return found == routes_.end() ? nullptr : &found->second;
}

std::vector<Route> RouteTable::routes() const {
  std::vector<Route> list;
  list.reserve(routes_.size());
  for (const auto& [endpoint, entry] : routes_) {
    list.push_back(entry.route);
  }
  return list;
}

void RouteTable::forgetDropped(Time now, Duration keep) {
  std::erase_if(dropped_, [now, keep](const auto& item) { return now - item.second >= keep; });
}

}  // namespace cobaltgauge::core
