/// @file
/// Shares flows over the targets of a route by weight. Smooth weighted round robin: after any run
/// of choices each target's count is within one of its share, where random draws would be off by
/// the square root of the run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/registration.h"

namespace cobaltgauge::core {

class WeightedSplit {
 public:
  /// @param startOffset where in the round to begin.
  WeightedSplit(const std::vector<RouteTarget>& targets, std::uint64_t startOffset);

  /// @return the index of the next target by weight; 0 where all weights are zero.
  std::size_t next();

 private:
  std::vector<std::int64_t> weights_;
  std::vector<std::int64_t> credits_;
  std::int64_t total_ = 0;
};

}  // namespace cobaltgauge::core
