/// @file
/// Index of registered backends by token.  See
/// docs/design/007-tokens-that-reach.md.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

#include "core/tokens/token_resolver.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Get the token of a backend whose address cannot be encoded: a hash of its
/// id, identical on all daemons and never kNoToken.
SteeringToken HashTokenOf(BackendId id);

/** \class TokenIndex
 * \brief Finds registered backends by address token or hash token.
 *
 * An address token shared by two addresses is used by neither of them.  A hash
 * token shared by several ids belongs to the lowest, at all daemons alike.
 */
class TokenIndex
{
public:
  /// \param resolver encodes addresses and receives their ports; outlives the
  /// index.  If null, all tokens are hashes.
  explicit TokenIndex(TokenResolver* resolver)
    : Resolver(resolver)
  {
  }

  /// \return the backend that no longer owns its hash token, if any.
  std::optional<BackendId> AddBackend(BackendId id);
  /// \return the backend that owns its hash token from now on, if any.
  std::optional<BackendId> RemoveBackend(BackendId id);
  /// Check whether the hash token of a backend belongs to it.
  bool OwnsHash(BackendId id) const;

  /// Add the address of a registered backend.
  void AddAddress(const Endpoint& endpoint);
  void RemoveAddress(const Endpoint& endpoint);

  /// The address or backend that a token identifies.
  using Target = std::variant<Endpoint, BackendId>;
  /// \return nothing if the token is unknown or shared by two addresses.
  std::optional<Target> Find(SteeringToken token) const;

  /// Get the token for the packets of a backend.
  SteeringToken GetToken(BackendId id, const Endpoint& endpoint) const;

private:
  std::optional<SteeringToken> Encode(const Endpoint& endpoint) const;
  /// Get the address of a token; null if there is none or more than one.
  const Endpoint* FindUniqueAddress(SteeringToken token) const;

  TokenResolver* Resolver;
  std::unordered_map<SteeringToken, BackendId> Ids; ///< By hash token.
  /// Backends whose hash token belongs to another one; very few.
  std::set<BackendId> WithoutHash;
  std::unordered_map<SteeringToken, std::set<Endpoint>> Addresses;
};

} // namespace cobaltgauge::core
