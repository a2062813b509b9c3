#include "core/outlier/response_time_tracker.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Weight of the latest response time in the moving average.
constexpr double kLatestSampleWeight = 0.3;
/// Relative change of the median estimate for each sample.
constexpr double kMedianStepRatio = 0.03;

double ToSeconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

void ResponseTimeTracker::OnResponse(BackendId backend,
                                     ServiceId service,
                                     Duration responseTime,
                                     Time now)
{
  const double seconds = ToSeconds(responseTime);
  double& median = this->Medians.try_emplace(service, seconds).first->second;
  median *= seconds > median ? 1.0 + kMedianStepRatio : 1.0 - kMedianStepRatio;

  Mean& mean = this->Means[backend];
  const bool isFirstSample =
    mean.Samples == 0 || now - mean.UpdatedAt > kResponseTimeTtl;
  mean.Seconds = isFirstSample
    ? seconds
    : mean.Seconds + kLatestSampleWeight * (seconds - mean.Seconds);
  mean.Samples = isFirstSample ? 1 : mean.Samples + 1;
  mean.UpdatedAt = now;
}

double ResponseTimeTracker::GetSlowdown(BackendId backend,
                                        ServiceId service,
                                        Time now) const
{
  const auto mean = this->Means.find(backend);
  const auto median = this->Medians.find(service);
  if (mean == this->Means.end() || median == this->Medians.end() ||
      mean->second.Samples < kMinResponsesForMean ||
      now - mean->second.UpdatedAt > kResponseTimeTtl) {
    return 1.0;
  }
  const double slowdown = mean->second.Seconds / median->second;
  return slowdown < kSlowLatencyRatio ? 1.0
                                      : std::min(slowdown, kMaxLatencyRatio);
}

void ResponseTimeTracker::Expire(Time now)
{
  std::erase_if(this->Means, [now](const auto& item) {
    return now - item.second.UpdatedAt > kResponseTimeTtl;
  });
}

} // namespace cobaltgauge::core
