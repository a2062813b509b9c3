#include "daemon/token_log.h"

#include "core/constants.h"
#include "daemon/log.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

constexpr double kMillisecondsPerSecond = 1000;

std::string hex(core::BackendId id) {
  char text[17];
  std::snprintf(text, sizeof(text), "%llx",
                static_cast<unsigned long long>(static_cast<std::uint64_t>(id)));
  return text;
}

std::string formatFraction(double number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f", number);
  return text;
}

std::string formatFlow(const core::FlowKey& flow) {
  return net::formatEndpoint(flow.source) + ">" + net::formatEndpoint(flow.destination);
}

/// Logs one line per request; packets without data are ignored.
void logTokenResolved(const core::PacketSummary& packet, const core::ForwardToBackend& forward,
                      core::Revision viewRevision) {
  if (packet.dataLength == 0) {
    return;
  }
  logEvent(LogLevel::kInfo, "token_resolved",
           {{"flow", formatFlow(packet.flow)},
            {"address", net::formatEndpoint(forward.backend.endpoint)},
            {"version", std::to_string(forward.version)},
            {"revision", toString(viewRevision)}});
}

void logForward(const core::PacketSummary& packet, const core::ForwardToBackend& forward,
                const core::TokenSteering& steering, core::Revision viewRevision) {
  if (forward.reason == core::RouteReason::kCarriedToken) {
    return;
  }
  if (forward.reason == core::RouteReason::kResolvedToken) {
    logTokenResolved(packet, forward, viewRevision);
    return;
  }
  const core::OpeningDecision& decision = steering.lastDecision();
  logEvent(LogLevel::kInfo, "opening_forwarded",
           {{"flow", formatFlow(packet.flow)},
            {"retransmission", std::to_string(packet.openingRetransmission)},
            {"rule", toString(forward.reason)},
            {"backend", hex(forward.backend.id)},
            {"route", decision.route},
            {"open_flows", std::to_string(decision.openFlows)},
            {"candidates", std::to_string(decision.candidates)},
            {"slow", std::to_string(decision.slowCandidates)},
            {"warming_up", std::to_string(decision.warmingUpCandidates)},
            {"spilled", decision.spilled ? "yes" : "no"},
            {"version", std::to_string(decision.version)},
            {"revision", toString(viewRevision)}});
}

const char* eventOf(core::ViewChange::Kind kind) {
  return kind == core::ViewChange::Kind::kEvacuationBegan  ? "zone_evacuated"
         : kind == core::ViewChange::Kind::kEvacuationLost ? "evacuation_lost"
                                                           : "zone_restored";
}

void logEvacuation(const core::ViewChange& change, core::Duration viewAge) {
  logEvent(LogLevel::kWarning, eventOf(change.kind),
           {{"zone", change.zone},
            {"key", change.key},
            {"revision", toString(change.revision)},
            {"view_age_ms", std::to_string(viewAge / std::chrono::milliseconds(1))}});
}

}  // namespace

void logVerdict(const core::PacketSummary& packet, const core::Verdict& verdict,
                const core::TokenSteering& steering, core::Revision viewRevision) {
  if (const auto* forward = std::get_if<core::ForwardToBackend>(&verdict)) {
    logForward(packet, *forward, steering, viewRevision);
    return;
  }
  const auto* refusal = std::get_if<core::Refuse>(&verdict);
  const auto* drop = std::get_if<core::Drop>(&verdict);
  const char* reason = refusal != nullptr ? toString(refusal->reason)
                       : drop != nullptr  ? toString(drop->reason)
                                          : "none";
  logEvent(LogLevel::kWarning, refusal != nullptr ? "packet_refused" : "packet_dropped",
           {{"flow", formatFlow(packet.flow)},
            {"reason", reason},
            {"token", std::to_string(static_cast<std::uint32_t>(packet.token))},
            {"retransmission", std::to_string(packet.openingRetransmission)},
            {"version", std::to_string(steering.routes().version())},
            {"revision", toString(viewRevision)}});
}

void logKeepAlive(const core::FlowKeepAlive& keepAlive, core::Revision viewRevision) {
  logEvent(LogLevel::kInfo, "flow_keepalive",
           {{"flow", formatFlow(keepAlive.flow)},
            {"reason", "address_reassigned"},
            {"backend", hex(keepAlive.forward.backend.id)},
            {"address", net::formatEndpoint(keepAlive.forward.backend.endpoint)},
            {"revision", toString(viewRevision)}});
}

void logReset(const core::FlowReset& reset, core::Revision viewRevision) {
  logEvent(LogLevel::kWarning, "flow_reset",
           {{"flow", formatFlow(reset.flow)},
            {"reason", toString(reset.reason)},
            {"backend", hex(reset.backend)},
            {"revision", toString(viewRevision)}});
}

void logProbe(const core::BackendAddress& backend, core::ProbeResult result) {
  logEvent(LogLevel::kInfo, "backend_probed",
           {{"backend", hex(backend.id)},
            {"address", net::formatEndpoint(backend.endpoint)},
            {"result", core::ToString(result)}});
}

void logInconclusiveProbe(const core::BackendAddress& backend, core::InconclusiveReason reason) {
  logEvent(LogLevel::kInfo, "probe_inconclusive",
           {{"backend", hex(backend.id)}, {"reason", core::ToString(reason)}});
}

void logViewChange(const core::ViewChange& change, core::Duration viewAge) {
  switch (change.kind) {
    case core::ViewChange::Kind::kEvacuationBegan:
    case core::ViewChange::Kind::kEvacuationEnded:
    case core::ViewChange::Kind::kEvacuationLost:
      logEvacuation(change, viewAge);
      return;
    case core::ViewChange::Kind::kBackend:
      logEvent(LogLevel::kInfo, "backend_changed",
               {{"key", change.key},
                {"change", toString(change.backendEvent)},
                {"service", change.service},
                {"revision", toString(change.revision)}});
      return;
    case core::ViewChange::Kind::kRoutes:
      logEvent(
          LogLevel::kInfo, "routes_activated",
          {{"version", std::to_string(change.version)}, {"revision", toString(change.revision)}});
      return;
    case core::ViewChange::Kind::kOlderRoutes:
      logEvent(LogLevel::kWarning, "routes_refused",
               {{"reason", "older than the active version"},
                {"version", std::to_string(change.version)},
                {"revision", toString(change.revision)}});
      return;
    case core::ViewChange::Kind::kFirstListing:
      logEvent(
          LogLevel::kInfo, "first_listing_applied",
          {{"backends", std::to_string(change.backends)}, {"revision", toString(change.revision)}});
      return;
    case core::ViewChange::Kind::kAllBackendsKnown:
      logEvent(LogLevel::kInfo, "all_backends_known",
               {{"backends", std::to_string(change.backends)},
                {"view_age_ms", std::to_string(viewAge / std::chrono::milliseconds(1))}});
      return;
    case core::ViewChange::Kind::kUnreadable:
      logEvent(LogLevel::kError, "item_unreadable",
               {{"key", change.key},
                {"revision", toString(change.revision)},
                {"bytes", std::to_string(change.size)},
                {"reason", change.reason}});
      return;
  }
}

void logChangeSummary(const ViewChangeLogger::Summary& summary) {
  LogFields fields;
  for (std::size_t event = 0; event < summary.counts.size(); ++event) {
    if (summary.counts[event] != 0) {
      fields.emplace_back(toString(static_cast<core::RegistryEvent>(event)),
                          std::to_string(summary.counts[event]));
    }
  }
  fields.emplace_back("first_key", summary.firstKey);
  fields.emplace_back("first_revision", toString(summary.first));
  fields.emplace_back("last_revision", toString(summary.last));
  logEvent(LogLevel::kInfo, "backends_changed", fields);
}

void logUnreadableSummary(const ViewChangeLogger::Summary& summary) {
  const auto event = static_cast<std::size_t>(core::RegistryEvent::kNone);
  logEvent(LogLevel::kError, "items_unreadable",
           {{"items", std::to_string(summary.counts[event])},
            {"first_key", summary.firstKey},
            {"first_revision", toString(summary.first)},
            {"last_revision", toString(summary.last)}});
}

void logStoreRead(const core::StoreRead& read, const core::StoreReply& reply,
                  core::Duration latency, core::Revision viewRevision) {
  const bool isList = read.kind == core::StoreRead::Kind::kList;
  logEvent(LogLevel::kInfo, "store_read",
           {{"read", isList ? "list" : "watch"},
            {"cause", toString(read.cause)},
            {"range", isList ? toString(read.range.kind) : "changes"},
            {"outcome", toString(reply.outcome)},
            {"changes", std::to_string(reply.changes.size())},
            {"latency_ms", std::to_string(latency / std::chrono::milliseconds(1))},
            {"store_revision", toString(reply.revision)},
            {"revision", toString(viewRevision)}});
}

void logServingChange(const core::ServingChange& change, core::Revision viewRevision) {
  logEvent(LogLevel::kWarning, change.Serving ? "serving" : "not_serving",
           {{"reason", core::ToString(change.Reason)},
            {"unanswered_backends", std::to_string(change.UnansweredBackends)},
            {"probes_timed_out", std::to_string(change.TimedOut)},
            {"unanswered_ms", std::to_string(change.UnansweredFor / std::chrono::milliseconds(1))},
            {"revision", toString(viewRevision)}});
}

void logUnreachableGroup(const core::BackendGroup& group, std::size_t unreachableGroups,
                         const core::BackendRegistry& backends, core::Revision viewRevision) {
  logEvent(LogLevel::kWarning, "group_unreachable",
           {{"service", backends.nameOf(group.Service)},
            {"zone", backends.nameOf(group.Zone)},
            {"unreachable_groups", std::to_string(unreachableGroups)},
            {"revision", toString(viewRevision)}});
}

void logAdmission(const core::AdmissionState& state) {
  const core::OpeningStatistics& statistics = state.Inputs;
  logEvent(LogLevel::kWarning, state.IsLimited ? "openings_limited" : "openings_unlimited",
           {{"service", state.Service},
            {"admitted_share", formatFraction(state.AdmittedShare)},
            {"admitted_per_s", formatFraction(state.AdmittedRate)},
            {"offered", formatFraction(statistics.CountOffered())},
            {"served", std::to_string(statistics.Served)},
            {"rejected", std::to_string(statistics.Rejected)},
            {"interval_ms", formatFraction(statistics.Seconds * kMillisecondsPerSecond)},
            {"rejected_by_serving", std::to_string(state.Distribution.ByServing)},
            {"expected_by_serving", formatFraction(state.Distribution.ExpectedByServing)},
            {"capacity", ToString(state.Capacity)},
            {"growth_factor", formatFraction(state.GrowthFactor)}});
}

void logSpillover(const core::SpilloverChange& change, const core::BackendRegistry& backends,
                  core::Revision viewRevision) {
  logEvent(LogLevel::kWarning, change.Started ? "spill_began" : "spill_ended",
           {{"service", backends.nameOf(change.Service)},
            {"zone", backends.nameOf(change.Zone)},
            {"local_share", std::to_string(change.LocalShare)},
            {"demand", std::to_string(change.Demand)},
            {"lowest_demand", std::to_string(change.LowestDemand)},
            {"age_ms", std::to_string(change.Age / std::chrono::milliseconds(1))},
            {"revision", toString(viewRevision)}});
}

void logOutlier(core::BackendId backend, core::Revision viewRevision) {
  logEvent(LogLevel::kWarning, "outlier_found",
           {{"backend", hex(backend)},
            {"min_reporters", std::to_string(core::kMinOutlierReporters)},
            {"revision", toString(viewRevision)}});
}

void logZoneBusyChange(const core::ZoneBusyChange& change, const core::BackendRegistry& backends,
                       std::uint32_t daemons) {
  logEvent(LogLevel::kInfo, change.IsBusy ? "zone_busy" : "zone_not_busy",
           {{"service", backends.nameOf(change.Key.first)},
            {"zone", backends.nameOf(change.Key.second)},
            {"in_flight", std::to_string(change.Load.InFlight)},
            {"slots", std::to_string(change.Slots)},
            {"openings", std::to_string(change.Load.OpeningsInSecond)},
            {"rejected", std::to_string(change.Load.RejectedInSecond)},
            {"age_ms", std::to_string(change.Age / std::chrono::milliseconds(1))},
            {"daemons", std::to_string(daemons)}});
}

}  // namespace cobaltgauge::daemon
