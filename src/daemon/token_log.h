/// @file
/// Log lines of token steering: one for each decision that touches a flow, and one for each change
/// of what the daemon believes. The flow's key is its id.
#pragma once

#include "core/load/fleet_load.h"
#include "core/store_reader.h"
#include "core/token_steering.h"
#include "core/view_updater.h"
#include "daemon/view_change_logger.h"

namespace cobaltgauge::daemon {

/// Logs a verdict on a packet. Forwarding a packet of an open flow is no decision and not logged.
void logVerdict(const core::PacketSummary& packet, const core::Verdict& verdict,
                const core::TokenSteering& steering, core::Revision viewRevision);

/// Logs that a flow's caller is told that its back end is gone.
void logReset(const core::FlowReset& reset, core::Revision viewRevision);

/// Logs the result of a probe.
void logProbe(const core::BackendAddress& backend, core::ProbeResult result);

/// Logs why a back end that took no connection is not taken for dead.
void logInconclusiveProbe(const core::BackendAddress& backend, core::ProbeDoubt doubt);

/// Logs changes of back ends that had no lines of their own.
void logChangeSummary(const ViewChangeLogger::Summary& summary);
/// Logs a change of the view. @param viewAge since the view was last known to be the store's: the
/// change cannot have been made longer ago.
void logViewChange(const core::ViewChange& change, core::Duration viewAge);

/// Logs one read of the store, its cause and what it gave.
void logStoreRead(const core::StoreRead& read, const core::StoreReply& reply,
                  core::Duration latency, core::Revision viewRevision);

/// This daemon began or ceased to ask for packets, by what it reaches.
void logServingChange(const core::ServingChange& change, core::Revision viewRevision);

/// All back ends of a group come last for new flows. @param unreachableGroups how many groups do.
void logUnreachableGroup(const core::BackendGroup& group, std::size_t unreachableGroups,
                         const core::BackendRegistry& backends, core::Revision viewRevision);

/// Logs that a service's limit began, changed by much or ended, and by what.
void logAdmission(const core::AdmissionState& state);

/// A back end left callers of several daemons without answers; it comes last for new flows.
void logOutlier(core::BackendId backend, core::Revision viewRevision);

/// Openings of a service begin or cease to leave a zone for want of room.
void logSpillover(const core::SpilloverChange& change, const core::BackendRegistry& backends,
                  core::Revision viewRevision);

/// Back ends of a service in a zone are more than half used, or no longer. @param daemons whose
/// load it is.
void logZoneBusyChange(const core::ZoneBusyChange& change, const core::BackendRegistry& backends,
                       std::uint32_t daemons);

}  // namespace cobaltgauge::daemon
