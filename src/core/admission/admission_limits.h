/// @file
/// Figures of admission by rank.  See docs/design/008-scarce-room.md.
#pragma once

#include <cstddef>

#include "core/types.h"

namespace cobaltgauge::core {

/// Counts are kept in steps of this length; decisions follow at each.  Half
/// of what a full back end takes to turn a request away.
inline constexpr Duration kAdmissionStep = std::chrono::milliseconds(100);
/// Steps that are looked at most: what a few samples tell needs this long.
inline constexpr std::size_t kAdmissionSteps = 20;
/// Steps that are looked at least: results come two steps after openings.
inline constexpr std::size_t kFewestSteps = 4;
/// The same for what is the case now, and the results that it wants.
inline constexpr std::size_t kRecentSteps = 2;
inline constexpr std::uint32_t kRecentResults = 30;
/// Results that a decision wants; it looks back no further than for them.
inline constexpr std::uint32_t kEnoughResults = 40;
/// With fewer results nobody is refused.
inline constexpr std::uint32_t kFewestResults = 20;
/// With fewer served among them nobody is refused: a full back end serves
/// others, one that is gone serves none.
inline constexpr std::uint32_t kFewestServed = 3;
/// The same as a share of the results; more callers than ten for each that
/// is served do not come, but after a total loss.
inline constexpr double kLeastServedShare = 0.1;
/// No limit begins while the latest results have less than so much of the
/// share of rejections before them: back ends come back.
inline constexpr double kFallingShare = 0.85;

/// Openings for each result that are believed at most: half of the results
/// are lost.
inline constexpr double kMostUnheard = 2.0;

/// A limit begins where more than this share of openings is rejected: the
/// SRE book's K of 1.1, for where a rejection costs as much as an answer; here
/// it costs one of three tries.
inline constexpr double kFullFrom = 0.1;
/// What is let in beyond what is served, as a share of what is wanted: it
/// finds room that has come, and costs about as many rejections.
inline constexpr double kHeadroomOfWanted = 0.1;
/// The same as a share of what is served, at most: a try then fails once in
/// five times, and three tries once in a hundred; with less slots stand idle,
/// since placement is random.
inline constexpr double kMostHeadroom = 0.25;
/// With less than this part of the rejections that the headroom costs there
/// is room that was not there before.
inline constexpr double kCalmPart = 0.3;
/// Growth of the limit with the first few results of which few are
/// rejections; it doubles with each few that follow, at most so often.
inline constexpr double kProbeGrowth = 0.05;
inline constexpr std::uint32_t kMostCalmSteps = 5;
/// Results between two growths: in a step of a busy daemon.
inline constexpr std::uint64_t kResultsPerGrowth = 8;

/// Openings that wait unused for this long at most; a tenth of what a full
/// queue of back ends holds comes unevenly.
inline constexpr Duration kBucketSpan = std::chrono::milliseconds(200);
/// The same in openings, so that a daemon with few of them has a reserve for
/// the higher ranks.
inline constexpr double kLeastDepth = 8;

/// Requests in flight for each slot from which a zone has no idle slot.
inline constexpr double kNoIdleSlot = 1.0;
/// The same below which a limit ends; lower, since figures are up to 2 s old
/// and a limit itself lowers the use of the back ends.
inline constexpr double kMuchRoomBelow = 0.7;
/// Rejected share of every zone's openings, and of this daemon's, from which
/// a limit begins: half of what a daemon has to see that knows no figures,
/// since the fleet has more samples.
inline constexpr double kFleetRejects = kFullFrom / 2;
/// Part of the expected rejections by back ends that serve as well, from which
/// they are full, and below which they are sick.
inline constexpr double kFullPart = 0.5;
inline constexpr double kSickPart = 0.25;
/// Expected rejections of that kind from which they tell of full ones, where
/// chance gives none once in 50 times, and of sick ones, which ends a limit.
inline constexpr double kTellingFull = 4;
inline constexpr double kTellingSick = 12;
/// Steps in which a full queue of a back end is served.
inline constexpr std::int64_t kStepsOfQueue = 2;

/// A change of the share that is let in by as much is told.
inline constexpr double kToldChange = 0.25;
/// Least time between two lines on one service.
inline constexpr Duration kTellEvery = std::chrono::seconds(1);
/// A service that nobody has asked for this long is forgotten.
inline constexpr Duration kAdmissionMemory = std::chrono::seconds(60);

} // namespace cobaltgauge::core
