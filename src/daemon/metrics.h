/// @file
/// Metrics of the daemon of recorded steering. Documented in docs/METRICS.md.
#pragma once

#include <string>

#include "core/balancer.h"
#include "daemon/data_plane.h"
#include "net/peer_transport.h"

namespace cobaltgauge::daemon {

/// Objects from which the metrics are read.
struct MetricSources {
  const core::Balancer& balancer;
  const DataPlane& data;
  const net::PeerTransport& peers;
};

/// @return all metrics in the Prometheus text format.
std::string metricsText(const MetricSources& sources);

}  // namespace cobaltgauge::daemon
