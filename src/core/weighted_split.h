/// @file
/// Distributes flows over the targets of a route by smooth weighted round robin: after any number
/// of choices each target's count is within one of its share.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/registration.h"

namespace cobaltgauge::core {

class WeightedSplit {
 public:
  /// @param startOffset any number; selects the start position within a cycle.
  WeightedSplit(const std::vector<RouteTarget>& targets, std::uint64_t startOffset);

  /// @return the index of the next target; 0 if all weights are zero.
  std::size_t next();

 private:
  std::vector<std::int64_t> weights_;
  std::vector<std::int64_t> credits_;
  std::int64_t total_ = 0;
};

}  // namespace cobaltgauge::core
