/// @file
/// Sizes and time limits of the load figures, with the reason for each.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

using namespace std::chrono_literals;

/// Callers send an opening again after this long.
inline constexpr Duration kFirstCopyAfter = 200ms;
/// An opening with no packet after it for this long was reset: the callers'
/// time and half of it for packets that waited on their way.
inline constexpr Duration kResetSeenAfter = kFirstCopyAfter * 3 / 2;
/// A short answer that nothing follows for this long is whole; the callers'
/// time until they send again.
inline constexpr Duration kAnswerWholeAfter = 200ms;
/// A request without an answer for so many times the usual time, and for
/// kLateResponseThreshold, was reset: its caller shows nothing after that.  A
/// full queue makes answers five times as late.
inline constexpr std::uint32_t kAnswerTimesPerReset = 6;
/// A watched flow without a packet for this long is forgotten, its caller has
/// gone elsewhere: longer than callers wait for an answer.
inline constexpr Duration kWatchForgottenAfter = 15s;
inline constexpr Duration kIdleSweepEvery = 1s;
/// Openings whose end is awaited at once; a busy daemon has about 1,000.
inline constexpr std::size_t kMostOpeningsWatched = 8192;

/// Answers of a route that are remembered, and those that have to be known
/// before any counts as short.
inline constexpr std::size_t kAnswersRemembered = 32;
inline constexpr std::size_t kAnswersBeforeShort = 16;
/// An answer is short where the usual one is this many times as long: one with
/// content has the headers of a rejection, and as much again twice.
inline constexpr std::uint32_t kUsualPerShort = 3;
/// Longest answer that only says "not run": a status line and a few headers.
/// Of lengths around 2,000 that are spread widely, one in 1,000 is as short.
inline constexpr std::uint32_t kLongestRejection = 256;
/// Lengths of a route are not stable where more than one in so many lies
/// between what is short and twice that.
inline constexpr std::size_t kAnswersPerNearShort = 8;
/// One short answer in so many is remembered: a route keeps its usual length
/// until all but one in 25 answers are short, and learns a new one then.
inline constexpr std::uint32_t kShortPerRemembered = 8;
/// Routes whose lengths are remembered.
inline constexpr std::size_t kMostRoutesMeasured = 1024;

/// A request that is not answered after so many times the usual time counts as
/// in flight no more: it was reset, its caller has gone, or its packets pass
/// another daemon.  Of times spread as widely as their mean one in 20 is that
/// long.
inline constexpr std::uint32_t kAnswerTimesPerFade = 3;
/// Bounds of that; where no usual time is known, the longer one holds.
inline constexpr Duration kFadesEarliest = 150ms;
inline constexpr Duration kFadesLatest = 2000ms;
/// A late answer still tells the usual time up to here.
inline constexpr Duration kRequestForgottenAfter = 10s;
/// Weight of the latest answer in the usual time.
inline constexpr double kLatestAnswerWeight = 0.1;
/// The same for an opening: reset, unless it is sent again.
inline constexpr Duration kOpeningFades = kResetSeenAfter;
inline constexpr std::size_t kMostRequestsCounted = 8192;
/// Parts of the second that slides; a tick of the daemon each.
inline constexpr std::size_t kLoadSecondParts = 5;

/// Time between two rounds of reports, while a zone is more than half used or
/// callers are rejected, and otherwise: half a second of work is a twentieth
/// of the shortest burst that lasts, and calm days cost few bytes.
inline constexpr Duration kBusyReportEvery = 500ms;
inline constexpr Duration kCalmReportEvery = 2000ms;
/// How long a daemon waits for its followers' reports once it was asked for
/// its own, and the root, which waits for several levels: a tick, and two.
inline constexpr Duration kGatherFor = 100ms;
inline constexpr Duration kRootGathersFor = 300ms;
/// Figures older than this count as missing: shorter than a burst of several
/// seconds, longer than a calm round, or three busy ones.
inline constexpr Duration kLoadFor = 2500ms;
/// A report holds until the next one is due, and for this: a busy round is
/// lost without harm, and a dead daemon's load ends soon.
inline constexpr Duration kReportSlack = 600ms;
/// A part of the sum that tells of so long ago, a calm round, is left out, so
/// that one daemon that has died does not make the figures of all others too
/// old to use.
inline constexpr Duration kOldestPart = kCalmReportEvery + kRootGathersFor;
inline constexpr Duration kLongestReportHolds =
  kCalmReportEvery + kReportSlack;
/// Slots are counted this often, since a count goes over all back ends, of
/// which a large fleet has thousands; figures of load are hardly younger.
inline constexpr Duration kSlotsCountedEvery = 1s;
/// Levels of followers; three carry the largest fleet.
inline constexpr std::uint32_t kMostLevels = 6;
/// Figures count as missing where they hold fewer of the tree's daemons than
/// one in so many, as while a tree grows.
inline constexpr std::uint32_t kDaemonsPerCounted = 2;
/// A zone counts as busy from this utilization on, until it is below the
/// other one.
inline constexpr double kBusyFrom = 0.5;
inline constexpr double kBusyUntil = 0.4;
/// Rounds stay frequent for this long after the last sign of need.
inline constexpr Duration kBusyFor = 3000ms;
/// Services times zones in one message, 15 bytes each; the largest go first.
inline constexpr std::size_t kMostLoadsTold = 64;
/// The same while all is calm: enough to see where load grows first.
inline constexpr std::size_t kMostLoadsToldCalm = 16;
/// What one daemon may claim: more than any machine carries.
inline constexpr std::uint32_t kMostOfOneDaemon = 8192;

} // namespace cobaltgauge::core
