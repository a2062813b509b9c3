#include "core/fence.h"

#include "core/constants.h"

namespace cobaltgauge::core {

bool Fence::noticesSuspension(Time now) const { return started_ && now - lastTick_ > kFreezeGap; }

void Fence::close(Time now, std::uint64_t firstSequence) {
  closed_ = true;
  started_ = true;
  closedSince_ = now;
  lastTick_ = now;
  firstSequence_ = firstSequence;
}

void Fence::onConfirmation(std::uint64_t sequence) {
  if (sequence >= firstSequence_) {
    closed_ = false;
  }
}

void Fence::openIfAlone(Time now, bool heardFromPeer) {
  if (closed_ && !heardFromPeer && now - closedSince_ >= kFenceAloneWait) {
    closed_ = false;
  }
}

}  // namespace cobaltgauge::core
