/// @file
/// Monotonic clock of the daemon.
#pragma once

#include "core/types.h"

namespace cobaltgauge::daemon {

/// @return time since boot including time in suspend (CLOCK_BOOTTIME), so that a resume after a
/// suspend is visible as a gap.
core::Time bootTime();

}  // namespace cobaltgauge::daemon
