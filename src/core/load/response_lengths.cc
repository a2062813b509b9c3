#include "core/load/response_lengths.h"

#include <algorithm>

namespace cobaltgauge::core {

void ResponseLengths::Add(std::uint32_t bytes)
{
  if (this->MaxShortBytes != 0 && this->IsShort(bytes) &&
      ++this->ShortResponses % kShortResponsesPerSample != 0) {
    return;
  }
  this->Lengths[this->Next] = bytes;
  this->Next = (this->Next + 1) % this->Lengths.size();
  this->Samples = std::min(this->Samples + 1, this->Lengths.size());
  if (this->Samples >= kMinResponseSamples) {
    this->UpdateThreshold();
  }
}

void ResponseLengths::UpdateThreshold()
{
  auto sorted = this->Lengths;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->Samples);
  const auto quartile =
    sorted.begin() + static_cast<std::ptrdiff_t>(this->Samples * 3 / 4);
  std::nth_element(sorted.begin(), quartile, end);
  const std::uint32_t limit =
    std::min(*quartile / kTypicalToShortRatio, kMaxRejectionBytes);
  const auto nearShort =
    std::count_if(sorted.begin(), end, [limit](std::uint32_t length) {
      return length > limit && length <= 2 * limit;
    });
  const bool isStable =
    static_cast<std::size_t>(nearShort) * kMinResponsesPerNearShort <=
    this->Samples;
  this->MaxShortBytes = isStable ? limit : 0;
}

} // namespace cobaltgauge::core
