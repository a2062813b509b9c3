#include "core/outlier/answer_deadlines.h"

#include "core/constants.h"

namespace cobaltgauge::core {

void AnswerDeadlines::Expect(FlowFingerprint flow,
                             std::uint32_t dataEnd,
                             Time now)
{
  if (this->Waiting.size() < kMaxPendingResponses) {
    this->Waiting.push_back({ flow, dataEnd, now + kLateResponseThreshold });
  }
}

std::vector<AnswerDeadlines::Expected> AnswerDeadlines::TakeDue(Time now)
{
  std::vector<Expected> due;
  while (!this->Waiting.empty() && this->Waiting.front().Due <= now) {
    due.push_back(this->Waiting.front());
    this->Waiting.pop_front();
  }
  return due;
}

} // namespace cobaltgauge::core
