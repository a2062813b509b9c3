#include "core/placement/local_capacity_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "core/placement/placement_limits.h"
#include "core/placement/queueing_model.h"

namespace cobaltgauge::core {
namespace {

double GetWeight(Duration age, Duration decayTime)
{
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(decayTime));
}

} // namespace

void LocalCapacityEstimator::ZoneSamples::Decay(Time now)
{
  const double weight = GetWeight(now - this->UpdatedAt, kSampleDecayTime);
  for (double* sum : { &this->Ended,
                       &this->Rejected,
                       &this->Served,
                       &this->ResponseSeconds }) {
    *sum *= weight;
  }
  this->UpdatedAt = now;
}

double LocalCapacityEstimator::ZoneSamples::GetSlowdown() const
{
  const bool isReliable = this->Served >= kMinSampleWeight &&
    this->BaselineSamples >= kMinSampleWeight;
  return isReliable
    ? this->ResponseSeconds / this->Served / this->BaselineSeconds
    : 1;
}

void LocalCapacityEstimator::ZoneSamples::UpdateBaseline(double seconds,
                                                         Duration elapsed)
{
  this->BaselineSamples += 1;
  // The weight grows with the time since the previous sample; the first
  // samples have equal weight.  While responses are slow, the baseline adapts
  // more slowly.
  const double weight = this->GetSlowdown() < kSlowResponseRatio
    ? std::max(1 - GetWeight(elapsed, kBaselineDecayTime),
               1 / std::min(this->BaselineSamples, kBaselineMaxSamples))
    : 1 - GetWeight(elapsed, kBaselineDecayTimeUnderLoad);
  this->BaselineSeconds += weight * (seconds - this->BaselineSeconds);
}

void LocalCapacityEstimator::OnOpeningEnded(const OpeningResult& result,
                                            Time now)
{
  ZoneSamples& samples = this->Services[result.Service][result.Zone];
  const Duration elapsed =
    samples.UpdatedAt == Time{} ? Duration{} : now - samples.UpdatedAt;
  samples.Decay(now);
  samples.Ended += 1;
  if (result.Outcome != OpeningOutcome::kServed) {
    const bool isRejected = result.Outcome != OpeningOutcome::kUnanswered;
    samples.Rejected += isRejected ? 1 : 0;
    return;
  }
  const double seconds = std::chrono::duration<double>(result.Elapsed).count();
  samples.Served += 1;
  samples.ResponseSeconds += seconds;
  samples.UpdateBaseline(seconds, elapsed);
}

std::optional<ZoneCapacity> LocalCapacityEstimator::GetZoneCapacity(
  ServiceId service,
  ZoneId zone,
  Time now) const
{
  const auto zones = this->Services.find(service);
  if (zones == this->Services.end()) {
    return std::nullopt;
  }
  const auto found = zones->second.find(zone);
  ZoneSamples samples =
    found == zones->second.end() ? ZoneSamples{} : found->second;
  samples.Decay(now);
  if (samples.Ended < kMinSampleWeight) {
    return ZoneCapacity{ GetRequestsPerSlot(kUnsampledUtilization),
                         0,
                         kSampleDecayTime };
  }
  ZoneCapacity capacity;
  capacity.RejectedShare = samples.Rejected / samples.Ended;
  capacity.Age = kSampleDecayTime;
  const double slowdown = samples.GetSlowdown();
  if (slowdown >= kSlowResponseRatio) {
    // The mean response time of an M/M/2 queue is the service time divided by
    // 1 - r^2.
    const double utilization =
      std::min(std::sqrt(1 - 1 / slowdown), kMaxSlotUtilization);
    capacity.Utilization = GetRequestsPerSlot(utilization);
  } else if (capacity.RejectedShare >= kZoneOverloadRejectedShare) {
    // Response times do not show the load when few openings are served.
    capacity.Utilization = GetRequestsPerSlot(kMaxSlotUtilization);
  }
  return capacity;
}

} // namespace cobaltgauge::core
