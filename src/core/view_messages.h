/// @file
/// Messages by which daemons exchange their views of the store. See net/peer_codec.h for the wire
/// format.
#pragma once

#include <string>
#include <vector>

#include "core/registration.h"
#include "core/relay/observed_history.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Requests a daemon's view.
struct ViewRequest {
  Endpoint replyTo;            ///< Address on which the sender receives peer messages.
  Revision have = 0;           ///< The sender's revision; only a newer view is requested.
  bool viewRequested = false;  ///< False: the sender only announces itself.
};

/// One backend of a view.
struct ViewBackend {
  std::string key;
  Revision revision = 0;
  BackendId id = kNoBackend;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::string softwareVersion;
  std::uint32_t capacity = 1;
  bool draining = false;
  std::uint32_t remainingWarmUpMs = 0;
  std::uint64_t startedAtMs = 0;
  std::uint64_t updateSequence = 0;
};

/// One route of a view; `services` and `weights` are parallel arrays.
struct ViewRoute {
  std::string name;
  Endpoint endpoint;
  std::vector<std::string> services;
  std::vector<std::uint32_t> weights;
  RequestKind kind = RequestKind::kUnknown;
  std::uint32_t latencyGoalMs = 0;
  std::uint32_t timeoutMs = 0;
  std::uint32_t priority = 0;
  std::vector<std::string> allowedRegions = {};
};

/// Properties of all backends of a service.
struct ViewService {
  std::string name;
  std::uint32_t warmUpMs = 0;
  double warmUpRateLimit = 0;
};

/// A zone that operators have evacuated.
struct ViewEvacuation {
  std::string key;
  Revision revision = 0;
  std::string zone;
};

/// A daemon's full view, complete up to a revision, and the daemons that it knows.
struct ViewTransfer {
  Revision revision = 0;    ///< Zero: no newer view than the requester's.
  std::uint32_t ageMs = 0;  ///< Since the sender last knew it to be current.
  ConfigurationVersion version = 0;
  std::uint32_t idleTimeoutMs = 0;
  std::vector<ViewRoute> routes;
  std::vector<ViewBackend> backends;
  std::vector<Endpoint> peers;
  std::vector<ViewEvacuation> evacuations;
  std::vector<ViewService> services = {};
};

/// Requests a backfill page for a view in use.
struct ViewPageRequest {
  Endpoint replyTo;      ///< Address on which the sender receives peer messages.
  std::string afterKey;  ///< The page starts after this key; empty for the first page.
  Revision atLeast = 0;  ///< The page must be complete up to this revision.
};

/// Some backends of a full view, ordered by key.
struct ViewPage {
  Endpoint sender;
  std::string afterKey;   ///< Of the request.
  Revision revision = 0;  ///< Complete up to this revision; zero: no page available now.
  bool isLast = false;    ///< No further backend follows.
  std::vector<ViewBackend> backends;
  std::vector<Endpoint> fullViewPeers;  ///< Daemons to which the sender sent the last page.
};

/// An item that was removed from the store.
struct ViewRemoval {
  std::string key;
  Revision revision = 0;
};

/// The difference between the routes of two configuration versions.
struct ViewRouteDelta {
  std::string key;
  Revision revision = 0;
  ConfigurationVersion from = 0;
  ConfigurationVersion version = 0;
  std::uint32_t idleTimeoutMs = 0;
  std::vector<ViewRoute> changed;
  std::vector<Endpoint> dropped;
  std::vector<ViewService> services = {};
};

/// A daemon's observation of a backend that did not respond to a client.
struct OutlierObservation {
  BackendId backend = kNoBackend;
  std::uint64_t reporter = 0;  ///< Identifies the daemon.
};

/// Observations sent to the daemon that decides on outliers.
struct OutlierReport {
  std::vector<OutlierObservation> observations;
};

/// Subscribes to the changes of a daemon's view for the duration of a lease, and requests those
/// that the sender lacks.
struct ViewSubscription {
  Endpoint replyTo;            ///< Address on which the sender receives peer messages.
  Revision have = 0;           ///< The sender's view is complete up to this revision.
  std::uint64_t sentAtUs = 0;  ///< By the sender's clock; echoed in the response.
  /// Number of daemons in the sender's subtree of followers, including itself, if it follows the
  /// receiver; zero if it only makes a request, so that no daemon is counted twice.
  std::uint32_t daemons = 0;
};

/// Changes of a daemon's view and the age of the view. Times are by the sender's clock.
struct ViewUpdate {
  Endpoint sender;
  std::uint64_t echoUs = 0;   ///< `sentAtUs` of the subscription that this answers; zero if none.
  std::uint64_t clockUs = 0;  ///< Time of sending.
  /// When the view was last known to match the store. Zero if never, or if changes are omitted and
  /// the rest has to be requested.
  std::uint64_t confirmedUs = 0;
  std::uint64_t readerRank = 0;  ///< Of the daemon whose read confirmed the view.
  Revision from = 0;  ///< The update applies to views that are complete up to this revision.
  /// Complete up to this revision after the update; zero: the sender has no view.
  Revision revision = 0;
  /// Set if the changes span a gap in the history that the sender has followed. A view that is
  /// complete up to a revision within the gap cannot apply them.
  HistoryGap gap;
  bool leaving = false;  ///< The sender is shutting down; follow another daemon.
  bool full = false;     ///< The subscription was rejected; one of `peers` may have capacity.
  std::vector<ViewBackend> backends;
  std::vector<ViewRemoval> removals;
  std::vector<ViewRouteDelta> routes;
  std::vector<Endpoint> peers;      ///< Some followers of the sender.
  std::vector<BackendId> outliers;  ///< Backends that do not respond to clients.
  std::vector<ViewEvacuation> evacuations;
  /// Size of the tree of the reader that confirmed this view; zero: unknown.
  std::uint32_t daemons = 0;
};

}  // namespace cobaltgauge::core
