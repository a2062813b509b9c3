/// @file
/// Where every back end is that some flow may still belong to, including back ends that have left
/// the configuration, and which of them may take new flows.
#pragma once

#include <unordered_map>
#include <vector>

#include "core/configuration.h"
#include "core/types.h"

namespace cobaltgauge::core {

class BackendDirectory {
 public:
  /// Takes the back ends of a new configuration.
  /// @return back ends whose endpoint now belongs to another service or incarnation. Their flows
  /// must be forgotten, or a packet would reach a service that is not its own.
  std::vector<BackendId> apply(const Configuration& configuration, Time now);

  /// Learns of a back end from a peer that knows a flow on it.
  /// @return false where the endpoint belongs to someone else now; the back end is not learned.
  bool learn(const BackendAddress& backend, Time now);

  /// @return the back end's address, or null when it is unknown or its endpoint was given away.
  const BackendAddress* find(BackendId id) const;

  /// @return true where the configuration lists the back end as leaving, or no longer lists it.
  bool isLeaving(BackendId id) const;

  /// Forgets back ends that left the configuration longer ago than `keep`.
  /// @return the forgotten back ends.
  std::vector<BackendId> removeExpired(Time now, Duration keep);

 private:
  struct Entry {
    BackendAddress address;
    bool configured = false;
    bool leaving = true;
    Time removedAt{};
  };

  std::unordered_map<BackendId, Entry> entries_;
  std::unordered_map<std::uint64_t, BackendId> owners_;  ///< Endpoint hash to configured owner.
};

}  // namespace cobaltgauge::core
