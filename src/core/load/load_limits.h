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
/// An answer is short where the usual one is this many times as long: of
/// lengths with a spread as wide as their mean one in 200 is that short.
inline constexpr std::uint32_t kUsualPerShort = 8;
/// Longest answer that only says "not run": a status line and a few headers.
inline constexpr std::uint32_t kLongestRejection = 512;
/// Lengths of a route are not stable where more than one in so many lies
/// between what is short and twice that.
inline constexpr std::size_t kAnswersPerNearShort = 4;
/// One short answer in so many is remembered: a route keeps its usual length
/// until all but one in 25 answers are short, and learns a new one then.
inline constexpr std::uint32_t kShortPerRemembered = 8;
/// Routes whose lengths are remembered.
inline constexpr std::size_t kMostRoutesMeasured = 1024;

} // namespace cobaltgauge::core
