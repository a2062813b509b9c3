/// @file
/// Limits and time constants of zone spillover and local capacity estimation.
/// See docs/design/008-scarce-room.md.
#pragma once

#include "core/types.h"

namespace cobaltgauge::core {

using namespace std::chrono_literals;

/// Extra queueing delay accepted in the preferred zone before openings spill
/// over, in units of the mean service time.  Covers the cross-zone latency.
/// The three round trips that another zone adds take a few milliseconds;
/// service times are tens.
inline constexpr double kMaxExtraLocalWait = 0.25;
/// Upper bound of slot utilization in the queueing model; keeps the modeled
/// wait finite.
inline constexpr double kMaxSlotUtilization = 0.95;
/// Minimum share of its openings that an overloaded zone keeps, so that
/// capacity that becomes free is detected.  One opening in twenty loads an
/// otherwise idle zone to a twentieth.
inline constexpr double kMinLocalShare = 0.05;
/// Maximum change of a local share per second.  From all to half takes 300 ms,
/// the age of good statistics.
inline constexpr double kMaxShareChangePerSecond = 1.7;
/// Target share of a zone with ample capacity.  It is greater than one so that
/// the share reaches one in finite time.
inline constexpr double kMaxTargetShare = 2;
/// Lower bound of the age of statistics.  Covers the delay of measurement and
/// reporting.
inline constexpr Duration kMinStatisticsAge = 300ms;
/// How long past shares are kept.  Older statistics are treated as this old.
inline constexpr Duration kShareHistoryRetention = 2000ms;
/// Minimum interval between two updates of the shares.
inline constexpr Duration kShareUpdateInterval = 50ms;
/// Interval at which zones and their slots are counted while the number of
/// candidates is unchanged.
inline constexpr Duration kZoneCountInterval = 1s;
/// The shares of a service without openings for this long are reset.
inline constexpr Duration kSpilloverStateTimeout = 10s;
/// Spillover is logged as started below the first share, and as ended at or
/// above the second.
inline constexpr double kSpilloverStartShare = 0.9;
inline constexpr double kSpilloverEndShare = 0.99;
/// Maximum number of changes that wait to be logged.
inline constexpr std::size_t kMaxPendingSpilloverChanges = 64;

// Local capacity estimation, used where fleet statistics are missing.

/// Time constant of the exponential decay of samples.  Three daemons' openings
/// of a second suffice for an estimate, and a burst shows within it.
inline constexpr Duration kSampleDecayTime = 400ms;
/// Minimum number of samples, after decay, for an estimate.
inline constexpr double kMinSampleWeight = 6;
/// Time constant of the baseline of response times.
inline constexpr Duration kBaselineDecayTime = 10s;
/// The same while responses are slow; longer than a burst of load.
inline constexpr Duration kBaselineDecayTimeUnderLoad = 60s;
/// Reciprocal of the minimum weight of a sample in the baseline.  Their mean
/// varies by a twentieth.
inline constexpr double kBaselineMaxSamples = 100;
/// Ratio to the baseline from which responses count as slow.  The mean of
/// kMinSampleWeight responses that vary by a half varies by a fifth.
inline constexpr double kSlowResponseRatio = 1.5;
/// Share of rejected openings from which a zone counts as overloaded, whatever
/// its response times.  Two rejections among the fewest results are more than
/// chance.
inline constexpr double kZoneOverloadRejectedShare = 0.25;
/// Assumed utilization of a zone without recent samples.
inline constexpr double kUnsampledUtilization = 0.5;

} // namespace cobaltgauge::core
