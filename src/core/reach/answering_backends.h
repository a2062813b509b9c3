/// @file
/// Back ends that no view knows and that answer flows all the same.
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// Get the identity under which a back end without a registration is kept in
/// the books of this daemon.  It is never written into a packet.
BackendId UnregisteredIdOf(const Endpoint& backend);

/** \class AnsweringBackends
 * \brief Remember which addresses have answered flows of which route lately.
 *
 * An answer proves that the back end lives and that the route's flows run
 * there.  It is forgotten before the address can belong to another back end.
 */
class AnsweringBackends
{
public:
  /// A flow to the route's address got something new from the back end.
  void OnAnswer(const Endpoint& route, const Endpoint& backend, Time now);

  /// Get the back ends that have answered flows of a route lately.
  std::vector<Endpoint> Find(const Endpoint& route, Time now) const;

  /// Get the address of a back end by its UnregisteredIdOf().
  std::optional<Endpoint> FindById(BackendId id) const;

  void Expire(Time now);

private:
  using LastAnswers = std::map<Endpoint, Time>;

  std::map<Endpoint, LastAnswers> Routes;
  std::unordered_map<BackendId, Endpoint> Ids;
};

} // namespace cobaltgauge::core
