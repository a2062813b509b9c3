/// @file
/// How long requests wait where a share of the slots is in use: the queue
/// M/M/2 (Erlang 1917; Kleinrock, Queueing Systems I, section 3.5), for back
/// ends with two slots that each get a random part of the openings.  More
/// slots wait less, which errs towards other zones.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/load/load_figures.h"
#include "core/placement/placement_limits.h"

namespace cobaltgauge::core {

/// Get the share of slots in use from requests in flight for each slot, those
/// that wait included: u = r / (1 - r^2), solved for r.
inline double GetUse(double inFlight)
{
  if (inFlight <= 0) {
    return 0;
  }
  const double use =
    (std::sqrt(1 + 4 * inFlight * inFlight) - 1) / (2 * inFlight);
  return std::min(use, kMostUse);
}

/// Get requests in flight for each slot by the share of slots in use.
inline double GetInFlight(double use)
{
  return use / (1 - use * use);
}

/// Get the wait in units of the work: r^2 / (1 - r^2).
inline double GetWait(double use)
{
  const double square = std::min(use, kMostUse) * std::min(use, kMostUse);
  return square / (1 - square);
}

/// Get the share of slots in use at which requests wait for so long.
inline double GetUseOfWait(double wait)
{
  return std::sqrt(wait / (1 + wait));
}

/// Get the use that openings ask for, those included that were rejected.
inline double GetDemand(const ZoneRoom& room)
{
  const double served = 1 - std::clamp(room.RejectedShare, 0.0, kMostUse);
  return GetUse(room.Utilization) / served;
}

/// Get the use up to which a zone is preferred to one with this use.
inline double GetBearableUse(double elsewhere)
{
  const double wait = GetWait(elsewhere) + kWaitWorthCrossing;
  return std::max(GetUseOfWait(wait), elsewhere);
}

} // namespace cobaltgauge::core
