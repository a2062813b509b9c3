#include "core/relay/follower_leases.h"

#include <algorithm>

#include "core/constants.h"
#include "core/relay/address_proximity.h"

namespace cobaltgauge::core {

bool FollowerLeases::Grant(const Endpoint& follower,
                           std::uint32_t daemons,
                           Time now)
{
  const bool isFull = this->Leases.size() >= kMaxFollowers ||
    this->CountCloserFollowers(follower) >= kMaxRemoteFollowers;
  if (isFull && this->Leases.count(follower) == 0) {
    return false;
  }
  this->Leases[follower] = { now + kSubscriptionLease, daemons };
  return true;
}

void FollowerLeases::Expire(Time now)
{
  std::erase_if(this->Leases, [now](const auto& item) {
    return item.second.ExpiresAt <= now;
  });
}

std::vector<Endpoint> FollowerLeases::List() const
{
  std::vector<Endpoint> list;
  for (const auto& [follower, lease] : this->Leases) {
    list.push_back(follower);
  }
  return list;
}

std::uint32_t FollowerLeases::CountSubtree() const
{
  std::uint32_t daemons = 1;
  for (const auto& [follower, lease] : this->Leases) {
    daemons += std::min(lease.Daemons, kMaxFleetSize);
  }
  return std::min(daemons, kMaxFleetSize);
}

std::size_t FollowerLeases::CountCloserFollowers(
  const Endpoint& requester) const
{
  const std::size_t own = CountCommonPrefixBytes(this->Self, requester);
  return static_cast<std::size_t>(
    std::count_if(this->Leases.begin(),
                  this->Leases.end(),
                  [&requester, own](const auto& item) {
                    return item.first != requester &&
                      CountCommonPrefixBytes(item.first, requester) > own;
                  }));
}

std::vector<Endpoint> FollowerLeases::SelectReferrals(
  const Endpoint& requester) const
{
  std::vector<Endpoint> referrals = this->List();
  std::erase(referrals, requester);
  std::stable_sort(referrals.begin(),
                   referrals.end(),
                   [&requester](const Endpoint& left, const Endpoint& right) {
                     return CountCommonPrefixBytes(left, requester) >
                       CountCommonPrefixBytes(right, requester);
                   });
  referrals.resize(std::min(referrals.size(), kAdvertisedPeers));
  return referrals;
}

} // namespace cobaltgauge::core
