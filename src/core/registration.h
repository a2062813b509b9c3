/// @file
/// What a fleet is told by its configuration store, one item at a time: back ends that registered
/// themselves, and the routes in force. Items carry the store's revision.
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

/// A back end as it describes itself. A start of a back end is another registration under another
/// id, or under the same id with a later time of start.
struct Registration {
  BackendId id = kNoBackend;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::string softwareVersion;
  std::uint32_t capacity = 1;  ///< Requests it handles at once.
  BackendState state = BackendState::kActive;
  std::chrono::milliseconds warmUpLeft{0};  ///< Slow for this much longer, seen from `revision`.
  std::uint64_t startedAtMs = 0;            ///< Unix time of its start; zero: not told.
  std::uint64_t statement = 0;  ///< Rises with all that it says of itself in a run; zero: not told.

  bool operator==(const Registration&) const = default;
  /// @return true where only the numbers of the statements may differ.
  bool hasSameContentAs(const Registration& other) const;
};

/// One service that a route sends flows to.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/// What callers may do with a request that has failed.
enum class RequestKind : std::uint8_t {
  kUnknown,
  kSafe,      ///< It may run again.
  kUnsafe,    ///< It runs at most once.
  kDownload,  ///< It may run again, and its answer is large.
};

/// Where new flows to one address and port go, and what the requests on them are.
struct Route {
  std::string name;
  Endpoint endpoint;
  std::vector<RouteTarget> targets;  ///< At least one.
  RequestKind kind = RequestKind::kUnknown;
  std::chrono::milliseconds latencyGoal{0};      ///< In which answers are wanted; zero: not told.
  std::chrono::milliseconds timeout{0};          ///< After which callers give up; zero: not told.
  std::uint32_t priority = 0;                    ///< Zero is the highest.
  std::vector<std::string> allowedRegions = {};  ///< Of its back ends; empty: any.

  bool operator==(const Route&) const = default;
};

/// What is known of all back ends of a service.
struct ServiceTraits {
  std::string name;
  std::chrono::milliseconds warmUp{0};  ///< For so long a back end is cold after its start.
  /// Openings a second that a cold back end bears, from the whole fleet; zero: no bound.
  double coldOpenings = 0;

  bool operator==(const ServiceTraits&) const = default;
};

/// All routes of one configuration version.
struct RouteSet {
  ConfigurationVersion version = 0;
  std::chrono::milliseconds idleTimeout{0};  ///< Flows idle for longer may be forgotten.
  std::vector<Route> routes;
  std::vector<ServiceTraits> services = {};
};

/// What a configuration version changed in the routes of an earlier one.
struct RouteDelta {
  ConfigurationVersion from = 0;  ///< The version that it applies to.
  ConfigurationVersion version = 0;
  std::chrono::milliseconds idleTimeout{0};
  std::vector<Route> changed;  ///< Routes that are new or differ.
  std::vector<Endpoint> dropped;
  std::vector<ServiceTraits> services = {};  ///< All of the version; there are few.
};

/// Operators want a zone's back ends to get no new flow until the item is removed.
struct ZoneEvacuation {
  std::string zone;

  bool operator==(const ZoneEvacuation&) const = default;
};

/// An item that was removed from the store.
struct RemovedItem {};

/// An item that cannot be understood. A back end of its key gets no new flow and keeps its open
/// ones; routes in force stay.
struct UnreadableItem {
  std::string reason;
};

/// One change in the store.
struct StoreChange {
  std::string key;
  Revision revision = 0;
  std::variant<RemovedItem, Registration, RouteSet, UnreadableItem, RouteDelta, ZoneEvacuation>
      item;
};

}  // namespace cobaltgauge::core
