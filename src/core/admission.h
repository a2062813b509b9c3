/// @file
/// Ranked token bucket for new flows: under pressure the lowest ranks are refused first.
#pragma once

#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

/// Token bucket with a reserve for important work. A flow of priority r of R ranks is admitted only
/// while the bucket holds more than the share reserved for higher ranks.
class AdmissionTokenBucket {
 public:
  /// @param ratePerSecond tokens a second; zero admits everything.
  explicit AdmissionTokenBucket(std::uint32_t ratePerSecond);

  /// @param priority importance, 0 to kMaxPriority; larger values count as kMaxPriority.
  /// @return true where the flow may start; takes one token.
  bool admit(std::uint32_t priority, Time now);

  /// Takes more tokens for work already admitted that turned out to cost more; as many as there
  /// are.
  void charge(std::uint32_t tokens);

  /// @return seconds until a flow of this priority could be admitted, at least one.
  std::chrono::seconds retryAfter(std::uint32_t priority) const;

  static constexpr std::uint32_t kMaxPriority = 9;

 private:
  double reservedTokens(std::uint32_t priority) const;

  double rate_;
  double tokens_;
  Time lastRefill_{};
};

}  // namespace cobaltgauge::core
