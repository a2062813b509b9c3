/// @file
/// Paces connection attempts per backend, so that a burst does not overflow the accept queues.
/// While a backend is busy, other backends are preferred. If all are busy, the attempt is dropped
/// and the client retransmits it.
#pragma once

#include <algorithm>
#include <unordered_map>

#include "core/constants.h"
#include "core/types.h"

namespace cobaltgauge::core {

class OpeningPacer {
 public:
  /// @return true while the pacing interval of the backend's last connection attempt lasts.
  bool isBusy(BackendId backend, Time now) const {
    const auto found = availableAt_.find(backend);
    return found != availableAt_.end() && found->second > now;
  }

  /// Records a connection attempt. @param capacity requests that the backend handles concurrently.
  void onOpening(BackendId backend, std::uint32_t capacity, Time now) {
    Time& availableAt = availableAt_[backend];
    availableAt = std::max(availableAt, now) + kOpeningPacingInterval / capacity;
  }

  void expire(Time now) {
    std::erase_if(availableAt_, [now](const auto& item) { return item.second <= now; });
  }

 private:
  std::unordered_map<BackendId, Time> availableAt_;
};

}  // namespace cobaltgauge::core
