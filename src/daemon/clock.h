/// @file
/// The daemon's clock.
#pragma once

#include "core/types.h"

namespace cobaltgauge::daemon {

/// @return time since boot, suspended time included (CLOCK_BOOTTIME), so that a machine that slept
/// sees the gap.
core::Time bootTime();

}  // namespace cobaltgauge::daemon
