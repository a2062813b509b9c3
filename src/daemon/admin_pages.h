/// @file
/// What the admin page answers: the daemon's view as JSON.
#pragma once

#include "daemon/admin_server.h"
#include "daemon/metrics.h"

namespace cobaltgauge::daemon {

/// Answers /metrics, /status, /members, /services and /explain. Runs on the daemon's thread.
AdminResponse renderAdminPage(const AdminRequest& request, const MetricSources& sources,
                              core::Time now);

}  // namespace cobaltgauge::daemon
