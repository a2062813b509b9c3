/// @file
/// How long answers usually take.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/load/load_limits.h"

namespace cobaltgauge::core {

/** \class AnswerTime
 * \brief A running mean of the times that answers take.
 */
class AnswerTime
{
public:
  void OnAnswer(Duration took)
  {
    const double seconds = std::chrono::duration<double>(took).count();
    // The first few count alike.
    ++this->Answers;
    const double weight =
      std::max(1.0 / static_cast<double>(this->Answers), kLatestAnswerWeight);
    this->Mean += weight * (seconds - this->Mean);
  }

  /// Tell whether enough is known to call an answer late.
  bool IsKnown() const { return this->Answers >= kAnswersBeforeShort; }

  Duration Get() const
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->Mean));
  }

private:
  std::uint64_t Answers = 0;
  double Mean = 0; ///< In seconds.
};

} // namespace cobaltgauge::core
