/// @file
/// Estimates the number of daemons in the fleet.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class FleetSizeEstimator
 * \brief Track the maximum of recently reported daemon counts.
 *
 * Counts are summed up the relay tree to a seed that reads the store, and
 * reported down the tree with each update.  A tree that lost a branch or is
 * partitioned counts too few, so the maximum of the last two periods is used.
 * Counts of a growing tree are too low as well, so kMaxFleetSize is assumed
 * until counts have been received for kFleetCountSettleTime.  The estimate may
 * be too high; use it only to divide a limit among daemons.
 */
class FleetSizeEstimator
{
public:
  void OnCount(std::uint32_t daemons, Time now)
  {
    this->StartPeriodIfDue(now);
    this->FirstReceivedAt =
      this->FirstReceivedAt == Time{} ? now : this->FirstReceivedAt;
    this->LatestCount = daemons;
    this->PeriodMax = std::max(this->PeriodMax, daemons);
  }

  /// Get the latest count; zero if there is none.
  std::uint32_t GetLatestCount() const { return this->LatestCount; }

  /// Get the estimated number of daemons; may be too high.
  std::uint32_t GetEstimate(Time now) const
  {
    const bool isSettled = this->FirstReceivedAt != Time{} &&
      now - this->FirstReceivedAt >= kFleetCountSettleTime;
    const bool isExpired = now >= this->PeriodEndsAt + kFleetCountTtl;
    return isSettled && !isExpired
      ? std::max(this->PeriodMax, this->PreviousPeriodMax)
      : kMaxFleetSize;
  }

private:
  void StartPeriodIfDue(Time now)
  {
    if (now < this->PeriodEndsAt) {
      return;
    }
    if (now >= this->PeriodEndsAt + kFleetCountTtl) {
      // No count was received for a whole period: start over.
      this->FirstReceivedAt = now;
      this->PeriodMax = 0;
    }
    this->PeriodEndsAt = now + kFleetCountTtl;
    this->PreviousPeriodMax = this->PeriodMax;
    this->PeriodMax = 0;
  }

  std::uint32_t LatestCount = 0;
  std::uint32_t PeriodMax = 0;
  std::uint32_t PreviousPeriodMax = 0;
  Time FirstReceivedAt{};
  Time PeriodEndsAt{};
};

} // namespace cobaltgauge::core
