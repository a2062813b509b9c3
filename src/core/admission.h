/// @file
/// Ranked token bucket for new flows: under pressure the lowest ranks are refused first.
#pragma once

#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

/// Token bucket with a reserve for important work. A flow of rank r of R ranks is admitted only
/// while the bucket holds more than the share reserved for higher ranks.
class RankedTokenBucket {
 public:
  /// @param ratePerSecond tokens a second; zero admits everything.
  explicit RankedTokenBucket(std::uint32_t ratePerSecond);

  /// @param rank importance, 0 to kHighestRank; larger values count as kHighestRank.
  /// @return true where the flow may start; takes one token.
  bool admit(std::uint32_t rank, Time now);

  /// Takes more tokens for work already admitted that turned out to cost more; as many as there
  /// are.
  void charge(std::uint32_t tokens);

  /// @return seconds until a flow of this rank could be admitted, at least one.
  std::chrono::seconds retryAfter(std::uint32_t rank) const;

  static constexpr std::uint32_t kHighestRank = 9;

 private:
  double reserveFor(std::uint32_t rank) const;

  double rate_;
  double tokens_;
  Time lastRefill_{};
};

}  // namespace cobaltgauge::core
