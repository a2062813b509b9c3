#include "core/relay/follower_leases.h"

#include <algorithm>

#include "core/constants.h"
#include "core/relay/nearness.h"

namespace cobaltgauge::core {

bool FollowerLeases::Grant(const Endpoint& follower, Time now)
{
  const bool isFull = this->Ends.size() >= kMostFollowers ||
    this->CountNearer(follower) >= kFollowersFromAfar;
  if (isFull && this->Ends.count(follower) == 0) {
    return false;
  }
  this->Ends[follower] = now + kSubscriptionLease;
  return true;
}

void FollowerLeases::Expire(Time now)
{
  std::erase_if(this->Ends,
                [now](const auto& item) { return item.second <= now; });
}

std::vector<Endpoint> FollowerLeases::List() const
{
  std::vector<Endpoint> list;
  for (const auto& [follower, end] : this->Ends) {
    list.push_back(follower);
  }
  return list;
}

std::size_t FollowerLeases::CountNearer(const Endpoint& asking) const
{
  const std::size_t own = CountSharedBytes(this->Self, asking);
  return static_cast<std::size_t>(std::count_if(
    this->Ends.begin(), this->Ends.end(), [&asking, own](const auto& item) {
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
  some.resize(std::min(some.size(), kPeersNamed));
  return some;
}

} // namespace cobaltgauge::core
