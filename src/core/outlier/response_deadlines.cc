#include "core/outlier/response_deadlines.h"

#include "core/constants.h"

namespace cobaltgauge::core {

void ResponseDeadlines::Add(FlowFingerprint flow,
                            std::uint32_t dataEnd,
                            Time now)
{
  if (this->Pending.size() < kMaxPendingResponses) {
    this->Pending.push_back({ flow, dataEnd, now + kLateResponseThreshold });
  }
}

std::vector<ResponseDeadlines::PendingResponse> ResponseDeadlines::TakeDue(
  Time now)
{
  std::vector<PendingResponse> due;
  while (!this->Pending.empty() && this->Pending.front().Deadline <= now) {
    due.push_back(this->Pending.front());
    this->Pending.pop_front();
  }
  return due;
}

} // namespace cobaltgauge::core
