/// @file
/// Average response time.
#pragma once

#include <algorithm>
#include <cstdint>

#include "core/load/load_limits.h"

namespace cobaltgauge::core {

/** \class ResponseTimeAverage
 * \brief Exponentially weighted moving average of response times.
 */
class ResponseTimeAverage
{
public:
  void Add(Duration duration)
  {
    const double seconds = std::chrono::duration<double>(duration).count();
    // The first samples have equal weight.
    ++this->Samples;
    const double weight = std::max(1.0 / static_cast<double>(this->Samples),
                                   kMinResponseTimeWeight);
    this->Mean += weight * (seconds - this->Mean);
  }

  /// Return whether there are enough samples to classify a response as late.
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
