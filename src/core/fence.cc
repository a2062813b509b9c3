#include "core/fence.h"

#include "core/constants.h"

namespace cobaltgauge::core {

bool Fence::detectsSuspension(Time now) const {
  return started_ && now - lastTick_ > kSuspensionGap;
}

void Fence::close(Time now, std::uint64_t firstSequence) {
  closed_ = true;
  started_ = true;
  closedAt_ = now;
  lastTick_ = now;
  firstSequence_ = firstSequence;
  confirmers_.clear();
}

void Fence::closeUntilConfirmedBy(const std::set<MemberId>& confirmers, Time now,
                                  std::uint64_t firstSequence) {
  if (closed_ && confirmers_.empty()) {
    return;  // Already closed, and any member may confirm.
  }
  close(now, firstSequence);
  confirmers_ = confirmers;
}

void Fence::onConfirmation(MemberId from, std::uint64_t sequence) {
  const bool mayConfirm = confirmers_.empty() || confirmers_.contains(from);
  if (mayConfirm && sequence >= firstSequence_) {
    closed_ = false;
  }
}

void Fence::openAfterTimeout(Time now, bool heardFromPeer) {
  if (closed_ && !confirmers_.empty() && now - closedAt_ >= kRecoveryConfirmationTimeout) {
    closed_ = false;
  }
  if (closed_ && !heardFromPeer && now - closedAt_ >= kFencePeerTimeout) {
    closed_ = false;
  }
}

}  // namespace cobaltgauge::core
