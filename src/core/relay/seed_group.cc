#include "core/relay/seed_group.h"

#include <algorithm>

#include "core/constants.h"
#include "core/hashing.h"
#include "core/route_table.h"

namespace cobaltgauge::core {

void SeedGroup::SetSeeds(const std::vector<Endpoint>& seeds)
{
  this->Others = seeds;
  this->SelfIsSeed = std::erase(this->Others, this->Self) != 0;
  // A different order for each daemon distributes followers among the seeds.
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
  this->LastHeardAt = now;
  // Partial updates and daemons without a view do not reflect the state of the
  // store.  An unsolicited update may have been delayed.
  if (update.echoUs == 0 || update.confirmedUs == 0) {
    return;
  }
  const Duration age(static_cast<Duration::rep>(update.clockUs) -
                     static_cast<Duration::rep>(update.confirmedUs));
  const bool isFailing =
    age >= timing.SeedReadViewAge + kSeedReadAttemptWindow;
  this->StoreFailureAt = isFailing ? now : Time{};
}

void SeedGroup::OnTick(Time now)
{
  if (this->LastHeardAt == Time{}) {
    this->LastHeardAt = now;
  }
}

bool SeedGroup::HasReachableSeed(Time now) const
{
  return !this->SelfIsSeed && !this->Others.empty() &&
    now - this->LastHeardAt < kSeedLivenessWindow;
}

bool SeedGroup::IsStoreFailing(Time now) const
{
  return this->StoreFailureAt != Time{} &&
    now - this->StoreFailureAt < kSeedLivenessWindow;
}

} // namespace cobaltgauge::core
