#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace cobaltgauge::core {
namespace {

/// Share of the bucket that the lowest priority cannot use. Decreases linearly to zero for the
/// highest priority.
constexpr double kReservedShare = 0.5;

}  // namespace

AdmissionTokenBucket::AdmissionTokenBucket(std::uint32_t ratePerSecond)
    : rate_(ratePerSecond), tokens_(ratePerSecond) {}

double AdmissionTokenBucket::reservedTokens(std::uint32_t priority) const {
  const std::uint32_t capped = std::min(priority, kMaxPriority);
  const double distance = static_cast<double>(kMaxPriority - capped) / kMaxPriority;
  return rate_ * kReservedShare * distance;
}

bool AdmissionTokenBucket::admit(std::uint32_t priority, Time now) {
  if (rate_ == 0) {
    return true;
  }
  const double elapsed = std::chrono::duration<double>(now - lastRefill_).count();
  tokens_ = std::min(rate_, tokens_ + std::max(0.0, elapsed) * rate_);
  lastRefill_ = now;
  if (tokens_ < 1 + reservedTokens(priority)) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void AdmissionTokenBucket::charge(std::uint32_t tokens) {
  tokens_ = std::max(0.0, tokens_ - tokens);
}

std::chrono::seconds AdmissionTokenBucket::retryAfter(std::uint32_t priority) const {
  if (rate_ == 0) {
    return std::chrono::seconds(1);
  }
  const double missing = std::max(0.0, 1 + reservedTokens(priority) - tokens_);
  return std::chrono::seconds(std::max(1L, std::lround(std::ceil(missing / rate_))));
}

}  // namespace cobaltgauge::core
