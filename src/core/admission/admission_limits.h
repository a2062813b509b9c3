/// @file
/// Figures of admission by rank.  See docs/design/008-scarce-room.md.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace cobaltgauge::core {

/// Counts are kept in steps of this length; decisions follow at each.  Half
/// of what a full back end takes to turn a request away.
inline constexpr Duration kAdmissionInterval = std::chrono::milliseconds(100);
/// Steps that are looked at most: what a few samples tell needs this long.
inline constexpr std::size_t kAdmissionWindowIntervals = 20;
/// Steps that are looked at least: results come two steps after openings.
inline constexpr std::size_t kMinIntervals = 4;
/// The same for what is the case now, and the results that it wants.
inline constexpr std::size_t kRecentIntervals = 2;
inline constexpr std::uint32_t kMinRecentResults = 30;
/// Results that a decision wants; it looks back no further than for them.
inline constexpr std::uint32_t kTargetResults = 40;
/// With fewer results nobody is refused.
inline constexpr std::uint32_t kMinResults = 20;
/// With fewer served among them nobody is refused: a full back end serves
/// others, one that is gone serves none.
inline constexpr std::uint32_t kMinServed = 3;
/// The same as a share of the results; more callers than ten for each that
/// is served do not come, but after a total loss.
inline constexpr double kMinServedShare = 0.1;
/// No limit begins while the latest results have less than so much of the
/// share of rejections before them: back ends come back.
inline constexpr double kFallingRejectionRatio = 0.85;

/// Openings for each result that are believed at most: half of the results
/// are lost.
inline constexpr double kMaxAdmittedPerResult = 2.0;

/// A limit begins where more than this share of openings is rejected: the
/// SRE book's K of 1.1, for where a rejection costs as much as an answer; here
/// it costs one of three tries.
inline constexpr double kOverloadRejectedShare = 0.1;
/// What is let in beyond what is served, as a share of what is wanted: it
/// finds room that has come, and costs about as many rejections.
inline constexpr double kHeadroomShareOfOffered = 0.1;
/// The same as a share of what is served, at most: a try then fails once in
/// five times, and three tries once in a hundred; with less slots stand idle,
/// since placement is random.
inline constexpr double kMaxHeadroomShareOfServed = 0.25;
/// With less than this part of the rejections that the headroom costs there
/// is room that was not there before.
inline constexpr double kLowRejectionRatio = 0.3;
/// Growth of the limit with the first few results of which few are
/// rejections; it doubles with each few that follow, at most so often.
inline constexpr double kInitialLimitGrowth = 0.05;
inline constexpr std::uint32_t kMaxGrowthDoublings = 5;
/// Results between two growths: in a step of a busy daemon.
inline constexpr std::uint64_t kMinResultsPerGrowth = 8;

/// Openings that wait unused for this long at most; a tenth of what a full
/// queue of back ends holds comes unevenly.
inline constexpr Duration kMaxBurstSpan = std::chrono::milliseconds(200);
/// The same in openings, so that a daemon with few of them has a reserve for
/// the higher ranks.
inline constexpr double kMinBucketCapacity = 8;

/// Requests in flight for each slot from which a zone has no idle slot.
inline constexpr double kNoIdleSlotUtilization = 1.0;
/// The same below which a limit ends; lower, since figures are up to 2 s old
/// and a limit itself lowers the use of the back ends.
inline constexpr double kSpareCapacityUtilization = 0.7;
/// Rejected share of every zone's openings, and of this daemon's, from which
/// a limit begins: half of what a daemon has to see that knows no figures,
/// since the fleet has more samples.
inline constexpr double kFleetOverloadRejectedShare =
  kOverloadRejectedShare / 2;
/// Part of the expected rejections by back ends that serve as well, from which
/// they are full, and below which they are sick.
inline constexpr double kOverloadRatio = 0.5;
inline constexpr double kFaultRatio = 0.25;
/// Expected rejections of that kind from which they tell of full ones, where
/// chance gives none once in 50 times, and of sick ones, which ends a limit.
inline constexpr double kMinExpectedForOverload = 4;
inline constexpr double kMinExpectedForFaults = 12;
/// Steps in which a full queue of a back end is served.
inline constexpr std::int64_t kQueueDrainIntervals = 2;

/// A change of the share that is let in by as much is told.
inline constexpr double kMinReportedShareChange = 0.25;
/// Least time between two lines on one service.
inline constexpr Duration kAdmissionReportInterval = std::chrono::seconds(1);
/// A service that nobody has asked for this long is forgotten.
inline constexpr Duration kAdmissionIdleTimeout = std::chrono::seconds(60);

} // namespace cobaltgauge::core
