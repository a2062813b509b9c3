#include "core/route_table.h"

#include <algorithm>

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Maximum number of route deltas that are kept for peers with an older version. Peers that are
/// further behind get the full route set.
constexpr std::size_t kMaxRecentDeltas = 32;

std::vector<RegionId> regionsOf(const Route& route) {
  std::vector<RegionId> regions;
  for (const std::string& name : route.allowedRegions) {
    regions.push_back(regionIdOf(name));
  }
  return regions;
}

}  // namespace

bool RouteEntry::allows(RegionId region) const {
  return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

std::size_t EndpointHash::operator()(const Endpoint& endpoint) const {
  return static_cast<std::size_t>(backendIdOf(ServiceId{0}, endpoint, 0));
}

RouteOfferResult RouteTable::offer(const RouteSet& routes, Time now) {
  return apply(difference(routes), now);
}

RouteDelta RouteTable::difference(const RouteSet& routes) const {
  RouteDelta delta{version_, routes.version, routes.idleTimeout, {}, {}, routes.services};
  if (routes.version <= version_) {
    return delta;
  }
  // If routes share an address, the last one applies.
  std::unordered_map<Endpoint, const Route*, EndpointHash> routesByEndpoint;
  for (const Route& route : routes.routes) {
    routesByEndpoint.insert_or_assign(route.endpoint, &route);
  }
  for (const auto& [endpoint, route] : routesByEndpoint) {
    const auto known = routes_.find(endpoint);
    if (known == routes_.end() || known->second.route != *route) {
      delta.changed.push_back(*route);
    }
  }
  for (const auto& [endpoint, entry] : routes_) {
    if (!routesByEndpoint.contains(endpoint)) {
      delta.dropped.push_back(endpoint);
    }
  }
  return delta;
}

RouteOfferResult RouteTable::apply(const RouteDelta& delta, Time now, Revision at) {
  if (delta.version < version_) {
    return RouteOfferResult::kOlder;
  }
  if (delta.version == version_) {
    return markRewritten(at) ? RouteOfferResult::kRewritten : RouteOfferResult::kUnchanged;
  }
  if (delta.from != version_) {
    return RouteOfferResult::kGap;
  }
  for (const Route& route : delta.changed) {
    put(route);
    removed_.erase(route.endpoint);
  }
  for (const Endpoint& endpoint : delta.dropped) {
    routes_.erase(endpoint);
    removed_.emplace(endpoint, now);
  }
  version_ = delta.version;
  idleTimeout_ = delta.idleTimeout;
  setServices(delta.services);
  recordDelta(delta, at);
  return RouteOfferResult::kAccepted;
}

bool RouteTable::markRewritten(Revision at) {
  if (at.era <= changedAt_.era) {
    return false;
  }
  // Daemons that started from the restored store have an older version at a later revision: they
  // need the full set.
  changedAt_ = at;
  recentDeltas_.clear();
  deltasFrom_ = at;
  return true;
}

void RouteTable::recordDelta(const RouteDelta& delta, Revision at) {
  const bool isFirst = delta.from == 0;
  if (isFirst) {
    recentDeltas_.clear();
    deltasFrom_ = at;
  } else {
    recentDeltas_.emplace_back(at, delta);
  }
  changedAt_ = at;
  if (recentDeltas_.size() > kMaxRecentDeltas) {
    deltasFrom_ = recentDeltas_.front().first;
    recentDeltas_.pop_front();
  }
}

std::optional<std::vector<StoreChange>> RouteTable::deltasSince(Revision have) const {
  if (have < deltasFrom_ || deltasFrom_ == 0) {
    return std::nullopt;
  }
  std::vector<StoreChange> changes;
  for (const auto& [at, delta] : recentDeltas_) {
    if (at > have) {
      changes.push_back({"", at, delta});
    }
  }
  return changes;
}

void RouteTable::put(const Route& route) {
  const auto known = routes_.find(route.endpoint);
  if (known != routes_.end() && known->second.route.targets == route.targets) {
    known->second.route = route;
    known->second.regions = regionsOf(route);
    return;
  }
  const WeightedSplit split(route.targets, startOffset_ ^ EndpointHash{}(route.endpoint));
  routes_.insert_or_assign(route.endpoint, RouteEntry{route, split, regionsOf(route)});
}

void RouteTable::setServices(const std::vector<ServiceTraits>& services) {
  services_ = services;
  warmUpRateLimits_.clear();
  for (const ServiceTraits& service : services) {
    if (service.warmUpRateLimit > 0) {
      warmUpRateLimits_[serviceIdOf(service.name)] = service.warmUpRateLimit;
    }
  }
}

double RouteTable::warmUpRateLimit(ServiceId service) const {
  const auto found = warmUpRateLimits_.find(service);
  return found == warmUpRateLimits_.end() ? 0 : found->second;
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

void RouteTable::discardRemoved(Time now, Duration retention) {
  std::erase_if(removed_,
                [now, retention](const auto& item) { return now - item.second >= retention; });
}

}  // namespace cobaltgauge::core
