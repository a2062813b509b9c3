#include "core/load/load_sum.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Maximum value of the sum for the largest fleet.
constexpr std::uint32_t kMaxFleetLoad = kLargestFleet * kMaxLoadPerDaemon;

} // namespace

void LoadSum::Add(const std::vector<ZoneLoad>& loads, std::uint32_t daemons)
{
  const std::uint32_t bounded = std::min(daemons, kLargestFleet);
  const std::uint32_t max = bounded * kMaxLoadPerDaemon;
  const auto add = [max](std::uint32_t& sum, std::uint32_t claimed) {
    sum = std::min(sum + std::min(claimed, max), kMaxFleetLoad);
  };
  const std::size_t count = std::min(loads.size(), kMaxLoadsPerMessage);
  for (std::size_t i = 0; i < count; ++i) {
    const ZoneLoad& load = loads[i];
    ZoneLoad& sum = this->Loads[{ load.Service, load.Zone }];
    sum.Service = load.Service;
    sum.Zone = load.Zone;
    add(sum.InFlight, load.InFlight);
    add(sum.OpeningsInSecond, load.OpeningsInSecond);
    add(sum.RejectedInSecond, load.RejectedInSecond);
  }
  this->Daemons = std::min(this->Daemons + bounded, kLargestFleet);
}

ZoneLoad LoadSum::Get(const LoadKey& key) const
{
  const auto found = this->Loads.find(key);
  return found == this->Loads.end() ? ZoneLoad{ key.first, key.second }
                                    : found->second;
}

std::vector<ZoneLoad> LoadSum::GetLargest(std::size_t max) const
{
  std::vector<ZoneLoad> largest;
  for (const auto& [key, load] : this->Loads) {
    largest.push_back(load);
  }
  std::stable_sort(largest.begin(),
                   largest.end(),
                   [](const ZoneLoad& left, const ZoneLoad& right) {
                     return left.InFlight + left.OpeningsInSecond >
                       right.InFlight + right.OpeningsInSecond;
                   });
  largest.resize(std::min(largest.size(), max));
  return largest;
}

} // namespace cobaltgauge::core
