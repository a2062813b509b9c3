#include "core/relay/follower_leases.h"

#include <algorithm>

#include "core/constants.h"
#include "core/relay/nearness.h"

namespace cobaltgauge::core {

bool FollowerLeases::Grant(const Endpoint& follower,
                           std::uint32_t daemons,
                           Time now)
{
  const bool isFull = this->Leases.size() >= kMaxFollowers ||
    this->CountNearer(follower) >= kMaxRemoteFollowers;
  if (isFull && this->Leases.count(follower) == 0) {
    return false;
  }
  this->Leases[follower] = { now + kSubscriptionLease, daemons };
  return true;
}

void FollowerLeases::Expire(Time now)
{
  std::erase_if(this->Leases,
                [now](const auto& item) { return item.second.Ends <= now; });
}

std::vector<Endpoint> FollowerLeases::List() const
{
  std::vector<Endpoint> list;
  for (const auto& [follower, lease] : this->Leases) {
    list.push_back(follower);
  }
  return list;
}

std::uint32_t FollowerLeases::CountTree() const
{
  std::uint32_t daemons = 1;
  for (const auto& [follower, lease] : this->Leases) {
    daemons += std::min(lease.Daemons, kMaxFleetSize);
  }
  return std::min(daemons, kMaxFleetSize);
}

std::size_t FollowerLeases::CountNearer(const Endpoint& asking) const
{
  const std::size_t own = CountSharedBytes(this->Self, asking);
  return static_cast<std::size_t>(
    std::count_if(this->Leases.begin(),
                  this->Leases.end(),
                  [&asking, own](const auto& item) {
                    return item.first != asking &&
                      CountSharedBytes(item.first, asking) > own;
                  }));
}

std::vector<Endpoint> FollowerLeases::NameSome(const Endpoint& asking) const
{
  std::vector<Endpoint> some = this->List();
  std::erase(some, asking);
  std::stable_sort(some.begin(),
                   some.end(),
                   [&asking](const Endpoint& left, const Endpoint& right) {
                     return CountSharedBytes(left, asking) >
                       CountSharedBytes(right, asking);
                   });
  some.resize(std::min(some.size(), kAdvertisedPeers));
  return some;
}

} // namespace cobaltgauge::core
