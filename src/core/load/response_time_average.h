/// @file
/// How long answers usually take.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/load/load_limits.h"

namespace cobaltgauge::core {

/** \class ResponseTimeAverage
 * \brief A running mean of the times that answers take.
 */
class ResponseTimeAverage
{
public:
  void Add(Duration duration)
  {
    const double seconds = std::chrono::duration<double>(duration).count();
    // The first few count alike.
    ++this->Samples;
    const double weight = std::max(1.0 / static_cast<double>(this->Samples),
                                   kMinResponseTimeWeight);
    this->Mean += weight * (seconds - this->Mean);
  }

  /// Tell whether enough is known to call an answer late.
  bool HasEnoughSamples() const
  {
    return this->Samples >= kMinResponseSamples;
  }

  Duration Get() const
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->Mean));
  }

private:
  std::uint64_t Samples = 0;
  double Mean = 0; ///< In seconds.
};

} // namespace cobaltgauge::core
