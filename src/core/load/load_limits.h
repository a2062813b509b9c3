/// @file
/// Limits and time constants of load measurement and reporting.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

using namespace std::chrono_literals;

/// Time after which clients retransmit an opening.
inline constexpr Duration kInitialRetransmissionTimeout = 200ms;
/// An opening without further packets for this long was reset.  Includes a
/// margin for packets delayed in the network.
inline constexpr Duration kResetDetectionTimeout =
  kInitialRetransmissionTimeout * 3 / 2;
/// A short response is complete if no packet follows for this long, which is
/// the retransmission timeout of clients.
inline constexpr Duration kResponseCompleteTimeout = 200ms;
/// A request without a response for this many times the typical response time,
/// and for at least kLateResponseThreshold, was reset.  Larger than the
/// slowdown caused by a full queue.  That is five times.
inline constexpr std::uint32_t kResetTimeoutFactor = 6;
/// A flow without packets for this long is no longer tracked; longer than
/// clients wait for a response.
inline constexpr Duration kTrackingIdleTimeout = 15s;
/// Interval at which flows past kTrackingIdleTimeout are removed.
inline constexpr Duration kIdleSweepInterval = 1s;
/// Maximum number of openings tracked at the same time.  A busy daemon has
/// about 1,000.
inline constexpr std::size_t kMaxTrackedOpenings = 8192;

/// Number of response lengths kept for each route.
inline constexpr std::size_t kResponseLengthSamples = 32;
/// Minimum number of responses before any is classified as short or late.
inline constexpr std::size_t kMinResponseSamples = 16;
/// A response is short if the typical length is at least this many times as
/// large.
inline constexpr std::uint32_t kTypicalToShortRatio = 3;
/// Maximum length in bytes of a rejection: a status line and a few headers.
/// Of lengths spread widely around 2,000, one in 1,000 is as short.
inline constexpr std::uint32_t kMaxRejectionBytes = 256;
/// Rejections are not detected on a route where more than one response in this
/// many has between one and two times the maximum short length.
inline constexpr std::size_t kMinResponsesPerNearShort = 8;
/// One in this many short responses is kept as a sample, so that a burst of
/// rejections does not change the typical length.  A route learns a new
/// typical length only once all but one in 25 responses are short.
inline constexpr std::uint32_t kShortResponsesPerSample = 8;
/// Maximum number of routes with response statistics.
inline constexpr std::size_t kMaxTrackedRoutes = 1024;

/// A request without a response for this many times the typical response time
/// is no longer counted as in flight: it was reset, its client has gone, or
/// its packets pass another daemon.  Of times spread as widely as their mean,
/// one in 20 is that long.
inline constexpr std::uint32_t kRequestTimeoutFactor = 3;
/// Bounds of that timeout.  The maximum applies while the typical response
/// time is unknown.
inline constexpr Duration kMinRequestTimeout = 150ms;
inline constexpr Duration kMaxRequestTimeout = 2000ms;
/// A response up to this long after its request updates the typical response
/// time.
inline constexpr Duration kRequestRetention = 10s;
/// Minimum weight of the latest response time in the average.
inline constexpr double kMinResponseTimeWeight = 0.1;
/// Time after which an opening without a response is no longer counted.
inline constexpr Duration kOpeningTimeout = kResetDetectionTimeout;
/// Maximum number of requests and openings tracked by a LoadMeter.
inline constexpr std::size_t kMaxCountedRequests = 8192;
/// Buckets of the sliding window of one second; one per tick of the daemon.
inline constexpr std::size_t kLoadWindowBuckets = 5;

/// Interval between rounds of reports while a zone is busy or clients are
/// rejected, and otherwise.  The shorter one is a twentieth of the shortest
/// lasting burst; the longer one saves bytes.
inline constexpr Duration kBusyReportInterval = 500ms;
inline constexpr Duration kNormalReportInterval = 2000ms;
/// How long a daemon waits for the reports of its followers after a report
/// request.  The root waits for several levels.
inline constexpr Duration kGatherTimeout = 100ms;
inline constexpr Duration kRootGatherTimeout = 300ms;
/// Fleet statistics older than this are not used; longer than one normal or
/// three busy rounds.  Shorter than a burst of several seconds.
inline constexpr Duration kMaxLoadAge = 2500ms;
/// Added to the interval until the next report to get the lifetime of a
/// report, so that one lost report in busy rounds does no harm.
inline constexpr Duration kReportExpiryMargin = 600ms;
/// Maximum age of a report that is summed.  Prevents a failed daemon from
/// making the whole sum too old to use.
inline constexpr Duration kMaxSummedReportAge =
  kNormalReportInterval + kRootGatherTimeout;
inline constexpr Duration kMaxReportLifetime =
  kNormalReportInterval + kReportExpiryMargin;
/// Interval at which slots are counted; a count visits all backends.
inline constexpr Duration kSlotCountInterval = 1s;
/// Maximum number of levels below the root of the relay tree.  Three carry the
/// largest fleet.
inline constexpr std::uint32_t kMaxTreeDepth = 6;
/// Fleet statistics are not used if they cover fewer than one in this many of
/// the daemons of the tree.
inline constexpr std::uint32_t kMaxDaemonsPerReported = 2;
/// A zone becomes busy above the first utilization, and is no longer busy
/// below the second.
inline constexpr double kBusyEnterUtilization = 0.5;
inline constexpr double kBusyExitUtilization = 0.4;
/// Reports stay frequent for this long after the last sign of load.
inline constexpr Duration kBusyHoldTime = 3000ms;
/// Maximum number of service and zone pairs in one message; the largest loads
/// are sent.  Each takes 15 bytes.
inline constexpr std::size_t kMaxLoadsPerMessage = 64;
/// The same while no zone is busy.
inline constexpr std::size_t kMaxLoadsPerNormalMessage = 16;
/// Maximum of each load value accepted from one daemon; more than any machine
/// carries.
inline constexpr std::uint32_t kMaxLoadPerDaemon = 8192;

} // namespace cobaltgauge::core
