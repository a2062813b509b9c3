#include "daemon/metrics.h"

#include <vector>

#include "daemon/metric_table.h"

namespace cobaltgauge::daemon {
namespace {

using prometheus::MetricType;
using Sample = MetricSample;
using Definition = MetricDefinition<MetricSources>;

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

const std::vector<Definition>& definitions() {
  static const std::vector<Definition> kDefinitions{
      {"cobaltgauge_packets_received_total", "Datagrams received on the data socket", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().packetsReceived); }},
      {"cobaltgauge_packets_to_backends_total", "Packets forwarded to backends", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().packetsToBackends); }},
      {"cobaltgauge_packets_to_peers_total", "Packets forwarded to peers for a routing decision",
       nullptr, MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().packetsToPeers); }},
      {"cobaltgauge_packets_routed_total", "Packets routed, by the rule that selected the backend",
       "reason", MetricType::Counter,
       [](const MetricSources& s) {
         return byReason<core::RouteReason>(s.balancer.counters().routed);
       }},
      {"cobaltgauge_packets_dropped_total", "Packets dropped, by reason", "reason",
       MetricType::Counter,
       [](const MetricSources& s) {
         return byReason<core::DropReason>(s.balancer.counters().dropped);
       }},
      {"cobaltgauge_packets_refused_total", "Packets refused, by reason", "reason",
       MetricType::Counter,
       [](const MetricSources& s) {
         return byReason<core::RefuseReason>(s.balancer.counters().refused);
       }},
      {"cobaltgauge_refusals_sent_total", "Refusals and resets sent to clients", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().refusalsSent); }},
      {"cobaltgauge_geneve_errors_total", "Datagrams that are not valid Geneve packets", "reason",
       MetricType::Counter,
       [](const MetricSources& s) { return byError(s.data.counters().geneveErrors); }},
      {"cobaltgauge_wrong_network_total",
       "Geneve packets with an unexpected virtual network identifier", nullptr, MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().vniMismatches); }},
      {"cobaltgauge_inner_errors_total", "Inner packets that cannot be routed", "reason",
       MetricType::Counter,
       [](const MetricSources& s) { return byError(s.data.counters().innerErrors); }},
      {"cobaltgauge_data_send_errors_total", "Packets that could not be sent on the data socket",
       nullptr, MetricType::Counter,
       [](const MetricSources& s) { return single(s.data.counters().sendErrors); }},
      {"cobaltgauge_peer_bytes_sent_total", "Bytes sent to peers", nullptr, MetricType::Counter,
       [](const MetricSources& s) { return single(s.peers.counters().bytesSent); }},
      {"cobaltgauge_peer_bytes_received_total", "Bytes received from peers", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.peers.counters().bytesReceived); }},
      {"cobaltgauge_peer_refused_total", "Peer datagrams rejected", "reason", MetricType::Counter,
       [](const MetricSources& s) { return byError(s.peers.counters().rejected); }},
      {"cobaltgauge_peer_send_errors_total", "Peer messages that could not be sent", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.peers.counters().sendErrors); }},
      {"cobaltgauge_members", "Known cluster members, by state", "state", MetricType::Gauge,
       membersByState},
      {"cobaltgauge_configuration_offers_total", "Configurations received, by result", "result",
       MetricType::Counter, configurationResults},
      {"cobaltgauge_configuration_version", "Accepted configuration version", nullptr,
       MetricType::Gauge,
       [](const MetricSources& s) { return single(s.balancer.configuration().digest().version); }},
      {"cobaltgauge_configuration_in_force", "Configuration version of the active placement",
       nullptr, MetricType::Gauge,
       [](const MetricSources& s) { return single(s.balancer.activeVersion()); }},
      {"cobaltgauge_flow_records", "Flow records held as home or replica", nullptr,
       MetricType::Gauge, [](const MetricSources& s) { return single(s.balancer.recordCount()); }},
      {"cobaltgauge_records_given_up_total", "Record batches abandoned without an acknowledgement",
       nullptr, MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.recordsAbandoned()); }},
      {"cobaltgauge_hints_sent_total", "Route hints sent to ingress daemons", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.counters().hintsSent); }},
      {"cobaltgauge_flow_evictions_total", "Open flows evicted from the flow table", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.flows().evictions()); }},
      {"cobaltgauge_suspensions_total", "Detected suspensions of this process", nullptr,
       MetricType::Counter,
       [](const MetricSources& s) { return single(s.balancer.counters().suspensions); }},
      {"cobaltgauge_fenced",
       "1 while the daemon forwards no packets because its membership view may be stale", nullptr,
       MetricType::Gauge,
       [](const MetricSources& s) { return single(s.balancer.isFenced() ? 1 : 0); }}};
  return kDefinitions;
}

}  // namespace

std::string metricsText(const MetricSources& sources) {
  return renderMetrics(readTable(definitions(), sources));
}

}  // namespace cobaltgauge::daemon
