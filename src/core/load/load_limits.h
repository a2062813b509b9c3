/// @file
/// Sizes and time limits of the load figures, with the reason for each.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

using namespace std::chrono_literals;

/// Callers send an opening again after this long.
inline constexpr Duration kInitialRetransmissionTimeout = 200ms;
/// An opening with no packet after it for this long was reset: the callers'
/// time and half of it for packets that waited on their way.
inline constexpr Duration kResetDetectionTimeout =
  kInitialRetransmissionTimeout * 3 / 2;
/// A short answer that nothing follows for this long is whole; the callers'
/// time until they send again.
inline constexpr Duration kResponseCompleteTimeout = 200ms;
/// A request without an answer for so many times the usual time, and for
/// kAnswerLate, was reset: its caller shows nothing after that.  A full queue
/// makes answers five times as late.
inline constexpr std::uint32_t kResetTimeoutFactor = 6;
/// A watched flow without a packet for this long is forgotten, its caller has
/// gone elsewhere: longer than callers wait for an answer.
inline constexpr Duration kTrackingIdleTimeout = 15s;
inline constexpr Duration kIdleSweepInterval = 1s;
/// Openings whose end is awaited at once; a busy daemon has about 1,000.
inline constexpr std::size_t kMaxTrackedOpenings = 8192;

/// Answers of a route that are remembered, and those that have to be known
/// before any counts as short.
inline constexpr std::size_t kResponseLengthSamples = 32;
inline constexpr std::size_t kMinResponseSamples = 16;
/// An answer is short where the usual one is this many times as long: one with
/// content has the headers of a rejection, and as much again twice.
inline constexpr std::uint32_t kTypicalToShortRatio = 3;
/// Longest answer that only says "not run": a status line and a few headers.
/// Of lengths around 2,000 that are spread widely, one in 1,000 is as short.
inline constexpr std::uint32_t kMaxRejectionBytes = 256;
/// Lengths of a route are not stable where more than one in so many lies
/// between what is short and twice that.
inline constexpr std::size_t kMinResponsesPerNearShort = 8;
/// One short answer in so many is remembered: a route keeps its usual length
/// until all but one in 25 answers are short, and learns a new one then.
inline constexpr std::uint32_t kShortResponsesPerSample = 8;
/// Routes whose lengths are remembered.
inline constexpr std::size_t kMaxTrackedRoutes = 1024;

/// A request that is not answered after so many times the usual time counts as
/// in flight no more: it was reset, its caller has gone, or its packets pass
/// another daemon.  Of times spread as widely as their mean one in 20 is that
/// long.
inline constexpr std::uint32_t kRequestTimeoutFactor = 3;
/// Bounds of that; where no usual time is known, the longer one holds.
inline constexpr Duration kMinRequestTimeout = 150ms;
inline constexpr Duration kMaxRequestTimeout = 2000ms;
/// A late answer still tells the usual time up to here.
inline constexpr Duration kRequestRetention = 10s;
/// Weight of the latest answer in the usual time.
inline constexpr double kMinResponseTimeWeight = 0.1;
/// The same for an opening: reset, unless it is sent again.
inline constexpr Duration kOpeningTimeout = kResetDetectionTimeout;
inline constexpr std::size_t kMaxCountedRequests = 8192;
/// Parts of the second that slides; a tick of the daemon each.
inline constexpr std::size_t kLoadWindowBuckets = 5;

/// Time between two rounds of reports, while a zone is more than half used or
/// callers are rejected, and otherwise: half a second of work is a twentieth
/// of the shortest burst that lasts, and calm days cost few bytes.
inline constexpr Duration kBusyReportInterval = 500ms;
inline constexpr Duration kNormalReportInterval = 2000ms;
/// How long a daemon waits for its followers' reports once it was asked for
/// its own, and the root, which waits for several levels: a tick, and two.
inline constexpr Duration kGatherTimeout = 100ms;
inline constexpr Duration kRootGatherTimeout = 300ms;
/// Figures older than this count as missing: shorter than a burst of several
/// seconds, longer than a calm round, or three busy ones.
inline constexpr Duration kMaxLoadAge = 2500ms;
/// A report holds until the next one is due, and for this: a busy round is
/// lost without harm, and a dead daemon's load ends soon.
inline constexpr Duration kReportExpiryMargin = 600ms;
/// A part of the sum that tells of so long ago, a calm round, is left out, so
/// that one daemon that has died does not make the figures of all others too
/// old to use.
inline constexpr Duration kMaxSummedReportAge =
  kNormalReportInterval + kRootGatherTimeout;
inline constexpr Duration kMaxReportLifetime =
  kNormalReportInterval + kReportExpiryMargin;
/// Slots are counted this often, since a count goes over all back ends, of
/// which a large fleet has thousands; figures of load are hardly younger.
inline constexpr Duration kSlotCountInterval = 1s;
/// Levels of followers; three carry the largest fleet.
inline constexpr std::uint32_t kMaxTreeDepth = 6;
/// Figures count as missing where they hold fewer of the tree's daemons than
/// one in so many, as while a tree grows.
inline constexpr std::uint32_t kMaxDaemonsPerReported = 2;
/// A zone counts as busy from this utilization on, until it is below the
/// other one.
inline constexpr double kBusyEnterUtilization = 0.5;
inline constexpr double kBusyExitUtilization = 0.4;
/// Rounds stay frequent for this long after the last sign of need.
inline constexpr Duration kBusyHoldTime = 3000ms;
/// Services times zones in one message, 15 bytes each; the largest go first.
inline constexpr std::size_t kMaxLoadsPerMessage = 64;
/// The same while all is calm: enough to see where load grows first.
inline constexpr std::size_t kMaxLoadsPerNormalMessage = 16;
/// What one daemon may claim: more than any machine carries.
inline constexpr std::uint32_t kMaxLoadPerDaemon = 8192;

} // namespace cobaltgauge::core
