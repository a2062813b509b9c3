/// @file
/// The admin page of zones that operators have taken out.
#pragma once

#include <string>

#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::daemon {

/// @return JSON: the view's revision, and each evacuation in force with its zone, key and revision.
std::string zonePage(const core::ZoneEvacuations& evacuations, core::Revision viewRevision);

}  // namespace cobaltgauge::daemon
