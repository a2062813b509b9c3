#include "core/placement/own_demotions.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {

void OutlierDemotion::Consider(
  const std::vector<PlacementCandidate>& candidates,
  Time /*now*/)
{
  this->Counts = false;
  const std::size_t outliers =
    this->Detector == nullptr ? 0 : this->Detector->CountOutliers();
  if (outliers == 0) {
    return;
  }
  if (outliers * kMinBackendsPerOutlier <= candidates.size()) {
    this->Counts = true;
    return;
  }
  const auto found = static_cast<std::size_t>(
    std::count_if(candidates.begin(),
                  candidates.end(),
                  [this](const PlacementCandidate& candidate) {
                    return this->Detector->IsOutlier(candidate.id);
                  }));
  this->Counts =
    found != 0 && found * kMinBackendsPerOutlier <= candidates.size();
}

bool OutlierDemotion::ComesLast(const PlacementCandidate& candidate,
                                Time /*now*/) const
{
  return this->Counts && this->Detector->IsOutlier(candidate.id);
}

} // namespace cobaltgauge::core
