/// @file
/// A bounded sum of loads that daemons tell each other.
#pragma once

#include <map>
#include <vector>

#include "core/load/load_meter.h"

namespace cobaltgauge::core {

/** \class LoadSum
 * \brief Add up loads by service and zone, whatever a daemon claims.
 */
class LoadSum
{
public:
  /// \param daemons whose load it is; bounds what is believed of it.
  void Add(const std::vector<ZoneLoad>& loads, std::uint32_t daemons);

  /// Get the load of the back ends of a service in a zone; none: zero.
  ZoneLoad Get(const LoadKey& key) const;
  /// Get the largest loads.
  std::vector<ZoneLoad> GetLargest(std::size_t max) const;
  std::uint32_t CountDaemons() const { return this->Daemons; }

private:
  std::map<LoadKey, ZoneLoad> Loads;
  std::uint32_t Daemons = 0;
};

} // namespace cobaltgauge::core
