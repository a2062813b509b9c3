/// @file
/// Tokens that contain the address of a backend, which allow a daemon without
/// a view to forward packets of open flows.  See
/// docs/design/007-tokens-that-reach.md.
#pragma once

#include <cstdint>
#include <optional>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class PortCheck
 * \brief The check of a token for the port of its backend.
 */
struct PortCheck
{
  std::uint32_t Host = 0; ///< Last three bytes of the address.
  std::uint32_t Multiplier = 1;
  std::uint8_t Check = 0;

  /// Check whether a port matches; a wrong port does with probability 1/256.
  bool Matches(std::uint16_t port) const;
};

/** \class AddressTokenCodec
 * \brief Encodes and decodes the address of a backend as a 32-bit token.
 *
 * A token contains the last three bytes of an IPv4 address and a check of one
 * byte, which is a hash of the port.  The first byte of the address is that of
 * this daemon.  Decoding requires the port, which is either known or inferred
 * from the tokens of several hosts (see PortFinder).
 */
class AddressTokenCodec
{
public:
  /// \param localAddress an IPv4 address of this daemon.
  /// \param seed identical on all daemons of a cluster.
  AddressTokenCodec(const IpAddress& localAddress, std::uint64_t seed);

  /// Get the token of an endpoint.
  /// \return nothing for IPv6 and addresses with another first byte.
  std::optional<SteeringToken> Encode(const Endpoint& endpoint) const;

  /// Get the endpoint of a token, given its port.
  /// \return nothing if the check does not match the port.
  std::optional<Endpoint> Decode(SteeringToken token,
                                 std::uint16_t port) const;

  /// Get the check for the port of a token.
  PortCheck GetPortCheck(SteeringToken token) const;

private:
  /// Get the multiplier of the port hash of a host.
  std::uint32_t GetMultiplier(std::uint32_t host) const;

  std::uint8_t FirstByte;
  bool HasIpv4; ///< The local address is an IPv4 address.
  std::uint64_t Seed;
};

} // namespace cobaltgauge::core
