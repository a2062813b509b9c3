/// @file
/// Admin page with the load and capacity of the fleet, as known to this daemon.
#pragma once

#include <string>

#include "core/backend_registry.h"
#include "core/load/fleet_load.h"

namespace cobaltgauge::daemon {

/// @return JSON with load, slots and utilization by service and zone, and the age of the data.
std::string loadPage(const core::FleetLoad& load, const core::BackendRegistry& backends,
                     core::Time now);

}  // namespace cobaltgauge::daemon
