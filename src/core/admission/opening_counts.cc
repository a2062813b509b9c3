#include "core/admission/opening_counts.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "core/admission/admission_limits.h"

namespace cobaltgauge::core {
namespace {

std::int64_t IntervalNumberAt(Time now)
{
  return now / kAdmissionInterval;
}

} // namespace

double OpeningStatistics::CountOffered() const
{
  double offered = 0;
  for (const auto& [priority, count] : this->Offered) {
    offered += count;
  }
  return offered;
}

double OpeningStatistics::GetRejectedShare() const
{
  const double results = std::max(this->CountResults(), 1U);
  return this->Rejected / results;
}

bool RejectionDistribution::IndicatesOverload() const
{
  return this->ExpectedByServing >= kMinExpectedForOverload &&
    this->ByServing >= kOverloadRatio * this->ExpectedByServing;
}

bool RejectionDistribution::IndicatesFaults() const
{
  return this->ExpectedByServing >= kMinExpectedForFaults &&
    this->ByServing < kFaultRatio * this->ExpectedByServing;
}

void OpeningCounts::OnOffered(std::uint32_t priority, double weight, Time now)
{
  this->GetInterval(now).Offered[priority] += weight;
}

void OpeningCounts::OnAdmitted(double weight, Time now)
{
  this->GetInterval(now).Admitted += weight;
}

void OpeningCounts::OnResult(const OpeningResult& result, Time now)
{
  if (result.Outcome != OpeningOutcome::kUnanswered) {
    ++this->TotalResults;
    const bool rejected = result.Outcome != OpeningOutcome::kServed;
    this->GetInterval(now).Results.push_back({ result.Backend, rejected });
  }
}

void OpeningCounts::Expire(Time now)
{
  const std::int64_t oldest = IntervalNumberAt(now) -
    static_cast<std::int64_t>(kAdmissionWindowIntervals) + 1;
  while (!this->Intervals.empty() && this->Intervals.front().Number < oldest) {
    this->Intervals.pop_front();
  }
}

OpeningStatistics OpeningCounts::GetStatistics(std::size_t minIntervals,
                                               std::uint32_t targetResults,
                                               Time now) const
{
  OpeningStatistics statistics;
  std::int64_t firstInterval = IntervalNumberAt(now);
  for (auto interval = this->Intervals.rbegin();
       interval != this->Intervals.rend();
       ++interval) {
    const bool isRecent = IntervalNumberAt(now) - interval->Number <
      static_cast<std::int64_t>(minIntervals);
    if (!isRecent && statistics.CountResults() >= targetResults) {
      break;
    }
    firstInterval = interval->Number;
    for (const auto& [priority, count] : interval->Offered) {
      statistics.Offered[priority] += count;
    }
    for (const Result& result : interval->Results) {
      ++(result.Rejected ? statistics.Rejected : statistics.Served);
    }
  }
  double admitted = 0;
  double results = 0;
  for (const Interval& interval : this->Intervals) {
    admitted += interval.Admitted;
    results += static_cast<double>(interval.Results.size());
  }
  statistics.AdmittedPerResult =
    std::clamp(admitted / std::max(results, 1.0), 1.0, kMaxAdmittedPerResult);
  const Duration span = now - firstInterval * kAdmissionInterval;
  statistics.Seconds = std::chrono::duration<double>(span).count();
  return statistics;
}

RejectionDistribution OpeningCounts::GetRejectionDistribution() const
{
  struct BackendHistory
  {
    std::uint32_t Rejected = 0;
    std::int64_t FirstRejectedInterval = 0;
    std::uint32_t LaterResults = 0; ///< After its queue drained.
    bool ServedLater = false;       ///< Any of LaterResults.
  };
  std::unordered_map<BackendId, BackendHistory> histories;
  std::uint32_t results = 0;
  RejectionDistribution distribution;
  for (const Interval& interval : this->Intervals) {
    for (const Result& result : interval.Results) {
      BackendHistory& history = histories[result.Backend];
      ++results;
      // Requests queued before the first rejection may still be served.
      const bool isLater = history.Rejected != 0 &&
        interval.Number - history.FirstRejectedInterval >=
          kQueueDrainIntervals;
      history.LaterResults += isLater ? 1U : 0U;
      history.ServedLater =
        history.ServedLater || (isLater && !result.Rejected);
      if (result.Rejected) {
        history.FirstRejectedInterval = history.Rejected == 0
          ? interval.Number
          : history.FirstRejectedInterval;
        ++history.Rejected;
        ++distribution.Rejections;
      }
    }
  }
  const double rejectedShare =
    distribution.Rejections / std::max<double>(results, 1);
  for (const auto& [backend, history] : histories) {
    distribution.ByServing += history.ServedLater ? history.Rejected : 0;
    distribution.ExpectedByServing +=
      history.Rejected * (1.0 - std::pow(rejectedShare, history.LaterResults));
  }
  return distribution;
}

OpeningCounts::Interval& OpeningCounts::GetInterval(Time now)
{
  const std::int64_t number = IntervalNumberAt(now);
  if (this->Intervals.empty() || this->Intervals.back().Number < number) {
    this->Intervals.push_back({ number, {}, 0, {} });
    this->Expire(now);
  }
  return this->Intervals.back();
}

} // namespace cobaltgauge::core
