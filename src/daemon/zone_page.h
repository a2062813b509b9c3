/// @file
/// The admin page of zones that operators have taken out, and of what this daemon reaches.
#pragma once

#include <string>

#include "core/domains/serving_readiness.h"
#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::daemon {

/// @return JSON: the view's revision, and each evacuation in force with its zone, key and revision;
/// whether this daemon asks for packets, and why it reaches back ends or not, as far as it knows.
std::string zonePage(const core::ZoneEvacuations& evacuations, core::Revision viewRevision,
                     bool ready, const core::ServingReadiness& serving);

}  // namespace cobaltgauge::daemon
