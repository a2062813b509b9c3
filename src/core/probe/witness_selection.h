/// @file
/// Who is connected to beside a silent back end, to tell its silence from
/// this machine's own.
#pragma once

#include <vector>

#include "core/backend_health.h"
#include "core/backend_registry.h"
#include "core/random.h"

namespace cobaltgauge::core {

/// Choose the witnesses of a probe: the back end heard last in the suspect's
/// zone, which shows that the way there is open, and the one heard last
/// elsewhere, since a whole zone may be without power.  Where too few were
/// heard, any of the suspect's service, drawn at random.
/// \return kMostWitnesses addresses at most, none of them the suspect's.
std::vector<Endpoint> SelectWitnesses(BackendId suspect,
                                      const BackendHealth& health,
                                      BackendRegistry& backends,
                                      Random& random,
                                      Time now);

} // namespace cobaltgauge::core
