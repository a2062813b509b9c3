#include "core/weighted_split.h"

#include <algorithm>

namespace cobaltgauge::core {
namespace {

/// Upper bound of the number of initial steps to skip, which limits the time to build a split.
constexpr std::uint64_t kMaxStartOffset = 1000;

}  // namespace

WeightedSplit::WeightedSplit(const std::vector<RouteTarget>& targets, std::uint64_t startOffset) {
  for (const RouteTarget& target : targets) {
    weights_.push_back(target.weight);
    total_ += target.weight;
  }
  credits_.assign(weights_.size(), 0);
  if (total_ == 0 || weights_.size() < 2) {
    return;
  }
  // A full cycle has as many steps as the sum of the weights; start at a random step of it.
  const auto round = std::min<std::uint64_t>(static_cast<std::uint64_t>(total_), kMaxStartOffset);
  for (std::uint64_t step = startOffset % round; step > 0; --step) {
    next();
  }
}

std::size_t WeightedSplit::next() {
  if (total_ == 0) {
    return 0;
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights_.size(); ++i) {
    credits_[i] += weights_[i];
    const bool isEligible = weights_[i] > 0;
    if (isEligible && (weights_[best] == 0 || credits_[i] > credits_[best])) {
      best = i;
    }
  }
  credits_[best] -= total_;
  return best;
}

}  // namespace cobaltgauge::core
