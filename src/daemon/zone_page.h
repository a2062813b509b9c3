/// @file
/// Admin page with the evacuated zones and the readiness of this daemon.
#pragma once

#include <string>

#include "core/domains/serving_readiness.h"
#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::daemon {

/// @return JSON with the revision of the view, each active evacuation with its zone, key and
/// revision, whether this daemon is ready, and whether it is serving and for which reason.
std::string zonePage(const core::ZoneEvacuations& evacuations, core::Revision viewRevision,
                     bool ready, const core::ServingReadiness& serving);

}  // namespace cobaltgauge::daemon
