/// @file
/// How many daemons there are, as far as this one has heard.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class FleetSizeEstimator
 * \brief Remember the highest count that was heard lately.
 *
 * Counts are summed upwards along the tree of followers to a seed that reads
 * the store, and told downwards with each update.  A tree that has just lost a
 * branch, or is one of two halves, counts too few; so the highest one of the
 * last periods holds.  A tree that is still growing does as well; so counts
 * are believed once they have been heard for kFleetCountSettles, and until
 * then kLargestFleet holds.  Good for dividing a bound that may be divided too
 * finely; nothing may rely on there being that many.
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

  /// GetEstimate the count heard last; zero for none.
  std::uint32_t GetLatestCount() const { return this->LatestCount; }

  /// GetEstimate a count that errs high.
  std::uint32_t GetEstimate(Time now) const
  {
    const bool isSettled = this->FirstReceivedAt != Time{} &&
      now - this->FirstReceivedAt >= kFleetCountSettles;
    const bool isExpired = now >= this->PeriodEndsAt + kFleetCountMemory;
    return isSettled && !isExpired
      ? std::max(this->PeriodMax, this->PreviousPeriodMax)
      : kLargestFleet;
  }

private:
  /// Begin a new period, where one has ended.
  void StartPeriodIfDue(Time now)
  {
    if (now < this->PeriodEndsAt) {
      return;
    }
    if (now >= this->PeriodEndsAt + kFleetCountMemory) {
      // Nothing was heard for a whole period: as at a start.
      this->FirstReceivedAt = now;
      this->PeriodMax = 0;
    }
    this->PeriodEndsAt = now + kFleetCountMemory;
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
