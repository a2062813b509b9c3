/// @file
/// The page that tells operators how much room there is, as this daemon sees it.
#pragma once

#include <string>

#include "core/backend_registry.h"
#include "core/load/fleet_load.h"

namespace cobaltgauge::daemon {

/// @return the page as JSON: load, slots and utilisation by service and zone, and their age.
std::string loadPage(const core::FleetLoad& load, const core::BackendRegistry& backends,
                     core::Time now);

}  // namespace cobaltgauge::daemon
