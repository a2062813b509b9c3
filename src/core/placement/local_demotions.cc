#include "core/placement/local_demotions.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {

void OutlierDemotion::Prepare(
  const std::vector<PlacementCandidate>& candidates,
  Time /*now*/)
{
  this->IsApplied = false;
  const std::size_t outliers =
    this->Detector == nullptr ? 0 : this->Detector->CountOutliers();
  if (outliers == 0) {
    return;
  }
  if (outliers * kBackendsPerOutlier <= candidates.size()) {
    this->IsApplied = true;
    return;
  }
  const auto found = static_cast<std::size_t>(
    std::count_if(candidates.begin(),
                  candidates.end(),
                  [this](const PlacementCandidate& candidate) {
                    return this->Detector->IsOutlier(candidate.id);
                  }));
  this->IsApplied =
    found != 0 && found * kBackendsPerOutlier <= candidates.size();
}

bool OutlierDemotion::IsDeprioritized(const PlacementCandidate& candidate,
                                      Time /*now*/) const
{
  return this->IsApplied && this->Detector->IsOutlier(candidate.id);
}

} // namespace cobaltgauge::core
