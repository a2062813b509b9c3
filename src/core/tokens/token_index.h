/// @file
/// Which back end a token names, of those that are registered.  See
/// docs/design/007-tokens-that-reach.md.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

#include "core/tokens/token_resolver.h"
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
  explicit TokenIndex(TokenResolver* resolver)
    : Resolver(resolver)
  {
  }

  void AddBackend(BackendId id);
  void RemoveBackend(BackendId id);
  /// Tell whether the hash of an id is this back end's.
  bool OwnsHash(BackendId id) const;

  /// Note an address at which a back end is registered.
  void AddAddress(const Endpoint& endpoint);
  void RemoveAddress(const Endpoint& endpoint);

  /// What a token names.
  using Target = std::variant<Endpoint, BackendId>;
  /// \return nothing where the token is unknown or two addresses share it.
  std::optional<Target> Find(SteeringToken token) const;

  /// Get the token to be written into packets of a back end.
  SteeringToken GetToken(BackendId id, const Endpoint& endpoint) const;

private:
  std::optional<SteeringToken> Encode(const Endpoint& endpoint) const;
  /// Get the only address with a token; null where there is none or more.
  const Endpoint* FindUniqueAddress(SteeringToken token) const;

  TokenResolver* Resolver;
  std::unordered_map<SteeringToken, BackendId> Ids; ///< By hash.
  std::unordered_map<SteeringToken, std::set<Endpoint>> Addresses;
};

} // namespace cobaltgauge::core
