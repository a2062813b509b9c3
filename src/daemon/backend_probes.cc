#include "daemon/backend_probes.h"

#include "core/constants.h"
#include "daemon/clock.h"
#include "daemon/token_log.h"

namespace cobaltgauge::daemon {

BackendProbes::BackendProbes(asio::io_context& context, core::TokenSteering& steering,
                             PacketPort& packets, PeerLink& peers, const core::StoreReader& reader)
    : steering_(steering),
      packets_(packets),
      peers_(peers),
      reader_(reader),
      prober_(context, [this](const core::BackendAddress& backend,
                              core::ProbeResult result) { onProbe(backend, result); }),
      reachabilityProber_(context, core::kReadinessProbeTimeout,
                          [this](const core::BackendAddress& backend, core::ProbeResult result) {
                            steering_.onReachabilityProbe(backend.id, result, bootTime());
                            executeReachabilityAndGroupProbes(bootTime());
                          }),
      groupProber_(context, core::kGroupProbeTimeout,
                   [this](const core::BackendAddress& backend, core::ProbeResult result) {
                     steering_.onGroupProbe(backend.id, result, bootTime());
                     executeReachabilityAndGroupProbes(bootTime());
                   }) {}

void BackendProbes::executePending(core::Time now) {
  for (const core::BackendAddress& backend : steering_.takeProbes(now)) {
    prober_.probe(backend, steering_.witnessesFor(backend.id, now));
  }
  for (const core::FlowReset& reset : steering_.takeResets()) {
    packets_.refuse(reset.flow, reset.acknowledgement);
    logReset(reset, reader_.revision());
  }
  for (const core::FlowKeepAlive& keepAlive : steering_.takeKeepAlives()) {
    packets_.sendKeepAlive(keepAlive);
    logKeepAlive(keepAlive, reader_.revision());
  }
  executeReachabilityAndGroupProbes(now);
}

void BackendProbes::executeReachabilityAndGroupProbes(core::Time now) {
  for (const core::BackendAddress& backend : steering_.takeReachabilityProbes(now)) {
    reachabilityProber_.probe(backend);
  }
  for (const core::BackendAddress& backend : steering_.takeGroupProbes(now)) {
    groupProber_.probe(backend);
  }
  const core::UnreachableGroupsNotice notice{steering_.unreachableGroups().TakeDetected()};
  for (const core::BackendGroup& group : notice.Groups) {
    logUnreachableGroup(group, steering_.unreachableGroups().CountUnreachable(now),
                        steering_.backends(), reader_.revision());
  }
  peers_.SendNotice(notice);
  for (const core::ServingChange& change : steering_.serving().TakeChanges()) {
    logServingChange(change, reader_.revision());
  }
}

void BackendProbes::onProbe(const core::BackendAddress& backend, core::ProbeResult result) {
  const core::Time now = bootTime();
  logProbe(backend, result);
  steering_.onProbe(backend.id, result, now);
  executePending(now);
}

}  // namespace cobaltgauge::daemon
