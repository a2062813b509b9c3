/// @file
/// The configured seed daemons, and the state of the store as their updates
/// report it.
#pragma once

#include <cstddef>
#include <vector>

#include "core/relay/relay_timing.h"
#include "core/types.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/** \class SeedGroup
 * \brief Select the next seed to query, and track whether seeds can read the
 * store.
 *
 * Seeds read the store and propagate its changes.  A seed that responds with a
 * view older than its own limit has failed to read the store.
 */
class SeedGroup
{
public:
  explicit SeedGroup(const Endpoint& self)
    : Self(self)
  {
  }

  void SetSeeds(const std::vector<Endpoint>& seeds);

  /// Handle an update; ignored unless the sender is a seed.
  void OnUpdate(const ViewUpdate& update, const RelayTiming& timing, Time now);

  /// Call at each tick.  Seeds count as reachable from the first tick until
  /// they time out.
  void OnTick(Time now);

  /// Get the next seed in round-robin order.  Requires HasOthers().
  const Endpoint& GetNext()
  {
    return this->Others[this->Next++ % this->Others.size()];
  }

  bool IsSelfSeed() const { return this->SelfIsSeed; }
  bool HasOthers() const { return !this->Others.empty(); }
  /// Tell whether `daemon` is a seed other than this one.
  bool Contains(const Endpoint& daemon) const;
  const std::vector<Endpoint>& GetOthers() const { return this->Others; }

  /// Tell whether this daemon is not a seed and has heard from one recently.
  bool HasReachableSeed(Time now) const;
  /// Tell whether a recent response of a seed showed that it fails to read the
  /// store.
  bool IsStoreFailing(Time now) const;

private:
  Endpoint Self;
  std::vector<Endpoint> Others; ///< In query order.
  bool SelfIsSeed = false;
  std::size_t Next = 0;
  Time LastHeardAt{};
  Time StoreFailureAt{}; ///< Zero: the last response showed a fresh view.
};

} // namespace cobaltgauge::core
