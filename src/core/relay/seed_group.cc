#include "core/relay/seed_group.h"

#include <algorithm>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/route_table.h"

namespace cobaltgauge::core {

void SeedGroup::Set(const std::vector<Endpoint>& seeds)
{
  this->Others = seeds;
  this->SelfIsSeed = std::erase(this->Others, this->Self) != 0;
  // Each daemon prefers seeds in an order of its own, which spreads followers.
  const std::uint64_t own = EndpointHash{}(this->Self);
  std::sort(this->Others.begin(),
            this->Others.end(),
            [own](const Endpoint& left, const Endpoint& right) {
              return mixHash(own, EndpointHash{}(left)) <
                mixHash(own, EndpointHash{}(right));
            });
}

bool SeedGroup::Contains(const Endpoint& daemon) const
{
  return std::find(this->Others.begin(), this->Others.end(), daemon) !=
    this->Others.end();
}

void SeedGroup::OnUpdate(const ViewUpdate& update,
                         const RelayTiming& timing,
                         Time now)
{
  if (!this->Contains(update.sender)) {
    return;
  }
  this->HeardAt = now;
  // Parts and daemons without a view say nothing about the store, and what is
  // no answer may have waited.
  if (update.echoUs == 0 || update.confirmedUs == 0) {
    return;
  }
  const Duration age(static_cast<Duration::rep>(update.clockUs) -
                     static_cast<Duration::rep>(update.confirmedUs));
  const bool isFailing = age >= timing.SeedReadsAfter + kSeedReadAttemptWindow;
  this->FailedAt = isFailing ? now : Time{};
}

void SeedGroup::OnTick(Time now)
{
  if (this->HeardAt == Time{}) {
    this->HeardAt = now;
  }
}

bool SeedGroup::IsCovered(Time now) const
{
  return !this->SelfIsSeed && !this->Others.empty() &&
    now - this->HeardAt < kSeedLivenessWindow;
}

bool SeedGroup::HasFailed(Time now) const
{
  return this->FailedAt != Time{} &&
    now - this->FailedAt < kSeedLivenessWindow;
}

} // namespace cobaltgauge::core
