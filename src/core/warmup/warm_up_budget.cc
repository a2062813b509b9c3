#include "core/warmup/warm_up_budget.h"

#include <algorithm>
#include <cmath>

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Maps a hash to the range from 0 to 1.
double ToFraction(std::uint64_t hash)
{
  return std::ldexp(static_cast<double>(hash), -64);
}

} // namespace

std::uint32_t WarmUpBudget::GetLimit(BackendId backend, double perSecond) const
{
  const std::uint32_t daemons = std::max(this->DaemonCount, 1U);
  const double share = perSecond * kWarmUpShare / daemons;
  const double integerPart = std::floor(share);
  const std::uint64_t hash =
    mixHash(this->DaemonId, static_cast<std::uint64_t>(backend));
  const bool roundsUp = ToFraction(hash) < share - integerPart;
  return static_cast<std::uint32_t>(integerPart) + (roundsUp ? 1 : 0);
}

bool WarmUpBudget::AllowsOpening(BackendId backend,
                                 double perSecond,
                                 Time now) const
{
  const auto openings = this->Openings.find(backend);
  const auto recentOpenings = openings == this->Openings.end()
    ? 0
    : std::count_if(openings->second.begin(),
                    openings->second.end(),
                    [now](Time at) { return now - at < kWarmUpWindow; });
  return static_cast<std::uint32_t>(recentOpenings) <
    this->GetLimit(backend, perSecond);
}

void WarmUpBudget::OnOpening(BackendId backend, Time now)
{
  this->Openings[backend].push_back(now);
}

void WarmUpBudget::Expire(Time now)
{
  for (auto& [backend, times] : this->Openings) {
    while (!times.empty() && now - times.front() >= kWarmUpWindow) {
      times.pop_front();
    }
  }
  std::erase_if(this->Openings,
                [](const auto& item) { return item.second.empty(); });
}

} // namespace cobaltgauge::core
