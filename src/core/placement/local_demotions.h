/// @file
/// Demotions based on the observations and the view of this daemon.
#pragma once

#include <vector>

#include "core/backend_health.h"
#include "core/outlier/outlier_detector.h"
#include "core/placement/demotion.h"

namespace cobaltgauge::core {

/** \class SuspectDemotion
 * \brief Deprioritizes backends that did not respond to this daemon's clients.
 */
class SuspectDemotion : public Demotion
{
public:
  /// \param health outlives this object.
  explicit SuspectDemotion(const BackendHealth& health)
    : Health(health)
  {
  }

  bool IsDeprioritized(const PlacementCandidate& candidate,
                       Time now) const override
  {
    return this->Health.isSuspected(candidate.id, now);
  }

private:
  const BackendHealth& Health;
};

/** \class ContestedAddressDemotion
 * \brief Deprioritizes backends whose address seems to have been reassigned.
 */
class ContestedAddressDemotion : public Demotion
{
public:
  bool IsDeprioritized(const PlacementCandidate& candidate,
                       Time /*now*/) const override
  {
    return candidate.isContested;
  }
};

/** \class OutlierDemotion
 * \brief Deprioritizes outliers if they are few among the candidates.
 *
 * If many candidates are outliers, the cause is not in the backends, and none
 * is deprioritized.
 */
class OutlierDemotion : public Demotion
{
public:
  /// \param detector outlives this object; may be null.
  void SetDetector(const OutlierDetector* detector)
  {
    this->Detector = detector;
  }

  void Prepare(const std::vector<PlacementCandidate>& candidates,
               Time now) override;

  bool IsDeprioritized(const PlacementCandidate& candidate,
                       Time now) const override;

private:
  const OutlierDetector* Detector = nullptr;
  bool IsApplied = false;
};

} // namespace cobaltgauge::core
