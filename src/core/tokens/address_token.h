/// @file
/// Tokens that hold the address of a back end, so that a daemon without any
/// view can send an open flow's packets on.  See
/// docs/design/007-tokens-that-reach.md.
#pragma once

#include <cstdint>
#include <optional>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class PortCheck
 * \brief What a token says about the port of its back end.
 */
struct PortCheck
{
  std::uint32_t Host = 0; ///< Last three bytes of the address.
  std::uint32_t Multiplier = 1;
  std::uint8_t Check = 0;

  /// Tell whether a port gives this check; a wrong one does so once in 256.
  bool Matches(std::uint16_t port) const;
};

/** \class AddressTokenCodec
 * \brief Write the address of a back end into 32 bits, and read it back.
 *
 * A token holds the last three bytes of an IPv4 address and a check of one
 * byte.  The first byte of the address is this daemon's own.  The port does
 * not fit; the check is a hash of it, so a reader has to know the port, or
 * finds it out from some tokens of different hosts (see PortFinder).
 */
class AddressTokenCodec
{
public:
  /// \param home any IPv4 address of this daemon.
  /// \param seed the same at all daemons of a cluster.
  AddressTokenCodec(const IpAddress& localAddress, std::uint64_t seed);

  /// Get the token of an address.
  /// \return nothing where it does not fit: IPv6, or another first byte.
  std::optional<SteeringToken> Encode(const Endpoint& endpoint) const;

  /// Get the address that a token holds, given its port.
  /// \return nothing where the check does not fit the port.
  std::optional<Endpoint> Decode(SteeringToken token,
                                 std::uint16_t port) const;

  /// Get what a token says about the port.
  PortCheck GetPortCheck(SteeringToken token) const;

private:
  /// Get the factor that turns the ports of a host into checks.
  std::uint32_t GetMultiplier(std::uint32_t host) const;

  std::uint8_t FirstByte;
  bool HasIpv4; ///< This daemon has an IPv4 address.
  std::uint64_t Seed;
};

} // namespace cobaltgauge::core
