/// @file
/// Which back end a token names, of those that are registered.  See
/// docs/design/007-tokens-that-reach.md.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

#include "core/reach/token_reach.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Get the token of a back end whose address does not fit into one: a hash of
/// its id, equal at every daemon; never kNoToken.
SteeringToken HashTokenOf(BackendId id);

/** \class TokenIndex
 * \brief Find registered back ends by either form of their token.
 *
 * A token holds an address, or is a hash of an id.  Where two addresses share
 * a token, neither uses it; of two ids with one hash the one that came first
 * keeps it.
 */
class TokenIndex
{
public:
  /// \param reach writes addresses into tokens and is told their ports;
  /// outlives the index.  Null: tokens are hashes.
  explicit TokenIndex(TokenReach* reach)
    : Reach(reach)
  {
  }

  void AddBackend(BackendId id);
  void ForgetBackend(BackendId id);
  /// Tell whether the hash of an id is this back end's.
  bool OwnsHash(BackendId id) const;

  /// Note an address at which a back end is registered.
  void AddAddress(const Endpoint& endpoint);
  void ForgetAddress(const Endpoint& endpoint);

  /// What a token names.
  using Name = std::variant<Endpoint, BackendId>;
  /// \return nothing where the token is unknown or two addresses share it.
  std::optional<Name> Find(SteeringToken token) const;

  /// Get the token to be written into packets of a back end.
  SteeringToken GetToken(BackendId id, const Endpoint& endpoint) const;

private:
  std::optional<SteeringToken> Encode(const Endpoint& endpoint) const;
  /// Get the only address with a token; null where there is none or more.
  const Endpoint* FindOnlyAddress(SteeringToken token) const;

  TokenReach* Reach;
  std::unordered_map<SteeringToken, BackendId> Ids; ///< By hash.
  std::unordered_map<SteeringToken, std::set<Endpoint>> Addresses;
};

} // namespace cobaltgauge::core
