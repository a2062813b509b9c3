/// @file
/// Reasons to put a back end last that a daemon always looks at.
#pragma once

#include <vector>

#include "core/backend_health.h"
#include "core/outlier/outlier_detector.h"
#include "core/placement/demotion.h"

namespace cobaltgauge::core {

/** \class SuspectDemotion
 * \brief Put back ends last that left this daemon's callers unanswered.
 */
class SuspectDemotion : public Demotion
{
public:
  /// \param health outlives this.
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

/** \class OutlierDemotion
 * \brief Put outliers last, where they are few among the candidates.
 *
 * Where many are outliers, the cause lies elsewhere, and none counts.
 */
class OutlierDemotion : public Demotion
{
public:
  /// \param detector outlives this; null for none.
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
