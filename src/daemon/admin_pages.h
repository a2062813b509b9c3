/// @file
/// Content of the admin pages: metrics as text, the daemon's state as JSON.
#pragma once

#include "daemon/admin_server.h"
#include "daemon/metrics.h"

namespace cobaltgauge::daemon {

/// Renders /metrics, /status, /members, /services and /explain. Must run on the daemon's event loop
/// thread.
/// @return the page; status 404 for an unknown path or flow, 400 for a malformed flow.
AdminResponse renderAdminPage(const AdminRequest& request, const MetricSources& sources,
                              core::Time now);

}  // namespace cobaltgauge::daemon
