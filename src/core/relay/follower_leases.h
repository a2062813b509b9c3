/// @file
/// The daemons that follow this one, each for the time of a lease.
#pragma once

#include <map>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class FollowerLeases
 * \brief Keep a bounded number of followers until their leases end.
 *
 * Of a network that is not this daemon's own it takes few: the others there
 * follow those, so that a change crosses between zones a few times and not
 * once for each daemon.
 */
class FollowerLeases
{
public:
  explicit FollowerLeases(const Endpoint& self)
    : Self(self)
  {
  }

  /// Begin or renew a lease.
  /// \param daemons the follower and all that follow it; zero: it only asks.
  /// \return false where there is no room, or where enough followers are
  /// nearer to the asking one.
  bool Grant(const Endpoint& follower, std::uint32_t daemons, Time now);

  /// End the leases that were not renewed.
  void Expire(Time now);
  void Clear() { this->Leases.clear(); }

  bool Contains(const Endpoint& daemon) const
  {
    return this->Leases.count(daemon) != 0;
  }
  std::size_t Count() const { return this->Leases.size(); }
  /// Count this daemon and all that follow it, directly or not.
  std::uint32_t CountSubtree() const;
  std::vector<Endpoint> List() const;

  /// Get some followers whom a daemon may ask instead of this one, those near
  /// it first.
  std::vector<Endpoint> SelectReferrals(const Endpoint& requester) const;

private:
  std::size_t CountCloserFollowers(const Endpoint& requester) const;

  Endpoint Self;
  struct Lease
  {
    Time ExpiresAt{};
    std::uint32_t Daemons = 0;
  };

  std::map<Endpoint, Lease> Leases;
};

} // namespace cobaltgauge::core
