#include "core/outlier/answer_times.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Weight of the latest answer in a mean.
constexpr double kLatestWeight = 0.3;
/// How far a sample moves the median, as a share of it.
constexpr double kMedianStep = 0.03;

double ToSeconds(Duration duration)
{
  return std::chrono::duration<double>(duration).count();
}

} // namespace

void AnswerTimes::OnAnswer(BackendId backend,
                           ServiceId service,
                           Duration took,
                           Time now)
{
  const double seconds = ToSeconds(took);
  double& median = this->Medians.try_emplace(service, seconds).first->second;
  median *= seconds > median ? 1.0 + kMedianStep : 1.0 - kMedianStep;

  Mean& mean = this->Means[backend];
  const bool isFirst =
    mean.Samples == 0 || now - mean.LastAt > kResponseTimeTtl;
  mean.Seconds = isFirst
    ? seconds
    : mean.Seconds + kLatestWeight * (seconds - mean.Seconds);
  mean.Samples = isFirst ? 1 : mean.Samples + 1;
  mean.LastAt = now;
}

double AnswerTimes::GetSlowness(BackendId backend,
                                ServiceId service,
                                Time now) const
{
  const auto mean = this->Means.find(backend);
  const auto median = this->Medians.find(service);
  if (mean == this->Means.end() || median == this->Medians.end() ||
      mean->second.Samples < kMinResponsesForMean ||
      now - mean->second.LastAt > kResponseTimeTtl) {
    return 1.0;
  }
  const double ratio = mean->second.Seconds / median->second;
  return ratio < kSlowLatencyRatio ? 1.0 : std::min(ratio, kMaxLatencyRatio);
}

void AnswerTimes::Expire(Time now)
{
  std::erase_if(this->Means, [now](const auto& item) {
    return now - item.second.LastAt > kResponseTimeTtl;
  });
}

} // namespace cobaltgauge::core
