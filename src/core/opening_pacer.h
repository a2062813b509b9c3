/// @file
/// Spreads bursts of openings over time. After a mass restart every caller opens its flow again
/// within a round trip, and what a back end's queue cannot hold it turns away. A back end that has
/// just been given an opening is passed over for a short while, in favour of others; where all have
/// been, the opening is left to the caller's own repetition.
#pragma once

#include <algorithm>
#include <unordered_map>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

class OpeningPacer {
 public:
  /// @return true where the back end was given an opening only just now.
  bool isBusy(BackendId backend, Time now) const {
    const auto found = availableAt_.find(backend);
    return found != availableAt_.end() && found->second > now;
  }

  /// Notes an opening. @param capacity requests that the back end handles at once.
  void onOpening(BackendId backend, std::uint32_t capacity, Time now) {
    Time& freeAt = availableAt_[backend];
    freeAt = std::max(freeAt, now) + kOpeningPacingInterval / capacity;
  }

  void expire(Time now) {
    std::erase_if(availableAt_, [now](const auto& item) { return item.second <= now; });
  }

 private:
  std::unordered_map<BackendId, Time> availableAt_;
};

}  // namespace cobaltgauge::core
