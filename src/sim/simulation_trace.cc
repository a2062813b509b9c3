/// @file
/// Traces the routing decisions of one session for debugging.
#include <sstream>

#include "sim/simulation.h"

namespace cobaltgauge::sim {
namespace {

std::string memberName(const core::Balancer& balancer, core::MemberId id) {
  const core::Member* member = balancer.membership().members().find(id);
  return member == nullptr ? "-" : member->identity.name;
}

const char* kindName(WorkKind kind) {
  switch (kind) {
    case WorkKind::kOpen:
      return "open";
    case WorkKind::kSubmit:
      return "submit";
    case WorkKind::kFetch:
      return "fetch";
    case WorkKind::kClose:
      return "close";
  }
  return "invalid";
}

}  // namespace

std::string Simulation::backendName(const core::Balancer& balancer, core::BackendId id) const {
  const core::BackendAddress* address = balancer.findBackend(id);
  return address == nullptr ? "-" : backendsByEndpoint_.at(address->endpoint)->name();
}

std::string Simulation::describe(const core::Verdict& verdict) const {
  if (const auto* forward = std::get_if<core::ForwardToBackend>(&verdict)) {
    return "to " + backendsByEndpoint_.at(forward->backend.endpoint)->name() + " by " +
           core::toString(forward->reason);
  }
  if (const auto* peerForward = std::get_if<core::ForwardToPeer>(&verdict)) {
    return "to peer " + findByControl(peerForward->destination)->name() + ", hop " +
           std::to_string(peerForward->hops);
  }
  if (const auto* refusal = std::get_if<core::Refuse>(&verdict)) {
    return std::string("refused: ") + core::toString(refusal->reason);
  }
  return std::string("dropped: ") + core::toString(std::get<core::Drop>(verdict).reason);
}

void Simulation::trace(const SimulatedDaemon& daemon, const core::Verdict& verdict,
                       const WorkRequest& request) {
  std::ostringstream line;
  line << "t=" << queue_.now().count() / 1000 << "ms " << daemon.name() << " v"
       << daemon.router().activeVersion() << " " << kindName(request.kind) << " "
       << request.messageId << ": " << describe(verdict);
  const core::Balancer* balancer = balancerOf(daemon.router());
  const auto explanation =
      balancer == nullptr ? std::nullopt : balancer->explain(request.packet.flow, queue_.now());
  if (explanation) {
    line << " [bucket " << explanation->bucket << (explanation->settled ? " settled" : " unsettled")
         << " current " << backendName(*balancer, explanation->current) << " previous "
         << backendName(*balancer, explanation->previous) << " home "
         << memberName(*balancer, explanation->owners.home) << " replica "
         << memberName(*balancer, explanation->owners.replica) << "]";
  }
  trace_.push_back(line.str());
}

}  // namespace cobaltgauge::sim
