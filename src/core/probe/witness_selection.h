/// @file
/// Selects the backends that are probed together with an unresponsive one, to
/// rule out local faults.
#pragma once

#include <vector>

#include "core/backend_health.h"
#include "core/backend_registry.h"
#include "core/random.h"

namespace cobaltgauge::core {

/// Select the witnesses of a probe: the backend of the suspect's zone that
/// responded last, which shows that the zone is reachable, and the one of
/// another zone, as the whole zone may have failed.  Missing witnesses are
/// selected at random from the suspect's service.
/// \return at most FailureProbe::kMaxWitnesses endpoints, none of them at the
/// suspect's address.
std::vector<Endpoint> SelectWitnesses(BackendId suspect,
                                      const BackendHealth& health,
                                      BackendRegistry& backends,
                                      Random& random,
                                      Time now);

} // namespace cobaltgauge::core
