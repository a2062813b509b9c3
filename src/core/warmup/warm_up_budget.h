/// @file
/// How many openings this daemon may give back ends that are still cold, so
/// that the whole fleet together gives each of them no more than it bears.
/// See docs/design/010-shifted-work.md.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class WarmUpBudget
 * \brief A share of what a cold back end bears, without a word to others.
 *
 * What a back end bears is divided by the number of daemons.  A part of an
 * opening is given to daemons drawn by a hash of daemon and back end: on the
 * mean the fleet uses the share that it is meant to use, whoever comes, goes
 * or is cut off, and without anyone knowing the others.
 */
class WarmUpBudget
{
public:
  explicit WarmUpBudget(std::uint64_t daemon)
    : Daemon(daemon)
  {
  }

  /// Set how many daemons there are; too high a number is the safe side.
  void SetFleet(std::uint32_t daemons) { this->Fleet = daemons; }

  /// Tell whether a cold back end may get an opening now.
  /// \param perSecond openings a second that it bears from the whole fleet.
  bool MayOpen(BackendId backend, double perSecond, Time now) const;

  void OnOpening(BackendId backend, Time now);

  /// Forget openings that no longer count.
  void Expire(Time now);

private:
  /// Get this daemon's openings in one span of kWarmUpWindow.
  std::uint32_t GetLimit(BackendId backend, double perSecond) const;

  std::uint64_t Daemon;
  std::uint32_t Fleet = kMaxFleetSize;
  std::unordered_map<BackendId, std::deque<Time>> Openings;
};

} // namespace cobaltgauge::core
