/// @file
/// Resolves tokens of backends that are not in the view.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/tokens/address_token.h"
#include "core/tokens/port_finder.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class TokenResolver
 * \brief Resolves tokens to endpoints without a view.
 *
 * The ports of backends are known from earlier registrations or inferred from
 * the tokens.
 */
class TokenResolver
{
public:
  explicit TokenResolver(const AddressTokenCodec& codec)
    : Codec(codec)
    , Finder(this->Codec)
  {
  }
  TokenResolver(const TokenResolver&) = delete;
  TokenResolver& operator=(const TokenResolver&) = delete;

  const AddressTokenCodec& GetCodec() const { return this->Codec; }

  /// Add the port of a registered backend.
  void AddPort(std::uint16_t port);

  /// Resolve a token that is not in the view.  Unresolved tokens are used to
  /// infer the port.
  /// \return nothing if no known port matches or several do.
  std::optional<Endpoint> Resolve(SteeringToken token);

  /// Get the port inferred since the last call, if any.  Tokens that could not
  /// be resolved before may now be resolvable.
  std::optional<std::uint16_t> TakeFoundPort();

private:
  std::optional<Endpoint> Decode(SteeringToken token) const;

  AddressTokenCodec Codec;
  PortFinder Finder;
  std::vector<std::uint16_t> Ports; ///< Oldest first.
  std::optional<std::uint16_t> FoundPort;
};

} // namespace cobaltgauge::core
