/// @file
/// Bounded sum of reported loads.
#pragma once

#include <map>
#include <vector>

#include "core/load/load_meter.h"

namespace cobaltgauge::core {

/** \class LoadSum
 * \brief Sums loads by service and zone.  Bounds the load accepted from each
 * daemon.
 */
class LoadSum
{
public:
  /// \param daemons number of daemons that the loads cover; limits the sum.
  void Add(const std::vector<ZoneLoad>& loads, std::uint32_t daemons);

  /// Get the load of the backends of a service in a zone; zero if unknown.
  ZoneLoad Get(const LoadKey& key) const;
  /// Get the largest loads by requests in flight and openings, in descending
  /// order.
  std::vector<ZoneLoad> GetLargest(std::size_t max) const;
  std::uint32_t CountDaemons() const { return this->Daemons; }

private:
  std::map<LoadKey, ZoneLoad> Loads;
  std::uint32_t Daemons = 0;
};

} // namespace cobaltgauge::core
