#include "core/backend_evidence.h"

#include "core/constants.h"

namespace cobaltgauge::core {

void BackendEvidence::onAnswer(BackendId backend, Time now) {
  Signs& signs = signs_[backend];
  signs.lastAnswer = now;
  signs.suspectedAt = Time{};
}

void BackendEvidence::onSilence(BackendId backend, Time forwardedAt, Time now) {
  Signs& signs = signs_[backend];
  if (signs.lastAnswer < forwardedAt) {
    signs.silentSince = forwardedAt;
    signs.suspectedAt = now;
  }
}

bool BackendEvidence::isSuspected(BackendId backend, Time now) const {
  const auto found = signs_.find(backend);
  return found != signs_.end() && found->second.suspectedAt != Time{} &&
         now - found->second.suspectedAt < kSilenceSuspicion;
}

void BackendEvidence::expire(Time now) {
  std::erase_if(signs_, [now](const auto& item) {
    const Signs& signs = item.second;
    return now - signs.lastAnswer > kSilenceSuspicion && now - signs.suspectedAt > kSilenceSuspicion;
  });
}

}  // namespace cobaltgauge::core
