#include "core/outlier/outlier_detector.h"

#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void OutlierDetector::Evidence::RemoveBefore(Time before)
{
  std::erase_if(this->LatestByReporter,
                [before](const auto& item) { return item.second < before; });
}

bool OutlierDetector::IsLocalFaultLikely() const
{
  const std::uint64_t late = this->LateCount + this->PreviousLateCount;
  const std::uint64_t responses = this->Responses + this->PreviousResponses;
  return late * kMinResponsesPerLate > responses;
}

void OutlierDetector::OnLateResponse(BackendId backend)
{
  ++this->LateCount;
  ++this->Counters.LateResponses;
  // A high share of late responses points to this daemon or its links.
  if (this->IsLocalFaultLikely()) {
    ++this->Counters.Withheld;
    return;
  }
  if (this->PendingObservations.size() < kMaxObservations) {
    this->PendingObservations.push_back({ backend, this->Reporter });
  }
}

OutlierReport OutlierDetector::TakeReport()
{
  return { std::exchange(this->PendingObservations, {}) };
}

std::vector<BackendId> OutlierDetector::ProcessReport(
  const OutlierReport& report,
  Time now)
{
  std::vector<BackendId> detected;
  for (const OutlierObservation& observation : report.observations) {
    Evidence& evidence = this->EvidenceByBackend[observation.backend];
    evidence.LatestByReporter[observation.reporter] = now;
    evidence.RemoveBefore(now - kOutlierEvidenceWindow);
    if (evidence.LatestByReporter.size() < kMinOutlierReporters) {
      continue;
    }
    const auto [outlier, isNew] = this->Outliers.insert_or_assign(
      observation.backend, now + kOutlierEjectionTime);
    if (isNew) {
      ++this->Counters.Detected;
      detected.push_back(observation.backend);
    }
  }
  return detected;
}

void OutlierDetector::SetOutliers(const std::vector<BackendId>& outliers,
                                  Time now)
{
  this->Outliers.clear();
  for (const BackendId backend : outliers) {
    this->Outliers[backend] = now + kOutlierEjectionTime;
  }
}

void OutlierDetector::Expire(Time now)
{
  std::erase_if(this->Outliers,
                [now](const auto& item) { return item.second <= now; });
  if (now < this->PeriodEnd) {
    return;
  }
  this->PeriodEnd = now + kOutlierEvidenceWindow;
  this->PreviousResponses = std::exchange(this->Responses, 0);
  this->PreviousLateCount = std::exchange(this->LateCount, 0);
  for (auto& [backend, evidence] : this->EvidenceByBackend) {
    evidence.RemoveBefore(now - kOutlierEvidenceWindow);
  }
  std::erase_if(this->EvidenceByBackend, [](const auto& item) {
    return item.second.LatestByReporter.empty();
  });
}

std::vector<BackendId> OutlierDetector::GetOutliers() const
{
  std::vector<BackendId> list;
  for (const auto& [backend, ends] : this->Outliers) {
    if (list.size() < kMaxReportedOutliers) {
      list.push_back(backend);
    }
  }
  return list;
}

} // namespace cobaltgauge::core
