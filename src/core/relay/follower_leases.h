/// @file
/// Leases of the daemons that follow this one.
#pragma once

#include <map>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class FollowerLeases
 * \brief Keep a bounded number of followers until their leases expire.
 *
 * Only a few followers from a remote network are accepted; other daemons of
 * that network follow those, which limits traffic between zones.
 */
class FollowerLeases
{
public:
  explicit FollowerLeases(const Endpoint& self)
    : Self(self)
  {
  }

  /// Begin or renew a lease.
  /// \param daemons size of the subtree including the follower; zero if it
  /// only requests an update.
  /// \return false if the limit is reached, or if enough followers are closer
  /// to the requester than this daemon.
  bool Grant(const Endpoint& follower, std::uint32_t daemons, Time now);

  /// Remove expired leases.
  void Expire(Time now);
  void Clear() { this->Leases.clear(); }

  bool Contains(const Endpoint& daemon) const
  {
    return this->Leases.count(daemon) != 0;
  }
  std::size_t Count() const { return this->Leases.size(); }
  /// Count this daemon and all its direct and indirect followers.
  std::uint32_t CountSubtree() const;
  std::vector<Endpoint> List() const;

  /// Get followers that the requester may ask instead, closest first.
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
