/// @file
/// Messages by which daemons give each other their view of the store. The wire form lives in
/// net/peer_codec.h.
#pragma once

#include <string>
#include <vector>

#include "core/registration.h"
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
};

/// One route of a view; services and weights run in parallel.
struct ViewRoute {
  std::string name;
  Endpoint endpoint;
  std::vector<std::string> services;
  std::vector<std::uint32_t> weights;
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
};

}  // namespace cobaltgauge::core
