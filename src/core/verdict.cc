#include "core/verdict.h"

namespace cobaltgauge::core {

void VerdictCounters::count(const Verdict& verdict) {
  if (const auto* forward = std::get_if<ForwardToBackend>(&verdict)) {
    ++routed[static_cast<std::size_t>(forward->reason)];
  } else if (const auto* refuse = std::get_if<Refuse>(&verdict)) {
    ++refused[static_cast<std::size_t>(refuse->reason)];
  } else if (const auto* drop = std::get_if<Drop>(&verdict)) {
    ++dropped[static_cast<std::size_t>(drop->reason)];
  } else {
    ++forwardedToPeer;
  }
}

bool dependsOnView(DropReason reason) {
  return reason == DropReason::kNoConfiguration || reason == DropReason::kUnknownToken ||
         reason == DropReason::kEmptyService;
}

bool awaitsBackend(DropReason reason) {
  return reason == DropReason::kUnknownToken || reason == DropReason::kEmptyService ||
         reason == DropReason::kPaced;
}

const char* toString(RouteReason reason) {
  switch (reason) {
    case RouteReason::kKnownFlow:
      return "known_flow";
    case RouteReason::kSettledBucket:
      return "settled_bucket";
    case RouteReason::kNewFlow:
      return "new_flow";
    case RouteReason::kHomeRecord:
      return "home_record";
    case RouteReason::kHomeOldFlow:
      return "home_old_flow";
    case RouteReason::kHomeNewFlow:
      return "home_new_flow";
    case RouteReason::kCarriedToken:
      return "carried_token";
    case RouteReason::kPlaced:
      return "placed";
    case RouteReason::kRepeated:
      return "repeated";
    case RouteReason::kReplaced:
      return "replaced";
    case RouteReason::kResolvedToken:
      return "reached";
  }
  return "invalid";
}

const char* toString(DropReason reason) {
  switch (reason) {
    case DropReason::kNoService:
      return "no_service";
    case DropReason::kNoConfiguration:
      return "no_configuration";
    case DropReason::kFenced:
      return "fenced";
    case DropReason::kTooManyHops:
      return "too_many_hops";
    case DropReason::kHomeSyncing:
      return "home_syncing";
    case DropReason::kUnknownToken:
      return "unknown_token";
    case DropReason::kStaleView:
      return "stale_view";
    case DropReason::kStaleOpening:
      return "stale_opening";
    case DropReason::kPaced:
      return "paced";
    case DropReason::kEmptyService:
      return "empty_service";
  }
  return "invalid";
}

const char* toString(RefuseReason reason) {
  switch (reason) {
    case RefuseReason::kNewFlowRate:
      return "new_flow_rate";
    case RefuseReason::kBackendLimit:
      return "backend_limit";
    case RefuseReason::kNoBackend:
      return "no_backend";
    case RefuseReason::kPartitioned:
      return "cut_off";
    case RefuseReason::kNoRoute:
      return "no_route";
    case RefuseReason::kRouteDropped:
      return "route_dropped";
    case RefuseReason::kEvacuated:
      return "evacuated";
    case RefuseReason::kOverloaded:
      return "no_room";
    case RefuseReason::kWarmingUp:
      return "warming_up";
    case RefuseReason::kBackendDead:
      return "backend_dead";
  }
  return "invalid";
}

}  // namespace cobaltgauge::core
