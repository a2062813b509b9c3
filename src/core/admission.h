/// @file
/// Token bucket with priorities for new flows: when tokens run low, the lowest priorities are
/// refused first.
#pragma once

#include <cstdint>

#include "core/types.h"

namespace cobaltgauge::core {

/// Token bucket that reserves tokens for higher priorities. A flow is admitted only while the
/// bucket holds more than the tokens reserved for the priorities above its own.
class AdmissionTokenBucket {
 public:
  /// @param ratePerSecond refill rate and capacity in tokens; zero disables the limit.
  explicit AdmissionTokenBucket(std::uint32_t ratePerSecond);

  /// Consumes one token if the flow is admitted.
  /// @param priority 0 to kMaxPriority; larger values count as kMaxPriority.
  /// @return true if the flow may start.
  bool admit(std::uint32_t priority, Time now);

  /// Consumes additional tokens for admitted work, at most as many as are left.
  void charge(std::uint32_t tokens);

  /// @return time until a flow of this priority can be admitted, at least one second.
  std::chrono::seconds retryAfter(std::uint32_t priority) const;

  static constexpr std::uint32_t kMaxPriority = 9;

 private:
  double reservedTokens(std::uint32_t priority) const;

  double rate_;
  double tokens_;
  Time lastRefill_{};
};

}  // namespace cobaltgauge::core
