/// @file
/// Log lines of token steering: one for each decision about a flow, which is identified by its key,
/// and one for each change of the state known to the daemon.
#pragma once

#include "core/load/fleet_load.h"
#include "core/store_reader.h"
#include "core/token_steering.h"
#include "core/view_updater.h"
#include "daemon/view_change_logger.h"

namespace cobaltgauge::daemon {

/// Logs the verdict on a packet. Packets forwarded by the token that they carry are not logged.
void logVerdict(const core::PacketSummary& packet, const core::Verdict& verdict,
                const core::TokenSteering& steering, core::Revision viewRevision);

/// Logs that a keepalive was sent on a flow.
void logKeepAlive(const core::FlowKeepAlive& keepAlive, core::Revision viewRevision);

/// Logs that a flow was reset because its backend is gone.
void logReset(const core::FlowReset& reset, core::Revision viewRevision);

/// Logs the result of a probe.
void logProbe(const core::BackendAddress& backend, core::ProbeResult result);

/// Logs why a backend is not considered failed although it accepted no connection.
void logInconclusiveProbe(const core::BackendAddress& backend, core::InconclusiveReason reason);

/// Logs the summary of backend changes that were not logged individually.
void logChangeSummary(const ViewChangeLogger::Summary& summary);
/// Logs a change of the view. @param viewAge time since the view was last synchronized with the
/// store; upper bound of the age of the change.
void logViewChange(const core::ViewChange& change, core::Duration viewAge);

/// Logs a read of the store with its cause and outcome.
/// Logs how many items that cannot be read were not logged one by one.
void logUnreadableSummary(const ViewChangeLogger::Summary& summary);
void logStoreRead(const core::StoreRead& read, const core::StoreReply& reply,
                  core::Duration latency, core::Revision viewRevision);

/// Logs that this daemon started or stopped serving, depending on which backends are reachable.
void logServingChange(const core::ServingChange& change, core::Revision viewRevision);

/// Logs that a group is unreachable and its backends are deprioritized for new flows.
/// @param unreachableGroups current number of unreachable groups.
void logUnreachableGroup(const core::BackendGroup& group, std::size_t unreachableGroups,
                         const core::BackendRegistry& backends, core::Revision viewRevision);

/// Logs that the admission limit of a service was set, changed significantly or removed, with the
/// statistics that caused it.
void logAdmission(const core::AdmissionState& state);

/// Logs that several daemons reported missing responses of a backend, which is deprioritized for
/// new flows.
void logOutlier(core::BackendId backend, core::Revision viewRevision);

/// Logs that spillover of connection attempts from a zone to others started or ended.
void logSpillover(const core::SpilloverChange& change, const core::BackendRegistry& backends,
                  core::Revision viewRevision);

/// Logs that the backends of a service in a zone became busy or returned to normal load.
/// @param daemons number of daemons whose load is included.
void logZoneBusyChange(const core::ZoneBusyChange& change, const core::BackendRegistry& backends,
                       std::uint32_t daemons);

}  // namespace cobaltgauge::daemon
