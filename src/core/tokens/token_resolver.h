/// @file
/// Where packets of open flows go whose back end is in no view.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/tokens/address_token.h"
#include "core/tokens/port_finder.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class TokenReach
 * \brief Turn tokens into addresses without a view.
 *
 * Ports of back ends come from registrations that were seen, or out of the
 * tokens themselves.
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

  /// Note the port of a registered back end.
  void AddPort(std::uint16_t port);

  /// Take the token of a packet that no view can place.
  /// \return its address; nothing where it is not known or not certain.
  std::optional<Endpoint> Resolve(SteeringToken token);

  /// Tell, once, that a port was found out: tokens that could not be resolved
  /// may be so now.
  std::optional<std::uint16_t> TakeFoundPort();

private:
  std::optional<Endpoint> Decode(SteeringToken token) const;

  AddressTokenCodec Codec;
  PortFinder Finder;
  std::vector<std::uint16_t> Ports; ///< The latest last.
  std::optional<std::uint16_t> FoundPort;
};

} // namespace cobaltgauge::core
