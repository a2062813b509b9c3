/// @file
/// The routes in force. Versions only rise. Routes that a version dropped are remembered, so that
/// their flows can be told from flows to addresses that were never known here.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/registration.h"
#include "core/types.h"
#include "core/weighted_split.h"

namespace cobaltgauge::core {

/// Hash of an endpoint for unordered containers.
struct EndpointHash {
  std::size_t operator()(const Endpoint& endpoint) const;
};

/// What became of an offered route set.
enum class RouteOfferResult : std::uint8_t {
  kAccepted,
  kUnchanged,
  kRewritten,  ///< Unchanged, by a copy of the store that came back without it.
  kOlder,
  kGap,  ///< It changes routes of a version that is not in force here.
};

/// One route with the state of its split.
struct RouteEntry {
  Route route;
  WeightedSplit split;
  std::vector<RegionId> regions;  ///< Those of `route.allowedRegions`.

  /// @return true where back ends of a region may get the route's flows.
  bool allows(RegionId region) const;
};

class RouteTable {
 public:
  /// @param startOffset a random number; where the splits of this daemon begin their round, so that
  /// daemons that start together do not all begin with the same target.
  explicit RouteTable(std::uint64_t startOffset) : startOffset_(startOffset) {}

  /// Takes a route set that is newer than the one in force.
  RouteOfferResult offer(const RouteSet& routes, Time now);

  /// @return what a route set changes in the one in force; nothing where it is not newer.
  RouteDelta difference(const RouteSet& routes) const;

  /// Takes what a version changed in the one in force. @param at the store's revision of it.
  RouteOfferResult apply(const RouteDelta& delta, Time now, Revision at = 0);

  /// @return what was taken after `have`, as items with their revisions; nothing where that is not
  /// remembered any more.
  std::optional<std::vector<StoreChange>> deltasSince(Revision have) const;

  /// @return true where a listing of a later era shows the version in force as it was known before.
  bool isUnchangedSinceEarlierEra(ConfigurationVersion version, Revision revision) const {
    return version == version_ && changedAt_.era < revision.era &&
           changedAt_.number == revision.number;
  }

  /// @return the route of an address, or null.
  RouteEntry* find(const Endpoint& endpoint);
  /// @return true where a version dropped this route and none has brought it back.
  bool wasRemoved(const Endpoint& endpoint) const { return dropped_.contains(endpoint); }

  /// Forgets dropped routes that no flow can belong to any more.
  void forgetDropped(Time now, Duration retention);

  /// @return every route in force.
  std::vector<Route> routes() const;
  ConfigurationVersion version() const { return version_; }
  /// @return the store's revision of the version in force; zero: none.
  Revision changedAt() const { return changedAt_; }
  std::size_t size() const { return routes_.size(); }
  std::chrono::milliseconds idleTimeout() const { return idleTimeout_; }
  const std::vector<ServiceTraits>& services() const { return services_; }
  /// @return openings a second that a cold back end of the service bears; zero: no bound.
  double coldOpenings(ServiceId service) const;

 private:
  void put(const Route& route);
  void recordDelta(const RouteDelta& delta, Revision at);
  /// Notes where the version in force stands in the store. @return whether that is in a later copy.
  bool markRewritten(Revision at);
  void setServices(const std::vector<ServiceTraits>& services);

  std::uint64_t startOffset_;
  ConfigurationVersion version_ = 0;
  Revision changedAt_ = 0;
  std::deque<std::pair<Revision, RouteDelta>> recentDeltas_;  ///< Oldest first; bounded.
  Revision deltasFrom_ = 0;  ///< Of the version that the oldest of these changed.
  std::chrono::milliseconds idleTimeout_{0};
  std::vector<ServiceTraits> services_;
  std::unordered_map<ServiceId, double> coldOpenings_;  ///< Of services that have a bound.
  std::unordered_map<Endpoint, RouteEntry, EndpointHash> routes_;
  std::unordered_map<Endpoint, Time, EndpointHash> dropped_;
};

}  // namespace cobaltgauge::core
