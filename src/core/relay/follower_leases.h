/// @file
/// The daemons that follow this one, each for the time of a lease.
#pragma once

#include <map>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class FollowerLeases
 * \brief Keep a bounded number of followers until their leases end.
 */
class FollowerLeases
{
public:
  /// Begin or renew a lease.
  /// \return false where there is no room for another follower.
  bool Grant(const Endpoint& follower, Time now);

  /// End the leases that were not renewed.
  void Expire(Time now);
  void Clear() { this->Ends.clear(); }

  std::size_t Count() const { return this->Ends.size(); }
  std::vector<Endpoint> List() const;

  /// Get some followers whom a daemon may ask instead of this one.
  std::vector<Endpoint> NameSome(const Endpoint& asking) const;

private:
  std::map<Endpoint, Time> Ends;
};

} // namespace cobaltgauge::core
