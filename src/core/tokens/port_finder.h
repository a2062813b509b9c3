/// @file
/// Finds the port of the back ends out of the tokens of their open flows.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/tokens/address_token.h"
#include "core/types.h"

namespace cobaltgauge::core {

/** \class PortFinder
 * \brief Collect tokens of different hosts until only one port explains them.
 *
 * The check of one token fits one port in 256.  Those of kHostsForPort hosts
 * fit a wrong one once in 65,536 times.  Some tokens may be of another form:
 * three quarters of them have to fit.
 */
class PortFinder
{
public:
  /// \param codec outlives the finder.
  explicit PortFinder(const AddressTokenCodec& codec)
    : Codec(codec)
  {
  }

  /// Take the token of a packet that could not be sent on.
  /// \return the port, once, when it is found.
  std::optional<std::uint16_t> Observe(SteeringToken token);

  /// Forget what was collected.
  void Clear() { this->Checks.clear(); }

private:
  bool IsNewHost(const PortCheck& check) const;
  std::optional<std::uint16_t> FindPort() const;

  const AddressTokenCodec& Codec;
  std::vector<PortCheck> Checks; ///< Each of another host.
};

} // namespace cobaltgauge::core
