/// @file
/// M/M/2 queueing model of backends with two slots that each get a random part
/// of the openings (Erlang 1917; Kleinrock, Queueing Systems I, section 3.5).
/// Backends with more slots have shorter waits, so the model
/// overestimates the wait.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/load/load_statistics.h"
#include "core/placement/placement_limits.h"

namespace cobaltgauge::core {

/// Get the slot utilization r, 0 to kMaxSlotUtilization, from the requests in
/// flight per slot u, including queued ones: u = r / (1 - r^2), solved for r.
inline double GetSlotUtilization(double inFlight)
{
  if (inFlight <= 0) {
    return 0;
  }
  const double utilization =
    (std::sqrt(1 + 4 * inFlight * inFlight) - 1) / (2 * inFlight);
  return std::min(utilization, kMaxSlotUtilization);
}

/// Get the requests in flight per slot; the inverse of GetSlotUtilization.
inline double GetRequestsPerSlot(double utilization)
{
  return utilization / (1 - utilization * utilization);
}

/// Get the mean wait in units of the mean service time: r^2 / (1 - r^2).
inline double GetRelativeWait(double utilization)
{
  const double square = std::min(utilization, kMaxSlotUtilization) *
    std::min(utilization, kMaxSlotUtilization);
  return square / (1 - square);
}

/// Get the slot utilization that causes a mean wait; the inverse of
/// GetRelativeWait.
inline double GetUtilizationForWait(double wait)
{
  return std::sqrt(wait / (1 + wait));
}

/// Get the slot utilization that the openings of a zone would cause if none
/// were rejected; may be greater than one.
inline double GetDemand(const ZoneCapacity& capacity)
{
  const double served =
    1 - std::clamp(capacity.RejectedShare, 0.0, kMaxSlotUtilization);
  return GetSlotUtilization(capacity.Utilization) / served;
}

/// Get the utilization up to which the local zone is preferred to a zone with
/// another utilization.
inline double GetMaxLocalUtilization(double otherUtilization)
{
  const double wait = GetRelativeWait(otherUtilization) + kMaxExtraLocalWait;
  return std::max(GetUtilizationForWait(wait), otherUtilization);
}

} // namespace cobaltgauge::core
