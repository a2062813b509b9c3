/// @file
/// Room of zones as this daemon's own openings show it.
#pragma once

#include <map>
#include <utility>

#include "core/load/load_figures.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class SeenRoom
 * \brief Estimate the room of zones from the ends of openings.
 *
 * It stands in where the fleet's figures are missing.  A zone whose answers
 * take no longer than usual and that rejects nothing counts as empty: a
 * daemon sees too few to tell more.
 */
class SeenRoom
  : public OpeningListener
  , public RoomView
{
public:
  void OnOpeningEnded(const OpeningResult& result, Time now) override;

  std::optional<ZoneRoom> GetRoom(ServiceId service,
                                  ZoneId zone,
                                  Time now) const override;

private:
  struct Seen
  {
    Time At{};
    double Ended = 0; ///< Weighed by age, as all below.
    double Rejected = 0;
    double Served = 0;
    double Seconds = 0;     ///< Of those served.
    double CalmSeconds = 0; ///< Usual.
    double CalmAnswers = 0; ///< That it was learned from.

    /// Let what was seen lose weight up to a time.
    void Fade(Time now);
    double GetLonger() const;
    void Learn(double took, Duration since);
  };

  std::map<ServiceId, std::map<ZoneId, Seen>> Services;
};

} // namespace cobaltgauge::core
