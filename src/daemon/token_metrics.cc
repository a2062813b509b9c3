#include "daemon/token_metrics.h"

#include "daemon/log.h"
#include "daemon/metric_table.h"
#include "net/packet_format.h"

namespace cobaltgauge::daemon {
namespace {

using prometheus::MetricType;
using Sources = TokenMetricSources;
using Definition = MetricDefinition<Sources>;

/// Upper bounds in seconds, from the latency inside a zone to the longest client timeout.
const prometheus::Histogram::BucketBoundaries kLatencyBounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
                                                             0.1,   0.2,   0.5,   1.0,  2.0,  5.0};

/// @return the bytes sent by message type, without types that were not sent.
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

std::vector<MetricSample> localShares(const core::TokenSteering& steering) {
  std::vector<MetricSample> samples;
  for (const auto& [zone, localShare] : steering.spillover().GetLocalShareByZone()) {
    samples.push_back({steering.backends().nameOf(zone), localShare});
  }
  return samples;
}

double seconds(core::Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::vector<MetricSample> byPriority(const core::PriorityAdmission& admission,
                                     std::uint64_t core::PriorityCounters::*count) {
  std::vector<MetricSample> samples;
  for (const auto& [service, priorities] : admission.GetCounters()) {
    for (const auto& [priority, counters] : priorities) {
      samples.push_back(
          {service + "/" + std::to_string(priority), static_cast<double>(counters.*count)});
    }
  }
  return samples;
}

/// @return a sample for each service and zone that has a value, labelled SERVICE/ZONE.
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
      {"cobaltgauge_packets_received_total", "Datagrams received on the data socket", nullptr,
       MetricType::Counter, [](const Sources& s) { return single(s.packets.counters().received); }},
      {"cobaltgauge_packets_to_backends_total", "Packets forwarded to backends", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().sentToBackends); }},
      {"cobaltgauge_packets_routed_total", "Packets routed, by the rule that selected the backend",
       "reason", MetricType::Counter,
       [](const Sources& s) { return byReason<core::RouteReason>(s.steering.counters().routed); }},
      {"cobaltgauge_packets_dropped_total", "Packets dropped, by reason", "reason",
       MetricType::Counter,
       [](const Sources& s) { return byReason<core::DropReason>(s.steering.counters().dropped); }},
      {"cobaltgauge_packets_refused_total", "Packets refused, by reason", "reason",
       MetricType::Counter,
       [](const Sources& s) {
         return byReason<core::RefuseReason>(s.steering.counters().refused);
       }},
      {"cobaltgauge_packet_faults_total", "Malformed datagrams", "reason", MetricType::Counter,
       [](const Sources& s) {
         return byReason<net::PacketFormatError>(s.packets.counters().formatErrors);
       }},
      {"cobaltgauge_packets_retried_total", "Packets reprocessed after a change of the view",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().retried); }},
      {"cobaltgauge_refusals_sent_total", "Refusals and resets sent to clients", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().refusalsSent); }},
      {"cobaltgauge_flow_keepalives_total",
       "Keepalives sent on flows of backends whose address was reassigned", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().keepAlivesSent); }},
      {"cobaltgauge_data_send_errors_total", "Packets that could not be sent on the data socket",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.packets.counters().sendErrors); }},
      {"cobaltgauge_open_flows", "Open flows known to this daemon", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.flows().size()); }},
      {"cobaltgauge_flow_evictions_total", "Open flows evicted from the flow table", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.flows().evictions()); }},
      {"cobaltgauge_backends_known", "Backends that tokens can address, including removed ones",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.backends().size()); }},
      {"cobaltgauge_backends_active", "Backends that accept new flows", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.backends().activeCount()); }},
      {"cobaltgauge_backend_probes_total", "Probes of unresponsive backends", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.health().counters().probes); }},
      {"cobaltgauge_backends_declared_dead_total", "Backends whose flows were reset", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.health().counters().declaredDead); }},
      {"cobaltgauge_backend_probes_unproven_total", "Inconclusive probes of unresponsive backends",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.health().counters().inconclusive); }},
      {"cobaltgauge_routes_version", "Active configuration version", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.routes().version()); }},
      {"cobaltgauge_store_revision", "Store revision of the view", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.reader.revision().number); }},
      {"cobaltgauge_store_era",
       "Era of the store; increases when the store is restored from an older copy", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(static_cast<std::uint64_t>(s.reader.storeEra())); }},
      {"cobaltgauge_store_reads_total", "Reads of the store, by kind", "kind", MetricType::Counter,
       [](const Sources& s) {
         return std::vector<MetricSample>{
             {"list", static_cast<double>(s.reader.counters().lists)},
             {"watch", static_cast<double>(s.reader.counters().watches)}};
       }},
      {"cobaltgauge_store_failures_total", "Failed reads of the store", nullptr,
       MetricType::Counter, [](const Sources& s) { return single(s.reader.counters().failures); }},
      {"cobaltgauge_store_history_gone_total",
       "Watches from revisions older than the history of the store", nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.reader.counters().historyGone); }},
      {"cobaltgauge_store_responses_too_large_total",
       "Watches whose changes exceeded the largest response, so that the store was listed again",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.reader.counters().tooLarge); }},
      {"cobaltgauge_items_unreadable", "Items of the store that cannot be read, up to 1024",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.updater.refusedItems().size()); }},
      {"cobaltgauge_items_refused_total", "Items of the store refused because they cannot be read",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.updater.refusedItems().total()); }},
      {"cobaltgauge_peers_known", "Daemons that can be asked for their view", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetExchange().peerCount()); }},
      {"cobaltgauge_view_requests_total", "Requests for a view sent to peers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetExchange().counters().requestsSent); }},
      {"cobaltgauge_views_answered_total", "View requests of peers answered", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetExchange().counters().requestsAnswered); }},
      {"cobaltgauge_views_taken_total", "Views of peers applied", nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetExchange().counters().viewsApplied); }},
      {"cobaltgauge_view_whole", "1 if the view contains every backend, 0 if it is a sample",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.reader.hasAllBackends()); }},
      {"cobaltgauge_view_pages_given_total", "Backfill pages sent to peers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetBackfill().GetCounters().PagesSent); }},
      {"cobaltgauge_view_pages_refused_total", "Backfill requests of peers refused", nullptr,
       MetricType::Counter,
       [](const Sources& s) {
         return single(s.peers.GetBackfill().GetCounters().RequestsRefused);
       }},
      {"cobaltgauge_view_pages_taken_total", "Backfill pages of peers applied", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetBackfill().GetCounters().PagesApplied); }},
      {"cobaltgauge_reads_store", "1 while this daemon reads the store, 0 while it follows a peer",
       nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetRelay().IsReading() ? 1 : 0); }},
      {"cobaltgauge_followers", "Daemons that follow this one", nullptr, MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetRelay().CountFollowers()); }},
      {"cobaltgauge_view_updates_sent_total", "Updates of the view sent to followers", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().UpdatesSent); }},
      {"cobaltgauge_view_updates_taken_total", "Updates of peers applied to the view", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().UpdatesApplied); }},
      {"cobaltgauge_view_gaps_total",
       "Updates of peers whose base revision was missing in the view", nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().Gaps); }},
      {"cobaltgauge_store_takeovers_total",
       "Times this daemon started to read the store because no peer had a current view", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetRelay().GetCounters().ReadsStarted); }},
      {"cobaltgauge_late_answers_total", "Late responses and failed backends", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetOutliers().GetCounters().LateResponses); }},
      {"cobaltgauge_late_answers_withheld_total",
       "Late responses not reported because this daemon was the likely cause", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetOutliers().GetCounters().Withheld); }},
      {"cobaltgauge_outliers", "Outlier backends, which are deprioritized for new flows", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetOutliers().CountOutliers()); }},
      {"cobaltgauge_outliers_found_total", "Outliers detected by this daemon", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetOutliers().GetCounters().Detected); }},
      {"cobaltgauge_openings_wanted_total", "Offered openings, by service and priority",
       "service_rank", MetricType::Counter,
       [](const Sources& s) { return byPriority(s.admission, &core::PriorityCounters::Offered); }},
      {"cobaltgauge_openings_no_room_total",
       "Offered openings refused because backends are overloaded, by service and priority",
       "service_rank", MetricType::Counter,
       [](const Sources& s) { return byPriority(s.admission, &core::PriorityCounters::Refused); }},
      {"cobaltgauge_openings_limit_per_second",
       "Admission limit while backends are overloaded; 0 means no limit", "service",
       MetricType::Gauge,
       [](const Sources& s) {
         std::vector<MetricSample> samples;
         for (const core::AdmissionState& state : s.admission.GetStates()) {
           samples.push_back({state.Service, state.AdmittedRate});
         }
         return samples;
       }},
      {"cobaltgauge_opening_ends_total", "Completed openings of this daemon, by outcome", "outcome",
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
      {"cobaltgauge_opening_ends_unseen_total", "Openings of this daemon whose outcome is unknown",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.outcomes().GetCounters().Discarded); }},
      {"cobaltgauge_load_in_flight", "Requests in flight in the fleet, by service/zone", "zone",
       MetricType::Gauge,
       [](const Sources& s) {
         return byZone(s, [&s](const core::LoadKey& key, std::uint32_t) {
           return std::optional<double>(s.peers.GetLoad().GetLoad(key).InFlight);
         });
       }},
      {"cobaltgauge_load_slots", "Slots of backends that accept openings, by service/zone", "zone",
       MetricType::Gauge,
       [](const Sources& s) {
         return byZone(s, [](const core::LoadKey&, std::uint32_t slots) {
           return std::optional<double>(slots);
         });
       }},
      {"cobaltgauge_load_utilization",
       "Requests in flight per slot, by service/zone; absent if outdated", "zone",
       MetricType::Gauge,
       [](const Sources& s) {
         return byZone(s, [&s](const core::LoadKey& key, std::uint32_t) -> std::optional<double> {
           const auto capacity = s.peers.GetLoad().GetZoneCapacity(key.first, key.second, s.now);
           return capacity ? std::optional(capacity->Utilization) : std::nullopt;
         });
       }},
      {"cobaltgauge_load_age_milliseconds", "Age of the oldest load statistics", nullptr,
       MetricType::Gauge,
       [](const Sources& s) {
         const std::optional<core::Duration> age = s.peers.GetLoad().GetAge(s.now);
         return age ? single(static_cast<std::uint64_t>(*age / std::chrono::milliseconds(1)))
                    : std::vector<MetricSample>{};
       }},
      {"cobaltgauge_load_daemons", "Daemons included in the load statistics", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(s.peers.GetLoad().CountDaemons()); }},
      {"cobaltgauge_load_messages_total", "Load reports and summaries, by kind and result", "kind",
       MetricType::Counter,
       [](const Sources& s) {
         const core::FleetLoadCounters& counters = s.peers.GetLoad().GetCounters();
         return std::vector<MetricSample>{
             {"report_sent", static_cast<double>(counters.ReportsSent)},
             {"report_taken", static_cast<double>(counters.ReportsAccepted)},
             {"report_ignored", static_cast<double>(counters.ReportsIgnored)},
             {"summary_taken", static_cast<double>(counters.SummariesAccepted)}};
       }},
      {"cobaltgauge_zones_evacuated", "Evacuated zones", nullptr, MetricType::Gauge,
       [](const Sources& s) {
         return single(s.steering.backends().evacuations().GetZones().size());
       }},
      {"cobaltgauge_openings_spilled_total",
       "Openings placed outside the preferred zone for lack of capacity", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.steering.spillover().CountSpilled()); }},
      {"cobaltgauge_zone_kept_share", "Local share of a zone's openings, minimum over its services",
       "zone", MetricType::Gauge, [](const Sources& s) { return localShares(s.steering); }},
      {"cobaltgauge_peer_streams_given_up_total",
       "Peer connections that timed out before their message was transferred", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetTransportCounters().streamsTimedOut); }},
      {"cobaltgauge_peer_streams_refused_total",
       "Peer connections refused because others occupy the memory for incomplete messages", nullptr,
       MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetTransportCounters().streamsRefused); }},
      {"cobaltgauge_peer_bytes_sent_total", "Bytes sent to peers", nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.peers.GetTransportCounters().bytesSent); }},
      {"cobaltgauge_peer_message_bytes_sent_total", "Bytes sent to peers, by message kind", "kind",
       MetricType::Counter,
       [](const Sources& s) { return messageBytes(s.peers.GetTransportCounters()); }},
      {"cobaltgauge_pages_failed_total", "Admin pages that could not be built", nullptr,
       MetricType::Counter, [](const Sources& s) { return single(s.failedPages); }},
      {"cobaltgauge_log_lines_dropped_total", "Log lines dropped because the buffer was full",
       nullptr, MetricType::Counter, [](const Sources&) { return single(droppedLogLines()); }},
      {"cobaltgauge_ready", "1 if this daemon is ready to receive packets", nullptr,
       MetricType::Gauge, [](const Sources& s) { return single(s.ready ? 1 : 0); }},
      {"cobaltgauge_serving",
       "0 if this daemon has determined that it can reach no backend, otherwise 1", nullptr,
       MetricType::Gauge,
       [](const Sources& s) { return single(s.steering.serving().IsServing() ? 1 : 0); }},
      {"cobaltgauge_serving_changes_total", "Changes of the serving state", "to",
       MetricType::Counter,
       [](const Sources& s) {
         const core::ServingCounters& counters = s.steering.serving().GetCounters();
         return std::vector<MetricSample>{{"out", static_cast<double>(counters.StoppedServing)},
                                          {"in", static_cast<double>(counters.ResumedServing)}};
       }},
      {"cobaltgauge_groups_silent", "Unreachable groups, whose backends are deprioritized", nullptr,
       MetricType::Gauge,
       [](const Sources& s) {
         return single(s.steering.unreachableGroups().CountUnreachable(s.now));
       }},
      {"cobaltgauge_groups_found_silent_total", "Unreachable groups detected by this daemon",
       nullptr, MetricType::Counter,
       [](const Sources& s) {
         return single(s.steering.unreachableGroups().GetCounters().Detected);
       }},
      {"cobaltgauge_groups_ended_total", "Unreachable groups that recovered", nullptr,
       MetricType::Counter,
       [](const Sources& s) {
         return single(s.steering.unreachableGroups().GetCounters().Recovered);
       }},
      {"cobaltgauge_group_probes_total", "Probes of backends in the groups of unresponsive ones",
       nullptr, MetricType::Counter,
       [](const Sources& s) {
         return single(s.steering.unreachableGroups().GetCounters().Probes);
       }},
      {"cobaltgauge_group_notices_total", "Notices of unreachable groups probed by this daemon",
       nullptr, MetricType::Counter,
       [](const Sources& s) {
         return single(s.steering.unreachableGroups().GetCounters().Notices);
       }},
      {"cobaltgauge_reach_probes_total", "Probes that check whether any backend is reachable",
       nullptr, MetricType::Counter,
       [](const Sources& s) { return single(s.steering.serving().GetCounters().Probes); }}};
  return kDefinitions;
}

prometheus::MetricFamily family(const char* name, const char* help,
                                const prometheus::Histogram& histogram) {
  return {name, help, MetricType::Histogram, {histogram.Collect()}};
}

}  // namespace

LatencyHistograms::LatencyHistograms()
    : openings_(kLatencyBounds), acknowledgements_(kLatencyBounds), storeReads_(kLatencyBounds) {}

void LatencyHistograms::onOpeningResponse(core::Duration latency) {
  openings_.Observe(seconds(latency));
}

void LatencyHistograms::onDataAcknowledged(core::Duration latency) {
  acknowledgements_.Observe(seconds(latency));
}

void LatencyHistograms::onStoreReply(core::Duration latency) {
  storeReads_.Observe(seconds(latency));
}

std::vector<prometheus::MetricFamily> LatencyHistograms::collect() const {
  return {family("cobaltgauge_opening_seconds",
                 "From placing an opening to the first packet of the client after the response",
                 openings_),
          family("cobaltgauge_answer_seconds",
                 "From new data of a client to its first acknowledgement of new bytes",
                 acknowledgements_),
          family("cobaltgauge_store_list_seconds", "Duration of one page of a store listing",
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
