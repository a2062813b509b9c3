/// @file
/// Items of the configuration store: backends that registered themselves, routes and zone
/// evacuations. Items carry the store's revision.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/configuration.h"
#include "core/revision.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// A backend's description of itself. A restarted backend registers under a new id, or under the
/// same id with a later start time.
struct Registration {
  BackendId id = kNoBackend;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::string softwareVersion;
  std::uint32_t capacity = 1;  ///< Concurrent requests.
  BackendState state = BackendState::kActive;
  std::chrono::milliseconds remainingWarmUp{0};  ///< Remaining warm-up time as of `revision`.
  std::uint64_t startedAtMs = 0;                 ///< Unix time of its start; zero: not reported.
  /// Increases with every registration update of an incarnation; zero: not reported.
  std::uint64_t updateSequence = 0;

  bool operator==(const Registration&) const = default;
  /// @return true if the registrations are equal except for `updateSequence`.
  bool hasSameContentAs(const Registration& other) const;
};

/// A weighted target of a route.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/// Whether clients may repeat a failed request.
enum class RequestKind : std::uint8_t {
  kUnknown,
  kSafe,      ///< May be repeated.
  kUnsafe,    ///< Must run at most once.
  kDownload,  ///< May be repeated; its response is large.
};

/// Targets of new flows to one address and port, and properties of their requests.
struct Route {
  std::string name;
  Endpoint endpoint;
  std::vector<RouteTarget> targets;  ///< At least one.
  RequestKind kind = RequestKind::kUnknown;
  std::chrono::milliseconds latencyGoal{0};  ///< Desired response time; zero: not reported.
  std::chrono::milliseconds timeout{0};      ///< After which clients give up; zero: not reported.
  std::uint32_t priority = 0;                ///< Zero is the highest.
  std::vector<std::string> allowedRegions = {};  ///< Regions of its backends; empty: any.

  bool operator==(const Route&) const = default;
};

/// Properties of all backends of a service.
struct ServiceTraits {
  std::string name;
  std::chrono::milliseconds warmUp{0};  ///< Warm-up time of a backend after its start.
  /// Connection attempts per second that a backend accepts from the whole fleet while warming up;
  /// zero: unlimited.
  double warmUpRateLimit = 0;

  bool operator==(const ServiceTraits&) const = default;
};

/// All routes of one configuration version.
struct RouteSet {
  ConfigurationVersion version = 0;
  std::chrono::milliseconds idleTimeout{0};  ///< Flows that are idle for longer may be removed.
  std::vector<Route> routes;
  std::vector<ServiceTraits> services = {};
};

/// The difference between the routes of two configuration versions.
struct RouteDelta {
  ConfigurationVersion from = 0;  ///< The version that the delta applies to.
  ConfigurationVersion version = 0;
  std::chrono::milliseconds idleTimeout{0};
  std::vector<Route> changed;  ///< New or changed routes.
  std::vector<Endpoint> dropped;
  std::vector<ServiceTraits> services = {};  ///< All services of the version.
};

/// The operators' request that backends of a zone get no new flows until the item is removed.
struct ZoneEvacuation {
  std::string zone;

  bool operator==(const ZoneEvacuation&) const = default;
};

/// An item that was removed from the store.
struct RemovedItem {};

/// An item that cannot be parsed. A backend with its key gets no new flows and keeps its open ones;
/// the routes in effect stay.
struct UnreadableItem {
  std::string reason;    ///< At most a few hundred bytes.
  std::size_t size = 0;  ///< Size of the value in bytes.
};

/// One change in the store.
struct StoreChange {
  std::string key;
  Revision revision = 0;
  std::variant<RemovedItem, Registration, RouteSet, UnreadableItem, RouteDelta, ZoneEvacuation>
      item;
};

}  // namespace cobaltgauge::core
