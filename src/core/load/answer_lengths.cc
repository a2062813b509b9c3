#include "core/load/answer_lengths.h"

#include <algorithm>

namespace cobaltgauge::core {

void AnswerLengths::OnAnswer(std::uint32_t bytes)
{
  if (this->ShortUpTo != 0 && this->IsShort(bytes) &&
      ++this->ShortSeen % kShortPerRemembered != 0) {
    return;
  }
  this->Lengths[this->Next] = bytes;
  this->Next = (this->Next + 1) % this->Lengths.size();
  this->Known = std::min(this->Known + 1, this->Lengths.size());
  if (this->Known >= kAnswersBeforeShort) {
    this->Learn();
  }
}

void AnswerLengths::Learn()
{
  auto sorted = this->Lengths;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->Known);
  const auto quartile =
    sorted.begin() + static_cast<std::ptrdiff_t>(this->Known * 3 / 4);
  std::nth_element(sorted.begin(), quartile, end);
  const std::uint32_t limit =
    std::min(*quartile / kUsualPerShort, kLongestRejection);
  const auto near =
    std::count_if(sorted.begin(), end, [limit](std::uint32_t length) {
      return length > limit && length <= 2 * limit;
    });
  const bool isStable =
    static_cast<std::size_t>(near) * kAnswersPerNearShort <= this->Known;
  this->ShortUpTo = isStable ? limit : 0;
}

} // namespace cobaltgauge::core
