/// @file
/// ViewRelay: exchange of outlier observations.
#include <utility>

#include "core/relay/view_relay.h"

namespace cobaltgauge::core {

void ViewRelay::ReportOutliers(Time now)
{
  this->Outliers.Expire(now);
  const OutlierReport report = this->Outliers.TakeReport();
  if (report.observations.empty()) {
    return;
  }
  if (this->Seeds.HasOthers()) {
    this->Outgoing.push_back({ this->Seeds.GetOthers(), report });
  }
  this->OnOutlierReport(report, now);
}

void ViewRelay::OnOutlierReport(const OutlierReport& report, Time now)
{
  if (!this->Seeds.IsSelfSeed()) {
    return;
  }
  const std::vector<BackendId> found =
    this->Outliers.ProcessReport(report, now);
  this->DetectedOutliers.insert(
    this->DetectedOutliers.end(), found.begin(), found.end());
  if (!found.empty()) {
    this->PushUpdate(now);
  }
}

std::vector<BackendId> ViewRelay::TakeDetectedOutliers()
{
  return std::exchange(this->DetectedOutliers, {});
}

bool ViewRelay::IsOutlierAuthority(const Endpoint& sender) const
{
  return !this->Seeds.IsSelfSeed() &&
    (this->Seeds.Contains(sender) || this->Upstream == sender);
}

} // namespace cobaltgauge::core
