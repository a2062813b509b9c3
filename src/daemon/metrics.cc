#include "daemon/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <vector>

namespace cobaltgauge::daemon {
namespace {

/// One sample: the value of the metric's label, empty for a metric without label, and a number.
struct Sample {
  std::string label;
  double value = 0;
};

struct MetricDefinition {
  const char* name;
  const char* help;
  const char* label;  ///< Null for a metric without label.
  prometheus::MetricType type;
  std::function<std::vector<Sample>(const MetricSources&)> read;
};

using prometheus::MetricType;

std::vector<Sample> single(std::uint64_t value) { return {{"", static_cast<double>(value)}}; }

template <typename Reason, std::size_t N>
std::vector<Sample> byReason(const std::array<std::uint64_t, N>& counts) {
  std::vector<Sample> samples;
  samples.reserve(N);
  for (std::size_t i = 0; i < N; ++i) {
    samples.push_back({toString(static_cast<Reason>(i)), static_cast<double>(counts[i])});
  }
  return samples;
}

template <typename Error>
std::vector<Sample> byError(const std::map<Error, std::uint64_t>& counts) {
  std::vector<Sample> samples;
  samples.reserve(counts.size());
  for (const auto& [error, count] : counts) {
    samples.push_back({toString(error), static_cast<double>(count)});
  }
  return samples;
}

std::vector<Sample> membersByState(const MetricSources& sources) {
  std::vector<Sample> samples{{"joining", 0}, {"alive", 0}, {"leaving", 0},
                              {"suspect", 0}, {"dead", 0},  {"left", 0}};
  for (const auto& [id, member] : sources.balancer.membership().members().all()) {
    ++samples[static_cast<std::size_t>(member.state)].value;
  }
  return samples;
}

std::vector<Sample> configurationResults(const MetricSources& sources) {
  const core::ConfigurationCounters& counters = sources.balancer.configuration().counters();
  return {{"accepted", static_cast<double>(counters.accepted)},
          {"older", static_cast<double>(counters.older)},
          {"conflict", static_cast<double>(counters.conflicts)},
          {"invalid", static_cast<double>(counters.invalid)}};
}

const std::vector<MetricDefinition>& definitions() {
  static const std::vector<MetricDefinition> kDefinitions{
      {"cobaltgauge_packets_received_total", "Datagrams that arrived at the data socket", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().packetsReceived); }},
      {"cobaltgauge_packets_to_backends_total", "Packets sent to back ends", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().packetsToBackends); }},
      {"cobaltgauge_packets_to_peers_total", "Packets passed to the daemon that decides", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().packetsToPeers); }},
      {"cobaltgauge_packets_routed_total", "Packets routed, by the rule that chose", "reason",
       MetricType::Counter,
       [](const MetricSources& s) {
         return byReason<core::RouteReason>(s.balancer.counters().routed);
       }},
      {"cobaltgauge_packets_dropped_total", "Packets dropped by the core", "reason",
       MetricType::Counter,
       [](const MetricSources& s) {
         return byReason<core::DropReason>(s.balancer.counters().dropped);
       }},
      {"cobaltgauge_packets_refused_total", "Packets refused", "reason", MetricType::Counter,
       [](const MetricSources& s) {
         return byReason<core::RefuseReason>(s.balancer.counters().refused);
       }},
      {"cobaltgauge_refusals_sent_total", "Refusals answered to callers", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().refusalsSent); }},
      {"cobaltgauge_geneve_errors_total", "Datagrams that are no acceptable Geneve packet",
       "reason", MetricType::Counter,
       [](const MetricSources& s) { return byError(s.data.counters().geneveErrors); }},
      {"cobaltgauge_wrong_network_total", "Geneve packets of another virtual network", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().wrongNetwork); }},
      {"cobaltgauge_inner_errors_total", "Inner packets that cannot be routed", "reason",
       MetricType::Counter,
       [](const MetricSources& s) { return byError(s.data.counters().innerErrors); }},
      {"cobaltgauge_data_send_errors_total", "Packets the kernel would not send", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().sendErrors); }},
      {"cobaltgauge_peer_bytes_sent_total", "Bytes sent to peers", nullptr, MetricType::Counter,
       [](const MetricSources& s) { return single(s.peers.counters().bytesSent); }},
      {"cobaltgauge_peer_bytes_received_total", "Bytes received from peers", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.peers.counters().bytesReceived); }},
      {"cobaltgauge_peer_refused_total", "Peer datagrams refused", "reason", MetricType::Counter,
       [](const MetricSources& s) { return byError(s.peers.counters().refused); }},
      {"cobaltgauge_peer_send_errors_total", "Peer messages that could not be sent", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.peers.counters().sendErrors); }},
      {"cobaltgauge_members", "Members known, by state", "state", MetricType::Gauge,
       membersByState},
      {"cobaltgauge_configuration_offers_total", "Offered configurations, by result", "result",
       MetricType::Counter, configurationResults},
      {"cobaltgauge_configuration_version", "Accepted configuration version", nullptr,
       MetricType::Gauge,
       [](const MetricSources& s) { return single(s.balancer.configuration().digest().version); }},
      {"cobaltgauge_configuration_in_force", "Version whose placement is in force", nullptr,
       MetricType::Gauge,
       [](const MetricSources& s) { return single(s.balancer.versionInForce()); }},
      {"cobaltgauge_flow_records", "Flow records held as home or replica", nullptr,
       MetricType::Gauge, [](const MetricSources& s) { return single(s.balancer.recordCount()); }},
      {"cobaltgauge_records_given_up_total", "Record batches that no peer acknowledged", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.recordsGivenUp()); }},
      {"cobaltgauge_hints_sent_total", "Route hints sent to ingress daemons", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.counters().hintsSent); }},
      {"cobaltgauge_flow_evictions_total", "Live flows that the flow table had to forget", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.flows().evictions()); }},
      {"cobaltgauge_suspensions_total", "Times this process was found to have been suspended",
       nullptr, MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.counters().suspensions); }},
      {"cobaltgauge_fenced", "1 while the daemon forwards nothing because its view may be stale",
       nullptr, MetricType::Gauge,
       [](const MetricSources& s) { return single(s.balancer.isFenced() ? 1 : 0); }}};
  return kDefinitions;
}

}  // namespace

std::string metricsText(const MetricSources& sources) {
  std::vector<prometheus::MetricFamily> families;
  for (const MetricDefinition& definition : definitions()) {
    prometheus::MetricFamily family{definition.name, definition.help, definition.type, {}};
    for (const Sample& sample : definition.read(sources)) {
      prometheus::ClientMetric metric;
      if (definition.label != nullptr) {
        metric.label.push_back({definition.label, sample.label});
      }
      if (definition.type == MetricType::Counter) {
        metric.counter.value = sample.value;
      } else {
        metric.gauge.value = sample.value;
      }
      family.metric.push_back(std::move(metric));
    }
    families.push_back(std::move(family));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace cobaltgauge::daemon
