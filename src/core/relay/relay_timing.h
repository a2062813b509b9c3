/// @file
/// How long each step may take until a view that may be old is the store's
/// again, for the time in which changes have to be in force.
#pragma once

#include <algorithm>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Time limits that follow from one bound.  The ratios are those of the
/// constants, which fit a bound of kChangePropagationDeadline; a longer one
/// does not stretch them, since a fresh view is better and costs little.
struct RelayTiming
{
  Duration WatchWait = kWatchMaxWait;
  Duration CurrentFor = kViewFreshnessPeriod;
  Duration AskPeersAfter = kPeerQueryViewAge;
  Duration SeedReadsAfter = kSeedReadViewAge;
  Duration FollowerReadsAfter = kFollowerReadViewAge;
  Duration RareTryAfter = kReadBackoffWithSeed;
  /// Of what a looser bound leaves, a half goes to waiting for a peer's
  /// changes where the store's history is gone, before everyone lists it all.
  Duration ListAgainWithin{ 0 };

  /// Get the limits for changes that have to be in force within `bound`.
  static RelayTiming Within(Duration bound)
  {
    const Duration shorter = std::min(bound, kChangePropagationDeadline);
    const auto scaled = [shorter](Duration duration) {
      return duration * shorter.count() / kChangePropagationDeadline.count();
    };
    return { scaled(kWatchMaxWait),        scaled(kViewFreshnessPeriod),
             scaled(kPeerQueryViewAge),    scaled(kSeedReadViewAge),
             scaled(kFollowerReadViewAge), scaled(kReadBackoffWithSeed),
             (bound - shorter) / 2 };
  }
};

} // namespace cobaltgauge::core
