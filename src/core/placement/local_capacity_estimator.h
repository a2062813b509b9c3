/// @file
/// Capacity of zones, estimated from the openings of this daemon.
#pragma once

#include <map>
#include <utility>

#include "core/load/load_statistics.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class LocalCapacityEstimator
 * \brief Estimates the used capacity of zones from the outcomes of openings.
 *
 * Used while fleet statistics are missing.  A zone with typical response times
 * and without rejections counts as idle, as one daemon has too few samples for
 * a finer estimate.
 */
class LocalCapacityEstimator
  : public OpeningListener
  , public CapacityView
{
public:
  void OnOpeningEnded(const OpeningResult& result, Time now) override;

  std::optional<ZoneCapacity> GetZoneCapacity(ServiceId service,
                                              ZoneId zone,
                                              Time now) const override;

private:
  struct ZoneSamples
  {
    Time UpdatedAt{};
    // Sums with exponential decay.
    double Ended = 0;
    double Rejected = 0;
    double Served = 0;
    double ResponseSeconds = 0;

    double BaselineSeconds = 0; ///< Typical response time.
    double BaselineSamples = 0; ///< Number of samples of the baseline.

    /// Decay the sums up to a time.
    void Decay(Time now);
    /// Get the ratio of the mean response time to the baseline; one if there
    /// are too few samples.
    double GetSlowdown() const;
    /// \param seconds the response time.
    /// \param elapsed time since the previous sample.
    void UpdateBaseline(double seconds, Duration elapsed);
  };

  std::map<ServiceId, std::map<ZoneId, ZoneSamples>> Services;
};

} // namespace cobaltgauge::core
