/// @file
/// Constants of admission control by priority.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace cobaltgauge::core {

// Measurement window.

/// Length of a counting interval; the limit is updated once per interval.
/// Half of the time that a full backend takes to reject a request.
inline constexpr Duration kAdmissionInterval = std::chrono::milliseconds(100);
/// Number of intervals that are kept.
inline constexpr std::size_t kAdmissionWindowIntervals = 20;
/// Minimum number of intervals in the statistics for an update.  Results
/// arrive about two intervals after their connection attempts.
inline constexpr std::size_t kMinIntervals = 4;
/// Minimum number of intervals in the most recent statistics.
inline constexpr std::size_t kRecentIntervals = 2;
/// The most recent statistics extend beyond kRecentIntervals until they
/// contain this many results.
inline constexpr std::uint32_t kMinRecentResults = 30;
/// The statistics for an update extend beyond kMinIntervals until they contain
/// this many results.
inline constexpr std::uint32_t kTargetResults = 40;
/// With fewer results, no connection attempt is refused.
inline constexpr std::uint32_t kMinResults = 20;
/// With fewer served results, no connection attempt is refused: overloaded
/// backends serve some of them, unreachable ones serve none.
inline constexpr std::uint32_t kMinServed = 3;
/// Minimum served share of the results for a limit to begin.  More than ten
/// clients for each served one come only after a total loss.
inline constexpr double kMinServedShare = 0.1;
/// No limit begins while the recent rejected share is below this fraction of
/// the rejected share of the whole window, since backends are recovering.
inline constexpr double kFallingRejectionRatio = 0.85;
/// Upper bound of the estimated admitted attempts per result, which corrects
/// for lost results.
inline constexpr double kMaxAdmittedPerResult = 2.0;

// Limit.

/// Rejected share of attempts above which a limit begins.  Corresponds to K =
/// 1.1 in "Site Reliability Engineering", chapter "Handling Overload".  That
/// value is for a rejection as costly as a response; here it costs one of
/// three attempts.
inline constexpr double kOverloadRejectedShare = 0.1;
/// Attempts admitted beyond the served ones, as a share of the offered ones.
/// The headroom detects added capacity at the cost of some rejections.
inline constexpr double kHeadroomShareOfOffered = 0.1;
/// Upper bound of the headroom, as a share of the served attempts.  An attempt
/// then fails once in five times and three in a row once in a hundred; with
/// less, slots stay idle because placement is random.
inline constexpr double kMaxHeadroomShareOfServed = 0.25;
/// The limit grows while the rejected share is below this fraction of the
/// share that the headroom is expected to cause.
inline constexpr double kLowRejectionRatio = 0.3;
/// First increment of the growth factor; doubles with every further one.
inline constexpr double kInitialLimitGrowth = 0.05;
/// Maximum number of times that the increment doubles.
inline constexpr std::uint32_t kMaxGrowthDoublings = 5;
/// Minimum number of results between two increments.
inline constexpr std::uint64_t kMinResultsPerGrowth = 8;

// Token bucket.

/// Capacity of the bucket, as a duration at its rate.
inline constexpr Duration kMaxBurstSpan = std::chrono::milliseconds(200);
/// Minimum capacity, in attempts.  Keeps a reserve for high priorities at
/// low rates.
inline constexpr double kMinBucketCapacity = 8;

// Fleet load statistics.

/// Requests in flight per slot at and above which a zone has no idle slot.
inline constexpr double kNoIdleSlotUtilization = 1.0;
/// Utilization below which a limit ends.  Lower than kNoIdleSlotUtilization,
/// since the limit itself reduces the utilization.  The statistics are up to 2
/// s old as well.
inline constexpr double kSpareCapacityUtilization = 0.7;
/// Rejected share, in every zone and at this daemon, at and above which a
/// limit begins if fleet statistics are known.  Lower than
/// kOverloadRejectedShare, since the fleet has more samples.
inline constexpr double kFleetOverloadRejectedShare =
  kOverloadRejectedShare / 2;

// Distribution of rejections over backends.

/// Backends are overloaded if rejections by backends that also serve reach
/// this fraction of the number expected of uniformly distributed rejections.
inline constexpr double kOverloadRatio = 0.5;
/// Backends are faulty if the same fraction is below this value.
inline constexpr double kFaultRatio = 0.25;
/// Minimum expected number for each of the two conclusions.  If four are
/// expected, chance gives none once in 50 times.
inline constexpr double kMinExpectedForOverload = 4;
inline constexpr double kMinExpectedForFaults = 12;
/// Intervals in which a backend works off a full queue.
inline constexpr std::int64_t kQueueDrainIntervals = 2;

// Reporting.

/// Minimum change of the admitted share that is reported.
inline constexpr double kMinReportedShareChange = 0.25;
/// Minimum time between two reports on one service.
inline constexpr Duration kAdmissionReportInterval = std::chrono::seconds(1);
/// A service without connection attempts for this long is removed.
inline constexpr Duration kAdmissionIdleTimeout = std::chrono::seconds(60);

} // namespace cobaltgauge::core
