/// @file
/// How long requests wait where a share of the slots is in utilization: the
/// queue M/M/2 (Erlang 1917; Kleinrock, Queueing Systems I, section 3.5), for
/// back ends with two slots that each get a random part of the openings.  More
/// slots wait less, which errs towards other zones.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/load/load_statistics.h"
#include "core/placement/placement_limits.h"

namespace cobaltgauge::core {

/// Get the share of slots in utilization from requests in flight for each
/// slot, those that wait included: u = r / (1 - r^2), solved for r.
inline double GetSlotUtilization(double inFlight)
{
  if (inFlight <= 0) {
    return 0;
  }
  const double utilization =
    (std::sqrt(1 + 4 * inFlight * inFlight) - 1) / (2 * inFlight);
  return std::min(utilization, kMaxSlotUtilization);
}

/// Get requests in flight for each slot by the share of slots in utilization.
inline double GetRequestsPerSlot(double utilization)
{
  return utilization / (1 - utilization * utilization);
}

/// Get the wait in units of the work: r^2 / (1 - r^2).
inline double GetRelativeWait(double utilization)
{
  const double square = std::min(utilization, kMaxSlotUtilization) *
    std::min(utilization, kMaxSlotUtilization);
  return square / (1 - square);
}

/// Get the share of slots in utilization at which requests wait for so long.
inline double GetUtilizationForWait(double wait)
{
  return std::sqrt(wait / (1 + wait));
}

/// Get the utilization that openings ask for, those included that were
/// rejected.
inline double GetDemand(const ZoneCapacity& capacity)
{
  const double served =
    1 - std::clamp(capacity.RejectedShare, 0.0, kMaxSlotUtilization);
  return GetSlotUtilization(capacity.Utilization) / served;
}

/// Get the utilization up to which a zone is preferred to one with this
/// utilization.
inline double GetMaxLocalUtilization(double otherUtilization)
{
  const double wait = GetRelativeWait(otherUtilization) + kMaxExtraLocalWait;
  return std::max(GetUtilizationForWait(wait), otherUtilization);
}

} // namespace cobaltgauge::core
