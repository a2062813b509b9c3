/// @file
/// The daemon's metrics in the Prometheus text format. Every metric is declared in one table, which
/// docs/METRICS.md repeats for operators.
#pragma once

#include <string>

#include "core/balancer.h"
#include "daemon/data_plane.h"
#include "net/peer_transport.h"

namespace cobaltgauge::daemon {

/// Where the values are read from.
struct MetricSources {
  const core::Balancer& balancer;
  const DataPlane& data;
  const net::PeerTransport& peers;
};

/// @return all metrics as text, by prometheus-cpp.
std::string metricsText(const MetricSources& sources);

}  // namespace cobaltgauge::daemon
