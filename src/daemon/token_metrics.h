/// @file
/// Metrics of token steering in the Prometheus text format, documented in docs/METRICS.md.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>

#include <string>
#include <vector>

#include "core/store_reader.h"
#include "core/token_steering.h"
#include "core/view_updater.h"
#include "daemon/packet_port.h"
#include "daemon/peers/peer_link.h"

namespace cobaltgauge::daemon {

/// Histograms of latencies, in seconds.
class LatencyHistograms : public core::LatencyObserver {
 public:
  LatencyHistograms();

  void onOpeningResponse(core::Duration latency) override;
  void onDataAcknowledged(core::Duration latency) override;
  void onStoreReply(core::Duration latency);

  /// @return one metric family per histogram.
  std::vector<prometheus::MetricFamily> collect() const;

 private:
  prometheus::Histogram openings_;
  prometheus::Histogram acknowledgements_;
  prometheus::Histogram storeReads_;
};

/// The objects that the values are read from.
struct TokenMetricSources {
  const core::TokenSteering& steering;
  const core::StoreReader& reader;
  const core::ViewUpdater& updater;
  const PeerLink& peers;
  const PacketPort& packets;
  const LatencyHistograms& latencies;
  const core::PriorityAdmission& admission;
  std::uint64_t failedPages = 0;
  bool ready = false;
  core::Time now{};
};

/// @return all metrics in the text format.
std::string tokenMetricsText(const TokenMetricSources& sources);

}  // namespace cobaltgauge::daemon
