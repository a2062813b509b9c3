#include "core/relay/follower_leases.h"

#include "core/constants.h"

namespace cobaltgauge::core {

bool FollowerLeases::Grant(const Endpoint& follower, Time now)
{
  const bool isFull = this->Ends.size() >= kMostFollowers;
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

std::vector<Endpoint> FollowerLeases::NameSome(const Endpoint& asking) const
{
  std::vector<Endpoint> some;
  for (const auto& [follower, end] : this->Ends) {
    if (follower != asking && some.size() < kPeersNamed) {
      some.push_back(follower);
    }
  }
  return some;
}

} // namespace cobaltgauge::core
