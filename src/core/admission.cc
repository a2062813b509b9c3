#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace cobaltgauge::core {
namespace {

/// Share of the bucket that only the highest rank may use.
constexpr double kReservedShare = 0.5;

}  // namespace

RankedTokenBucket::RankedTokenBucket(std::uint32_t ratePerSecond)
    : rate_(ratePerSecond), tokens_(ratePerSecond) {}

double RankedTokenBucket::reserveFor(std::uint32_t rank) const {
  const std::uint32_t capped = std::min(rank, kHighestRank);
  const double distance = static_cast<double>(kHighestRank - capped) / kHighestRank;
  return rate_ * kReservedShare * distance;
}

bool RankedTokenBucket::admit(std::uint32_t rank, Time now) {
  if (rate_ == 0) {
    return true;
  }
  const double elapsed = std::chrono::duration<double>(now - lastRefill_).count();
  tokens_ = std::min(rate_, tokens_ + std::max(0.0, elapsed) * rate_);
  lastRefill_ = now;
  if (tokens_ < 1 + reserveFor(rank)) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RankedTokenBucket::charge(std::uint32_t tokens) { tokens_ = std::max(0.0, tokens_ - tokens); }

std::chrono::seconds RankedTokenBucket::retryAfter(std::uint32_t rank) const {
  if (rate_ == 0) {
    return std::chrono::seconds(1);
  }
  const double missing = std::max(0.0, 1 + reserveFor(rank) - tokens_);
  return std::chrono::seconds(std::max(1L, std::lround(std::ceil(missing / rate_))));
}

}  // namespace cobaltgauge::core
