/// @file
/// Infers the port of backends from the tokens of their open flows.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/tokens/address_token.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class PortFinder
 * \brief Collects tokens of several hosts until exactly one port matches.
 *
 * A wrong port matches the check of a token with probability 1/256.  The
 * probability that any wrong port matches kMinHostsForPort checks is 1/65536.
 * Three quarters of the tokens have to match, as some may be hash tokens.
 */
class PortFinder
{
public:
  /// \param codec outlives this object.
  explicit PortFinder(const AddressTokenCodec& codec)
    : Codec(codec)
  {
  }

  /// Add the token of a packet that could not be forwarded.
  /// \return the port, if the collected tokens determine it.
  std::optional<std::uint16_t> Observe(SteeringToken token);

  /// Remove the collected tokens.
  void Clear() { this->Checks.clear(); }

private:
  bool IsNewHost(const PortCheck& check) const;
  std::optional<std::uint16_t> FindPort() const;

  const AddressTokenCodec& Codec;
  std::vector<PortCheck> Checks; ///< One for each host.
};

} // namespace cobaltgauge::core
