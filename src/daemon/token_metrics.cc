#include "daemon/token_metrics.h"

#include "daemon/log.h"
#include "daemon/metric_table.h"
#include "net/packet_format.h"

namespace cobaltgauge::daemon {
namespace {

using prometheus::MetricType;
using Sources = TokenMetricSources;
using Definition = MetricDefinition<Sources>;

/// Upper bounds in seconds, from a packet inside a zone to the longest that a caller waits.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                             0.1,   0.2,   0.5,   1.0,  2.0,  5.0};

/// @return kinds of message that were sent at all.
std::vector<MetricSample> messageBytes(const net::PeerTransportCounters& counters) {
  std::vector<MetricSample> samples;
  for (std::size_t kind = 0; kind < counters.bytesSentByType.size(); ++kind) {
    if (counters.bytesSentByType[kind] != 0) {
      samples.push_back(
          {net::frameName(kind), static_cast<double>(counters.bytesSentByType[kind])});
    }
  }
  return samples;
}

std::vector<MetricSample> keptShares(const core::TokenSteering& steering) {
  std::vector<MetricSample> samples;
  for (const auto& [zone, kept] : steering.spill().GetLocalShareByZone()) {
    samples.push_back({steering.backends().nameOf(zone), kept});
  }
  return samples;
}

double seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::vector<MetricSample> byRank(const core::PriorityAdmission& admission,
                                 std::uint64_t core::PriorityCounters::*count) {
  std::vector<MetricSample> samples;
  for (const auto& [service, ranks] : admission.GetCounters()) {
    for (const auto& [rank, counters] : ranks) {
      samples.push_back(
          {service + "/" + std::to_string(rank), static_cast<double>(counters.*count)});
    }
  }
  return samples;
}

/// @return a sample for each service and zone with a value, labelled SERVICE/ZONE.
template <typename Value>
std::vector<MetricSample> byZone(const Sources& sources, Value valueOf) {
  const core::BackendRegistry& backends = sources.steering.backends();
  std::vector<MetricSample> samples;
  for (const auto& [key, slots] : sources.peers.GetLoad().GetSlots()) {
    if (const std::optional<double> value = valueOf(key, slots)) {
      samples.push_back({backends.nameOf(key.first) + "/" + backends.nameOf(key.second), *value});
    }
  }
  return samples;
}

const std::vector<Definition>& definitions() {
  static const std::vector<Definition> kDefinitions{
      {"cobaltgauge_packets_received_total", "Datagrams that arrived at the data socket", nullptr,
       MetricType::Counter, [](const Sources& s) { return single(s.packets.counters().received); }},
      {"cobaltgauge_packets_to_backends_total", "Packets sent to back ends", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().sentToBackends); }},
      {"cobaltgauge_packets_routed_total", "Packets routed, by the rule that chose", "reason",
       MetricType::Counter,
       [](const Sources& s) { return byReason<core::RouteReason>(s.steering.counters().routed); }},
      {"cobaltgauge_packets_dropped_total", "Packets dropped by the core", "reason",
       MetricType::Counter,
       [](const Sources& s) { return byReason<core::DropReason>(s.steering.counters().dropped); }},
      {"cobaltgauge_packets_refused_total", "Packets refused", "reason", MetricType::Counter,
       [](const Sources& s) {
         return byReason<core::RefuseReason>(s.steering.counters().refused);
       }},
      {"cobaltgauge_packet_faults_total", "Datagrams that are no packet of the format", "reason",
       MetricType::Counter,
       [](const Sources& s) {
         return byReason<net::PacketFormatError>(s.packets.counters().faults);
       }},
      {"cobaltgauge_packets_retried_total", "Packets decided again after the view had changed",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().retried); }},
      {"cobaltgauge_refusals_sent_total", "Refusals and resets sent to callers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().refusalsSent); }},
      {"cobaltgauge_data_send_errors_total", "Packets the kernel would not send", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().sendErrors); }},
      {"cobaltgauge_open_flows", "Flows that passed here and are open", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.flows().size()); }},
      {"cobaltgauge_flow_evictions_total", "Open flows that the table had to forget", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.flows().evictions()); }},
      {"cobaltgauge_backends_known", "Back ends reachable by token, departed ones too", nullptr,
       MetricType::Gauge, [](const Sources& s) { return single(s.steering.backends().size()); }},
      {"cobaltgauge_backends_active", "Back ends that take new flows", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.backends().activeCount()); }},
      {"cobaltgauge_backend_probes_total", "Connections opened to silent back ends", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.health().counters().probes); }},
      {"cobaltgauge_backends_declared_dead_total", "Back ends whose flows were given up", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.health().counters().declaredDead); }},
      {"cobaltgauge_backend_probes_unproven_total",
       "Probes without an answer that prove nothing, since no witness answered either", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.health().counters().unproven); }},
      {"cobaltgauge_routes_version", "Configuration version in force", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.routes().version()); }},
      {"cobaltgauge_store_revision", "Store revision up to which changes are known", nullptr,
       MetricType::Gauge, [](const Sources& s) { return single(s.reader.revision().number); }},
      {"cobaltgauge_store_era", "Copy of the store that answered last; rises where one came back",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(static_cast<std::uint64_t>(s.reader.storeEra())); }},
      {"cobaltgauge_store_reads_total", "Reads of the store, by kind", "kind", MetricType::Counter,
       [](const Sources& s) {
         return std::vector<MetricSample>{
             {"list", static_cast<double>(s.reader.counters().lists)},
             {"watch", static_cast<double>(s.reader.counters().watches)}};
       }},
      {"cobaltgauge_store_failures_total", "Reads of the store that failed", nullptr,
       MetricType::Counter, [](const Sources& s) { return single(s.reader.counters().failures); }},
      {"cobaltgauge_store_history_gone_total", "Watches that began before the store's history",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.reader.counters().historyGone); }},
      {"cobaltgauge_peers_known", "Daemons that can be asked for their view", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetExchange().peerCount()); }},
      {"cobaltgauge_view_requests_total", "Requests for a view sent to peers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetExchange().counters().requestsSent); }},
      {"cobaltgauge_views_answered_total", "Requests of peers for the view answered", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetExchange().counters().requestsAnswered); }},
      {"cobaltgauge_views_taken_total", "Views taken from peers", nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetExchange().counters().viewsTaken); }},
      {"cobaltgauge_view_whole", "1 where the view holds every back end, 0 while it is a sample",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.reader.hasAllBackends()); }},
      {"cobaltgauge_view_pages_given_total", "Pages of missing back ends given to peers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetFill().GetCounters().PagesSent); }},
      {"cobaltgauge_view_pages_refused_total", "Requests of peers for a page that got none",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetFill().GetCounters().RequestsRefused); }},
      {"cobaltgauge_view_pages_taken_total", "Pages of missing back ends taken from peers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetFill().GetCounters().PagesApplied); }},
      {"cobaltgauge_reads_store", "1 while this daemon reads the store, 0 while it follows a peer",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetRelay().IsReading() ? 1 : 0); }},
      {"cobaltgauge_followers", "Daemons that follow this one", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetRelay().CountFollowers()); }},
      {"cobaltgauge_view_updates_sent_total", "Updates of the view sent to followers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().UpdatesSent); }},
      {"cobaltgauge_view_updates_taken_total", "Updates of peers that changed the view", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().UpdatesApplied); }},
      {"cobaltgauge_view_gaps_total", "Updates of peers that the view lacked the base for", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().Gaps); }},
      {"cobaltgauge_store_takeovers_total",
       "Times this daemon began to read the store since no peer's view was fresh", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().ReadsStarted); }},
      {"cobaltgauge_late_answers_total", "Answers overdue, and back ends found dead", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetOutliers().GetCounters().LateAnswers); }},
      {"cobaltgauge_late_answers_withheld_total", "Late answers blamed on this daemon itself",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetOutliers().GetCounters().Withheld); }},
      {"cobaltgauge_outliers", "Back ends that come last for new flows", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetOutliers().CountOutliers()); }},
      {"cobaltgauge_outliers_found_total", "Outliers found by this daemon", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetOutliers().GetCounters().Found); }},
      {"cobaltgauge_openings_wanted_total", "Openings that were to be placed, by service and rank",
       "service_rank", MetricType::Counter,
       [](const Sources& s) { return byRank(s.admission, &core::PriorityCounters::Offered); }},
      {"cobaltgauge_openings_no_room_total",
       "Of those, refused since back ends are full, by service and rank", "service_rank",
       MetricType::Counter,
       [](const Sources& s) { return byRank(s.admission, &core::PriorityCounters::Refused); }},
      {"cobaltgauge_openings_limit_per_second",
       "Openings that are let in while back ends are full; 0: no limit", "service",
       MetricType::Gauge,
       [](const Sources& s) {
         std::vector<MetricSample> samples;
         for (const core::AdmissionState& state : s.admission.GetStates()) {
           samples.push_back({state.Service, state.AdmittedRate});
         }
         return samples;
       }},
      {"cobaltgauge_opening_ends_total", "Ends of openings that were placed here", "outcome",
       MetricType::Counter,
       [](const Sources& s) {
         std::vector<MetricSample> samples;
         const auto& ended = s.steering.outcomes().GetCounters().Ended;
         for (std::size_t i = 0; i < ended.size(); ++i) {
           samples.push_back({core::ToString(static_cast<core::OpeningOutcome>(i)),
                              static_cast<double>(ended.at(i))});
         }
         return samples;
       }},
      {"cobaltgauge_opening_ends_unseen_total", "Openings placed here whose end was not seen",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.outcomes().GetCounters().Discarded); }},
      {"cobaltgauge_load_in_flight", "Requests in flight in the fleet, by service/zone", "zone",
       MetricType::Gauge,
       [](const Sources& s) {
         return byZone(s, [&s](const core::LoadKey& key, std::uint32_t) {
           return std::optional<double>(s.peers.GetLoad().GetLoad(key).InFlight);
         });
       }},
      {"cobaltgauge_load_slots", "Slots of back ends that take openings, by service/zone", "zone",
       MetricType::Gauge,
       [](const Sources& s) {
         return byZone(s, [](const core::LoadKey&, std::uint32_t slots) {
           return std::optional<double>(slots);
         });
       }},
      {"cobaltgauge_load_utilization", "In flight for each slot, by service/zone; none where old",
       "zone", MetricType::Gauge,
       [](const Sources& s) {
         return byZone(s, [&s](const core::LoadKey& key, std::uint32_t) -> std::optional<double> {
           const auto room = s.peers.GetLoad().GetZoneCapacity(key.first, key.second, s.now);
           return room ? std::optional(room->Utilization) : std::nullopt;
         });
       }},
      {"cobaltgauge_load_age_milliseconds", "Age of the oldest part of the load figures", nullptr,
       MetricType::Gauge,
       [](const Sources& s) {
         const std::optional<core::Duration> age = s.peers.GetLoad().GetAge(s.now);
         return age ? single(static_cast<std::uint64_t>(*age / std::chrono::milliseconds(1)))
                    : std::vector<MetricSample>{};
       }},
      {"cobaltgauge_load_daemons", "Daemons whose load the figures hold", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetLoad().CountDaemons()); }},
      {"cobaltgauge_load_messages_total", "Reports and summaries of load, by what became of them",
       "kind", MetricType::Counter,
       [](const Sources& s) {
         const core::FleetLoadCounters& counters = s.peers.GetLoad().GetCounters();
         return std::vector<MetricSample>{
             {"report_sent", static_cast<double>(counters.ReportsSent)},
             {"report_taken", static_cast<double>(counters.ReportsAccepted)},
             {"report_ignored", static_cast<double>(counters.ReportsIgnored)},
             {"summary_taken", static_cast<double>(counters.SummariesAccepted)}};
       }},
      {"cobaltgauge_zones_evacuated", "Zones whose back ends get no new flow", nullptr,
       MetricType::Gauge,
       [](const Sources& s) {
         return single(s.steering.backends().evacuations().GetZones().size());
       }},
      {"cobaltgauge_openings_spilled_total",
       "Openings placed outside the zone that the policy prefers, which had too little room",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.spill().CountSpilled()); }},
      {"cobaltgauge_zone_kept_share",
       "Share of a zone's openings that stays there, of the service that keeps least", "zone",
       MetricType::Gauge, [](const Sources& s) { return keptShares(s.steering); }},
      {"cobaltgauge_peer_streams_given_up_total",
       "Connections between daemons that did not carry their message in time", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetTransportCounters().streamsTimedOut); }},
      {"cobaltgauge_peer_bytes_sent_total", "Bytes sent to other daemons", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetTransportCounters().bytesSent); }},
      {"cobaltgauge_peer_message_bytes_sent_total", "The same by kind of message", "kind",
       MetricType::Counter,
       [](const Sources& s) { return messageBytes(s.peers.GetTransportCounters()); }},
      {"cobaltgauge_log_lines_dropped_total", "Log lines dropped because the buffer was full",
       nullptr, MetricType::Counter, [](const Sources&) { return single(droppedLogLines()); }},
      {"cobaltgauge_ready", "1 while this daemon asks for packets", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.ready ? 1 : 0); }},
      {"cobaltgauge_serving", "1 while this daemon does not know that it reaches no back end",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.serving().IsServing() ? 1 : 0); }},
      {"cobaltgauge_serving_changes_total", "Changes of whether back ends are reached", "to",
       MetricType::Counter,
       [](const Sources& s) {
         const core::ServingCounters& counters = s.steering.serving().GetCounters();
         return std::vector<MetricSample>{{"out", static_cast<double>(counters.StoppedServing)},
                                          {"in", static_cast<double>(counters.ResumedServing)}};
       }},
      {"cobaltgauge_groups_silent", "Groups whose back ends come last together", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.silentGroups().CountUnreachable(s.now)); }},
      {"cobaltgauge_groups_found_silent_total", "Groups found silent by this daemon", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.silentGroups().GetCounters().Detected); }},
      {"cobaltgauge_groups_ended_total", "Silent groups that an answer or a connection ended",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.silentGroups().GetCounters().Recovered); }},
      {"cobaltgauge_group_probes_total", "Connections opened to neighbours of silent back ends",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.silentGroups().GetCounters().Probes); }},
      {"cobaltgauge_group_notices_total", "Notices of silent groups that were probed here", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.silentGroups().GetCounters().Notices); }},
      {"cobaltgauge_reach_probes_total",
       "Connections opened to learn whether any back end is reached", nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.serving().GetCounters().Probes); }}};
  return kDefinitions;
}

prometheus::MetricFamily family(const char* name, const char* help,
                                const prometheus::Histogram& histogram) {
  return {name, help, MetricType::Histogram, {histogram.Collect()}};
}

}  // namespace

LatencyHistograms::LatencyHistograms()
    : openings_(kLatencyBounds), answers_(kLatencyBounds), storeReads_(kLatencyBounds) {}

void LatencyHistograms::onOpeningResponse(core::Duration latency) {
  openings_.Observe(seconds(latency));
}

void LatencyHistograms::onDataAcknowledged(core::Duration latency) {
  answers_.Observe(seconds(latency));
}

void LatencyHistograms::onStoreAnswer(core::Duration latency) {
  storeReads_.Observe(seconds(latency));
}

std::vector<prometheus::MetricFamily> LatencyHistograms::collect() const {
  return {
      family("cobaltgauge_opening_seconds",
             "From placing an opening to the caller's first packet after the answer", openings_),
      family("cobaltgauge_answer_seconds",
             "From a caller's new data to its first acknowledgement of new bytes", answers_),
      family("cobaltgauge_store_list_seconds", "Time of one page of the store's listing",
             storeReads_)};
}

std::string tokenMetricsText(const TokenMetricSources& sources) {
  std::vector<prometheus::MetricFamily> families = readTable(definitions(), sources);
  for (prometheus::MetricFamily& histogram : sources.latencies.collect()) {
    families.push_back(std::move(histogram));
  }
  return renderMetrics(families);
}

}  // namespace cobaltgauge::daemon
