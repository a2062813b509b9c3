/// @file
/// How long back ends take to answer, as this daemon sees it, so that new
/// flows go to those that are quick.  See
/// docs/design/006-outlier-detection.md.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class AnswerTimes
 * \brief Compare a back end's answers with those of its service.
 *
 * A back end counts as slow where its running mean is well above the median
 * of its service.  The median is tracked by small steps, so that a third of
 * the back ends being slow hardly moves it.
 */
class ResponseTimeTracker
{
public:
  void OnResponse(BackendId backend,
                  ServiceId service,
                  Duration responseTime,
                  Time now);

  /// Get how many times longer than usual a back end takes.
  /// \return 1 where it is not slow, or too little was seen of it lately.
  double GetSlowdown(BackendId backend, ServiceId service, Time now) const;

  /// Forget a back end that has started anew.
  void Remove(BackendId backend) { this->Means.erase(backend); }

  /// Forget back ends that have not answered for kAnswerTimesMemory.
  void Expire(Time now);

private:
  struct Mean
  {
    double Seconds = 0;
    std::uint32_t Samples = 0;
    Time UpdatedAt{};
  };

  std::unordered_map<BackendId, Mean> Means;
  std::unordered_map<ServiceId, double> Medians; ///< In seconds.
};

} // namespace cobaltgauge::core
