/// @file
/// Response times of backends as observed by this daemon, used to place new
/// flows at faster backends.  See docs/design/006-outlier-detection.md.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class ResponseTimeTracker
 * \brief Compares the response times of a backend with those of its service.
 *
 * A backend is slow if its moving average is well above the median of its
 * service.  The median is estimated in small steps, so that a minority of slow
 * backends has little effect on it.
 */
class ResponseTimeTracker
{
public:
  void OnResponse(BackendId backend,
                  ServiceId service,
                  Duration responseTime,
                  Time now);

  /// Get the response time of a backend relative to its service's median.
  /// \return 1 if the backend is not slow or has too few recent responses.
  double GetSlowdown(BackendId backend, ServiceId service, Time now) const;

  /// Remove a backend that restarted.
  void Remove(BackendId backend) { this->Means.erase(backend); }

  /// Remove backends without recent responses.
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
