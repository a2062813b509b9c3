/// @file
/// Limits this daemon's connection attempts to backends that are warming up,
/// so that the whole fleet stays within their warm-up rate limits.  See
/// docs/design/010-shifted-work.md.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class WarmUpBudget
 * \brief This daemon's share of the rate limits of warming-up backends.
 *
 * The rate limit of a backend is divided by the number of daemons.  Fractions
 * of an attempt are rounded up at some daemons, selected by a hash of daemon
 * and backend, so that the fleet uses the intended share of the limit on
 * average without coordination between daemons.
 */
class WarmUpBudget
{
public:
  explicit WarmUpBudget(std::uint64_t daemonId)
    : DaemonId(daemonId)
  {
  }

  /// Sets the number of daemons; overestimating it lowers the limits.
  void SetDaemonCount(std::uint32_t daemons) { this->DaemonCount = daemons; }

  /// Returns whether a warming-up backend may get a connection attempt now.
  /// \param perSecond its rate limit for the whole fleet, in attempts per
  /// second.
  bool AllowsOpening(BackendId backend, double perSecond, Time now) const;

  void OnOpening(BackendId backend, Time now);

  /// Removes attempts older than kWarmUpWindow.
  void Expire(Time now);

private:
  /// Returns this daemon's limit per kWarmUpWindow.
  std::uint32_t GetLimit(BackendId backend, double perSecond) const;

  std::uint64_t DaemonId;
  std::uint32_t DaemonCount = kMaxFleetSize;
  std::unordered_map<BackendId, std::deque<Time>> Openings;
};

} // namespace cobaltgauge::core
