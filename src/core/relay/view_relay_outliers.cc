/// @file
/// The part of ViewRelay that carries what daemons observe of back ends.
#include <utility>

#include "core/relay/view_relay.h"

namespace cobaltgauge::core {

void ViewRelay::ReportOutliers(Time now)
{
  this->Outliers.Expire(now);
  const OutlierReport report = this->Outliers.TakeReport();
  if (report.observations.empty() && report.unreachable.empty()) {
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
  const std::vector<BackendId> found = this->Outliers.Decide(report, now);
  this->FoundOutliers.insert(
    this->FoundOutliers.end(), found.begin(), found.end());
  const bool isNews =
    this->Outliers.GetUnreachable().Take(report.unreachable, now);
  if (!found.empty() || isNews) {
    this->Push(now);
  }
}

std::vector<BackendId> ViewRelay::TakeFoundOutliers()
{
  return std::exchange(this->FoundOutliers, {});
}

void ViewRelay::AdoptReports(const ViewUpdate& update, Time now)
{
  if (!this->IsDecider(update.sender)) {
    return;
  }
  this->Outliers.Adopt(update.outliers, now);
  // Followers of this daemon would hear of it with the next sign of life.
  if (this->Outliers.GetUnreachable().Take(update.unreachable, now)) {
    this->Push(now);
  }
}

bool ViewRelay::IsDecider(const Endpoint& sender) const
{
  return !this->Seeds.IsSelfSeed() &&
    (this->Seeds.Contains(sender) || this->Upstream == sender);
}

} // namespace cobaltgauge::core
