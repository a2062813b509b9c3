/// @file
/// Room of zones as this daemon's own openings show it.
#pragma once

#include <map>
#include <utility>

#include "core/load/load_statistics.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class LocalCapacityEstimator
 * \brief Estimate the capacity of zones from the ends of openings.
 *
 * It stands in where the fleet's figures are missing.  A zone whose answers
 * take no slowdown than usual and that rejects nothing counts as empty: a
 * daemon sees too few to tell more.
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
    double Ended = 0; ///< Weighed by age, as all below.
    double Rejected = 0;
    double Served = 0;
    double ResponseSeconds = 0; ///< Of those served.
    double BaselineSeconds = 0; ///< Usual.
    double BaselineSamples = 0; ///< That it was learned from.

    /// Let what was samples lose weight up to a time.
    void Decay(Time now);
    double GetSlowdown() const;
    void UpdateBaseline(double seconds, Duration elapsed);
  };

  std::map<ServiceId, std::map<ZoneId, ZoneSamples>> Services;
};

} // namespace cobaltgauge::core
