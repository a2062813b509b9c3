/// @file
/// Random but plausible fault schedules from a seed: what operators do and what fails, mixed.
#pragma once

#include <vector>

#include "sim/scenario.h"

namespace cobaltgauge::sim {

/// @return faults between the tenth second and five seconds before the scenario's end, sorted by
/// time. At least two daemons stay; whatever is suspended or cut recovers.
std::vector<FaultSpec> generateFaults(const Scenario& scenario, std::uint64_t seed);

}  // namespace cobaltgauge::sim
