/// @file
/// Generates random schedules of failures and operator actions from a seed.
#pragma once

#include <vector>

#include "sim/scenario.h"

namespace cobaltgauge::sim {

/// @return faults sorted by time. New faults occur from 10 s after the start to 5 s before the end
/// of the scenario; every suspension, partition and platform outage is followed by its recovery. At
/// least three of the initial daemons are never killed or stopped.
std::vector<FaultSpec> generateFaults(const Scenario& scenario, std::uint64_t seed);

}  // namespace cobaltgauge::sim
