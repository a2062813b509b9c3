#include "core/outlier/outlier_detector.h"

#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void OutlierDetector::Evidence::Forget(Time before)
{
  std::erase_if(this->LateAt,
                [before](const auto& item) { return item.second < before; });
}

bool OutlierDetector::SuspectsItself() const
{
  const std::uint64_t late = this->Late + this->LateBefore;
  const std::uint64_t answered = this->Answered + this->AnsweredBefore;
  return late * kMinResponsesPerLate > answered;
}

void OutlierDetector::OnLate(BackendId backend)
{
  ++this->Late;
  ++this->Counters.LateAnswers;
  // Where much is late, this daemon or its links are the likelier cause.
  if (this->SuspectsItself()) {
    ++this->Counters.Withheld;
    return;
  }
  if (this->Pending.size() < kMaxObservations) {
    this->Pending.push_back({ backend, this->Reporter });
  }
}

OutlierReport OutlierDetector::TakeReport()
{
  return { std::exchange(this->Pending, {}) };
}

std::vector<BackendId> OutlierDetector::Decide(const OutlierReport& report,
                                               Time now)
{
  std::vector<BackendId> found;
  for (const OutlierObservation& observation : report.observations) {
    Evidence& evidence = this->Observed[observation.backend];
    evidence.LateAt[observation.reporter] = now;
    evidence.Forget(now - kOutlierEvidenceWindow);
    if (evidence.LateAt.size() < kMinOutlierReporters) {
      continue;
    }
    const auto [outlier, isNew] = this->Outliers.insert_or_assign(
      observation.backend, now + kOutlierEjectionTime);
    if (isNew) {
      ++this->Counters.Found;
      found.push_back(observation.backend);
    }
  }
  return found;
}

void OutlierDetector::Adopt(const std::vector<BackendId>& outliers, Time now)
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
  if (now < this->PeriodEnds) {
    return;
  }
  this->PeriodEnds = now + kOutlierEvidenceWindow;
  this->AnsweredBefore = std::exchange(this->Answered, 0);
  this->LateBefore = std::exchange(this->Late, 0);
  for (auto& [backend, evidence] : this->Observed) {
    evidence.Forget(now - kOutlierEvidenceWindow);
  }
  std::erase_if(this->Observed,
                [](const auto& item) { return item.second.LateAt.empty(); });
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
