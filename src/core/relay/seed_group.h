/// @file
/// The daemons that everyone is told of, and what their answers say of the
/// store.
#pragma once

#include <cstddef>
#include <vector>

#include "core/relay/relay_timing.h"
#include "core/types.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/** \class SeedGroup
 * \brief Name the seed to ask next, and tell whether seeds try the store.
 *
 * A daemon that hears a seed is covered: seeds read the store and pass on what
 * they learn.  A seed that answers with a view older than its own limit has
 * read in vain.
 */
class SeedGroup
{
public:
  explicit SeedGroup(const Endpoint& self)
    : Self(self)
  {
  }

  void SetSeeds(const std::vector<Endpoint>& seeds);

  /// Note what a daemon answered; only seeds count.
  void OnUpdate(const ViewUpdate& update, const RelayTiming& timing, Time now);

  /// Call at each tick: seeds are taken to be there at first, until they have
  /// been silent for long enough.
  void OnTick(Time now);

  /// Get the seed to ask next, each in turn; only where there is one.
  const Endpoint& GetNext()
  {
    return this->Others[this->Next++ % this->Others.size()];
  }

  bool IsSelfSeed() const { return this->SelfIsSeed; }
  bool HasOthers() const { return !this->Others.empty(); }
  /// Tell whether this is a seed other than this daemon.
  bool Contains(const Endpoint& daemon) const;
  const std::vector<Endpoint>& GetOthers() const { return this->Others; }

  /// Tell whether this daemon is none and hears one.
  bool HasReachableSeed(Time now) const;
  /// Tell whether one answered just now that it reads in vain.
  bool IsStoreFailing(Time now) const;

private:
  Endpoint Self;
  std::vector<Endpoint> Others; ///< In the order in which they are asked.
  bool SelfIsSeed = false;
  std::size_t Next = 0;
  Time LastHeardAt{};
  Time StoreFailureAt{}; ///< Zero: the last answer showed a fresh view.
};

} // namespace cobaltgauge::core
