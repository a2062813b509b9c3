/// @file
/// The part of ViewRelay that carries what daemons observe of back ends.
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
  this->OnReport(report, now);
}

void ViewRelay::OnReport(const OutlierReport& report, Time now)
{
  if (!this->Seeds.IsSelfSeed()) {
    return;
  }
  const std::vector<BackendId> found =
    this->Outliers.ProcessReport(report, now);
  this->FoundOutliers.insert(
    this->FoundOutliers.end(), found.begin(), found.end());
  if (!found.empty()) {
    this->Push(now);
  }
}

std::vector<BackendId> ViewRelay::TakeFoundOutliers()
{
  return std::exchange(this->FoundOutliers, {});
}

bool ViewRelay::IsDecider(const Endpoint& sender) const
{
  return !this->Seeds.IsSelfSeed() &&
    (this->Seeds.Contains(sender) || this->Upstream == sender);
}

} // namespace cobaltgauge::core
