/// @file
/// Addresses and states of all backends that may have flows, including backends that were removed
/// from the configuration.
#pragma once

#include <unordered_map>
#include <vector>

#include "core/configuration.h"
#include "core/types.h"

namespace cobaltgauge::core {

class BackendDirectory {
 public:
  /// Applies the backends of a new configuration.
  /// @return backends whose endpoint now belongs to another service or incarnation. The caller must
  /// remove their flows, or packets would reach the wrong service.
  std::vector<BackendId> apply(const Configuration& configuration, Time now);

  /// Adds a backend reported by a peer that has a flow to it.
  /// @return false if the endpoint belongs to another backend; nothing is added then.
  bool learn(const BackendAddress& backend, Time now);

  /// @return the address of the backend, or null if it is unknown or its endpoint was reassigned.
  const BackendAddress* find(BackendId id) const;

  /// @return true if the configuration lists the backend as draining or does not list it.
  bool isDrainingOrUnlisted(BackendId id) const;

  /// Removes backends that left the configuration more than `keep` ago.
  /// @return the removed backends.
  std::vector<BackendId> removeExpired(Time now, Duration keep);

 private:
  struct Entry {
    BackendAddress address;
    bool configured = false;
    bool draining = true;
    Time removedAt{};
  };

  std::unordered_map<BackendId, Entry> entries_;
  std::unordered_map<std::uint64_t, BackendId> owners_;  ///< Configured owner by endpoint hash.
};

}  // namespace cobaltgauge::core
