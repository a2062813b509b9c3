/// @file
/// Time limits for detecting and refreshing a stale view, derived from the
/// time within which changes have to be in effect.
#pragma once

#include <algorithm>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Time limits derived from one bound.  The constants fit a bound of
/// kChangePropagationDeadline.  A shorter bound scales them down; a longer
/// bound does not extend them.
struct RelayTiming
{
  Duration WatchWait = kWatchMaxWait;
  Duration CurrentFor = kViewFreshnessPeriod;
  Duration PeerQueryViewAge = kPeerQueryViewAge;
  Duration SeedReadViewAge = kSeedReadViewAge;
  Duration FollowerReadViewAge = kFollowerReadViewAge;
  /// Maximum delay before retrying a read that other daemons make as well.
  Duration RetryIntervalWithSeed = kReadBackoffWithSeed;
  /// How long a view waits for a peer's changes before listing again after the
  /// store discarded its history.  Half of what the bound leaves beyond
  /// kChangePropagationDeadline.
  Duration MaxRelistDelay{ 0 };

  /// Get the limits for changes that have to be in effect within `bound`.
  static RelayTiming ForBound(Duration bound)
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
