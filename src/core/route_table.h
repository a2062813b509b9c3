/// @file
/// The routes in effect. Versions only increase. Removed routes are kept for some time, to tell
/// their flows from flows to addresses that were never known.
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

/// The result of offering a route set.
enum class RouteOfferResult : std::uint8_t {
  kAccepted,
  kUnchanged,
  kRewritten,  ///< Unchanged, but written again after a restore of the store.
  kOlder,
  kGap,  ///< The delta applies to a version that is not in effect here.
};

/// A route with the state of its split.
struct RouteEntry {
  Route route;
  WeightedSplit split;
  std::vector<RegionId> regions;  ///< Ids of `route.allowedRegions`.

  /// @return true if backends of a region may get the route's flows.
  bool allows(RegionId region) const;
};

class RouteTable {
 public:
  /// @param startOffset random start position of the weighted splits, so that daemons that start
  /// together do not all begin with the same target.
  explicit RouteTable(std::uint64_t startOffset) : startOffset_(startOffset) {}

  /// Applies a route set that is newer than the one in effect.
  RouteOfferResult offer(const RouteSet& routes, Time now);

  /// @return the delta from the routes in effect to a route set; empty if the set is not newer.
  RouteDelta difference(const RouteSet& routes) const;

  /// Applies the delta of a version to the one in effect. @param at the store's revision of the
  /// delta.
  RouteOfferResult apply(const RouteDelta& delta, Time now, Revision at = 0);

  /// @return the deltas applied after `have`, as items with their revisions; nothing if they are no
  /// longer kept.
  std::optional<std::vector<StoreChange>> deltasSince(Revision have) const;

  /// @return true if a listing of a later era shows the version in effect unchanged.
  bool isUnchangedSinceEarlierEra(ConfigurationVersion version, Revision revision) const {
    return version == version_ && changedAt_.era < revision.era &&
           changedAt_.number == revision.number;
  }

  /// @return the route of an address, or null.
  RouteEntry* find(const Endpoint& endpoint);
  /// @return true if a version removed this route and none has restored it.
  bool wasRemoved(const Endpoint& endpoint) const { return removed_.contains(endpoint); }

  /// Discards removed routes that no flow can belong to any more.
  void discardRemoved(Time now, Duration retention);

  /// @return every route in effect.
  std::vector<Route> routes() const;
  ConfigurationVersion version() const { return version_; }
  /// @return the store's revision of the version in effect; zero: none.
  Revision changedAt() const { return changedAt_; }
  std::size_t size() const { return routes_.size(); }
  std::chrono::milliseconds idleTimeout() const { return idleTimeout_; }
  const std::vector<ServiceTraits>& services() const { return services_; }
  /// @return connection attempts per second that a warming-up backend of the service accepts; zero:
  /// unlimited.
  double warmUpRateLimit(ServiceId service) const;

 private:
  void put(const Route& route);
  void recordDelta(const RouteDelta& delta, Revision at);
  /// Records the store's revision of the version in effect. @return true if it is of a later era.
  bool markRewritten(Revision at);
  void setServices(const std::vector<ServiceTraits>& services);

  std::uint64_t startOffset_;
  ConfigurationVersion version_ = 0;
  Revision changedAt_ = 0;
  /// Oldest first; at most kMaxRecentDeltas.
  std::deque<std::pair<Revision, RouteDelta>> recentDeltas_;
  Revision deltasFrom_ = 0;  ///< Revision that the oldest recent delta applies to.
  std::chrono::milliseconds idleTimeout_{0};
  std::vector<ServiceTraits> services_;
  std::unordered_map<ServiceId, double> warmUpRateLimits_;  ///< Of services with a limit.
  std::unordered_map<Endpoint, RouteEntry, EndpointHash> routes_;
  std::unordered_map<Endpoint, Time, EndpointHash> removed_;
};

}  // namespace cobaltgauge::core
