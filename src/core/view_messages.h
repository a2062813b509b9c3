/// @file
/// Messages by which daemons give each other their view of the store. The wire form lives in
/// net/peer_codec.h.
#pragma once

#include <string>
#include <vector>

#include "core/registration.h"
#include "core/relay/observed_history.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Asks a daemon for its view.
struct ViewRequest {
  Endpoint replyTo;     ///< Where the sender takes peer messages.
  Revision have = 0;    ///< The sender's own revision; only a newer view is wanted.
  bool wanted = false;  ///< False: the sender only makes itself known.
};

/// One back end of a view.
struct ViewBackend {
  std::string key;
  Revision revision = 0;
  BackendId id = kNoBackend;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::string softwareVersion;
  std::uint32_t capacity = 1;
  bool leaving = false;
  std::uint32_t warmUpLeftMs = 0;
  std::uint64_t startedAtMs = 0;
  std::uint64_t statement = 0;
};

/// One route of a view; services and weights run in parallel.
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

/// What is known of all back ends of a service.
struct ViewService {
  std::string name;
  std::uint32_t warmUpMs = 0;
  double coldOpenings = 0;
};

/// A zone that operators have taken out.
struct ViewEvacuation {
  std::string key;
  Revision revision = 0;
  std::string zone;
};

/// A daemon's whole view, complete up to a revision, and the daemons that it knows.
struct ViewTransfer {
  Revision revision = 0;    ///< Zero: no newer view than the requester has.
  std::uint32_t ageMs = 0;  ///< Since the sender knew it to be current.
  ConfigurationVersion version = 0;
  std::uint32_t idleTimeoutMs = 0;
  std::vector<ViewRoute> routes;
  std::vector<ViewBackend> backends;
  std::vector<Endpoint> peers;
  std::vector<ViewEvacuation> evacuations;
  std::vector<ViewService> services = {};
};

/// Asks for a page of the back ends that a view in use lacks.
struct ViewPageRequest {
  Endpoint replyTo;      ///< Where the sender takes peer messages.
  std::string afterKey;  ///< The page begins after this key; empty for the first.
  Revision atLeast = 0;  ///< The page has to be complete up to here.
};

/// Some back ends of a whole view, in the order of their keys.
struct ViewPage {
  Endpoint sender;
  std::string afterKey;   ///< Of the request.
  Revision revision = 0;  ///< Complete up to here; zero: the sender has none to give now.
  bool isLast = false;    ///< No back end follows.
  std::vector<ViewBackend> backends;
  std::vector<Endpoint> whole;  ///< Daemons that got the last page from the sender.
};

/// An item that is no longer in the store.
struct ViewRemoval {
  std::string key;
  Revision revision = 0;
};

/// What a configuration version changed in the routes of an earlier one.
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

/// A daemon has seen a back end leave a caller without an answer.
struct OutlierObservation {
  BackendId backend = kNoBackend;
  std::uint64_t reporter = 0;  ///< Tells daemons apart.
};

/// Observations on their way to the daemon that decides.
struct OutlierReport {
  std::vector<OutlierObservation> observations;
};

/// Asks for every change of a daemon's view from now on, for the time of a lease, and for those
/// that the sender lacks.
struct ViewSubscription {
  Endpoint replyTo;            ///< Where the sender takes peer messages.
  Revision have = 0;           ///< The sender's view is complete up to here.
  std::uint64_t sentAtUs = 0;  ///< By the sender's clock; returned in the answer.
  /// The sender and all that follow it, directly or not, where it follows the receiver; zero where
  /// it only asks, so that nobody is counted twice.
  std::uint32_t daemons = 0;
};

/// What changed in a daemon's view, and how old the view can be. Times are the sender's.
struct ViewUpdate {
  Endpoint sender;
  std::uint64_t echoUs = 0;   ///< Of the subscription that this answers; zero: of none.
  std::uint64_t clockUs = 0;  ///< When this was sent.
  /// When the view was known to be the store's. Zero: it never was, or some changes are left out
  /// and the rest is to be asked for.
  std::uint64_t confirmedUs = 0;
  std::uint64_t readerRank = 0;  ///< Of the daemon whose reading showed that.
  Revision from = 0;             ///< A view complete up to here is brought up to `revision`.
  Revision revision = 0;         ///< Zero: the sender has no view.
  /// Where the changes lead across a gap in the history that the sender has followed. A view that
  /// is complete up to a place in it cannot take them.
  HistoryGap gap;
  bool leaving = false;  ///< The sender stops; look for another daemon.
  bool full = false;     ///< Not subscribed; one of `peers` may have room.
  std::vector<ViewBackend> backends;
  std::vector<ViewRemoval> removals;
  std::vector<ViewRouteDelta> routes;
  std::vector<Endpoint> peers;      ///< Some that follow the sender.
  std::vector<BackendId> outliers;  ///< Back ends that leave callers without answers.
  std::vector<ViewEvacuation> evacuations;
  std::uint32_t daemons = 0;  ///< In the tree of the reader that confirmed this; zero: not known.
};

}  // namespace cobaltgauge::core
