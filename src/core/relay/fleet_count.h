/// @file
/// How many daemons there are, as far as this one has heard.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class FleetCount
 * \brief Remember the highest count that was heard lately.
 *
 * Counts are summed upwards along the tree of followers to a seed that reads
 * the store, and told downwards with each update.  A tree that has just lost a
 * branch, or is one of two halves, counts too few; so the highest one of the
 * last periods holds.  A tree that is still growing does as well; so counts
 * are believed once they have been heard for kFleetCountSettleTime, and until
 * then kMaxFleetSize holds.  Good for dividing a bound that may be divided too
 * finely; nothing may rely on there being that many.
 */
class FleetCount
{
public:
  void OnHeard(std::uint32_t daemons, Time now)
  {
    this->Turn(now);
    this->FirstHeard = this->FirstHeard == Time{} ? now : this->FirstHeard;
    this->Latest = daemons;
    this->Highest = std::max(this->Highest, daemons);
  }

  /// Get the count heard last; zero for none.
  std::uint32_t GetLatest() const { return this->Latest; }

  /// Get a count that errs high.
  std::uint32_t Get(Time now) const
  {
    const bool isSettled = this->FirstHeard != Time{} &&
      now - this->FirstHeard >= kFleetCountSettleTime;
    const bool isForgotten = now >= this->PeriodEnds + kFleetCountTtl;
    return isSettled && !isForgotten
      ? std::max(this->Highest, this->HighestBefore)
      : kMaxFleetSize;
  }

private:
  /// Begin a new period, where one has ended.
  void Turn(Time now)
  {
    if (now < this->PeriodEnds) {
      return;
    }
    if (now >= this->PeriodEnds + kFleetCountTtl) {
      // Nothing was heard for a whole period: as at a start.
      this->FirstHeard = now;
      this->Highest = 0;
    }
    this->PeriodEnds = now + kFleetCountTtl;
    this->HighestBefore = this->Highest;
    this->Highest = 0;
  }

  std::uint32_t Latest = 0;
  std::uint32_t Highest = 0;
  std::uint32_t HighestBefore = 0;
  Time FirstHeard{};
  Time PeriodEnds{};
};

} // namespace cobaltgauge::core
