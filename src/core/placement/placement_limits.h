/// @file
/// Sizes and time limits of placement by room, with the reason for each.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include "core/types.h"

namespace cobaltgauge::core {

using namespace std::chrono_literals;

/// How much longer a caller may wait in a preferred zone than elsewhere, in
/// units of its work: the three round trips that another zone adds to a
/// request take a few milliseconds, and work takes tens.
inline constexpr double kMaxExtraLocalWait = 0.25;
/// Slots are taken to be in use to this share at most: a finite queue has a
/// finite wait, and so figures of full zones can still be compared.
inline constexpr double kMaxSlotUtilization = 0.95;
/// Share of its openings that a zone without room keeps, so that its room is
/// seen again: one in twenty fills a zone in which nothing else runs to a
/// twentieth.
inline constexpr double kMinLocalShare = 0.05;
/// How fast the share of openings that a zone keeps may change, for each
/// second: from all to a half in 300 ms, which is as old as good figures are.
inline constexpr double kMaxShareChangePerSecond = 1.7;
/// Share that a zone with plenty of room is steered to; it ends at one, and
/// gets there in a bounded time.
inline constexpr double kMaxTargetShare = 2;
/// Figures are at least this old, whatever they say: a request in flight that
/// is counted was opened a while ago, and a report waits for its turn.
inline constexpr Duration kMinStatisticsAge = 300ms;
/// How far back kept shares are remembered, so that figures are held against
/// what was in force when they were taken; older figures count as this old.
inline constexpr Duration kShareHistoryRetention = 2000ms;
/// Kept shares are worked out this often at most.
inline constexpr Duration kShareUpdateInterval = 50ms;
/// Zones and their slots are counted this often while as many back ends take
/// flows as before, since a count goes over all of them.
inline constexpr Duration kZoneCountInterval = 1s;
/// A service that got no opening for this long starts afresh.
inline constexpr Duration kSpilloverStateTimeout = 10s;
/// Openings go elsewhere "for want of room" from this kept share on, for logs;
/// and no more from the other one on.
inline constexpr double kSpilloverStartShare = 0.9;
inline constexpr double kSpilloverEndShare = 0.99;
/// Changes that wait to be logged.
inline constexpr std::size_t kMaxPendingSpilloverChanges = 64;

// What a daemon sees itself, where the fleet's figures are missing.

/// Time after which a result counts by a third (e^-1): three daemons' openings
/// of a second are enough to tell, and a burst shows within it.
inline constexpr Duration kSampleDecayTime = 400ms;
/// Results that have to be remembered of a zone, weighed by their age.
inline constexpr double kMinSampleWeight = 6;
/// Time over which the usual length of answers is learned.
inline constexpr Duration kBaselineDecayTime = 10s;
/// The same while answers take longer than usual: longer than a burst.
inline constexpr Duration kBaselineDecayTimeUnderLoad = 60s;
/// No answer counts for less than one in so many: their mean strays by a
/// twentieth.
inline constexpr double kBaselineMaxSamples = 100;
/// Answers count as longer than usual from here on: the mean of
/// kMinSampleWeight answers with a spread of a half strays by a fifth.
inline constexpr double kSlowResponseRatio = 1.5;
/// Share of rejected openings from which a zone counts as full, whatever its
/// answers take: two of the fewest results that tell are more than chance.
inline constexpr double kRejectedShareWhenFull = 0.25;
/// Use that a zone is taken to have which this daemon has not tried lately.
inline constexpr double kUnsampledUtilization = 0.5;

} // namespace cobaltgauge::core
