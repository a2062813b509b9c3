#include "core/admission/rank_admission.h"

#include <algorithm>
#include <cmath>

#include "core/admission/admission_limits.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// A rate is taken of no shorter span, in seconds.
constexpr double kShortestSpan =
  std::chrono::duration<double>(kAdmissionStep).count();

/// Tell whether enough openings are rejected, and not ever fewer of them.
bool ShowFullness(const AdmissionState& state)
{
  const double share = state.Inputs.GetRejectedShare();
  const double recent = state.Recent.GetRejectedShare();
  return share <= 1 - kLeastServedShare && recent >= kFallingShare * share &&
    std::min(share, recent) > kFullFrom;
}

FleetRoom ToFleetRoom(const ZoneCapacity& room)
{
  if (room.Utilization < kMuchRoomBelow) {
    return FleetRoom::kMuchRoom;
  }
  if (room.Utilization < kNoIdleSlot) {
    return FleetRoom::kIdleSlots;
  }
  return room.RejectedShare < kFleetRejects ? FleetRoom::kFewRejected
                                            : FleetRoom::kFull;
}

} // namespace

void RankAdmission::SetOptions(const RankAdmissionOptions& options)
{
  this->Options = options;
  for (auto& [id, service] : this->Services) {
    if (!options.Enabled) {
      Lift(service);
    }
  }
}

void RankAdmission::SetRoom(const CapacityView* room, ZonesOf zonesOf)
{
  this->Room = room;
  this->Zones = std::move(zonesOf);
}

bool RankAdmission::Admit(const Route& route, Time now, bool mayRefuse)
{
  double weights = 0;
  for (const RouteTarget& target : route.targets) {
    weights += target.weight;
  }
  const auto forEach = [&](const auto& take) {
    for (const RouteTarget& target : route.targets) {
      if (target.weight > 0) {
        take(this->Services[serviceIdOf(target.service)], target);
      }
    }
  };
  bool isAdmitted = weights == 0 || !mayRefuse;
  forEach([&](Service& service, const RouteTarget& target) {
    service.State.Service = target.service;
    service.Ranks.insert(route.priority);
    service.Counts.OnWanted(route.priority, target.weight / weights, now);
    this->Update(serviceIdOf(target.service), service, now);
    // Any part of a split may run the opening.
    isAdmitted = isAdmitted || !service.State.IsLimited ||
      service.Bucket.Take(route.priority, now);
  });
  if (isAdmitted) {
    forEach([&](Service& service, const RouteTarget& target) {
      service.Counts.OnLetIn(target.weight / weights, now);
    });
  }
  RankCounters& counters =
    this->Counters[route.targets.front().service][route.priority];
  ++counters.Wanted;
  counters.Refused += isAdmitted ? 0 : 1;
  return isAdmitted;
}

bool RankAdmission::IsLimited(ServiceId service) const
{
  const auto found = this->Services.find(service);
  return found != this->Services.end() && found->second.State.IsLimited;
}

void RankAdmission::OnOpeningEnded(const OpeningResult& result, Time now)
{
  const auto service = this->Services.find(result.Service);
  if (service != this->Services.end()) {
    service->second.Counts.OnResult(result, now);
  }
}

void RankAdmission::Expire(Time now)
{
  std::erase_if(this->Services, [now](const auto& item) {
    return now - item.second.LastAsked > kAdmissionMemory;
  });
  for (auto& [id, service] : this->Services) {
    if (now - service.LastAsked > kAdmissionSteps * kAdmissionStep) {
      Lift(service);
    }
  }
}

std::vector<AdmissionState> RankAdmission::TakeChanges(Time now)
{
  std::vector<AdmissionState> changes;
  for (auto& [id, service] : this->Services) {
    const AdmissionState& state = service.State;
    const bool isChanged = state.IsLimited != service.ToldLimited ||
      std::abs(state.Share - service.ToldShare) >= kToldChange;
    if (isChanged && now - service.ToldAt >= kTellEvery) {
      service.ToldLimited = state.IsLimited;
      service.ToldShare = state.Share;
      service.ToldAt = now;
      changes.push_back(state);
    }
  }
  return changes;
}

std::vector<AdmissionState> RankAdmission::GetStates() const
{
  std::vector<AdmissionState> states;
  for (const auto& [id, service] : this->Services) {
    states.push_back(service.State);
  }
  return states;
}

void RankAdmission::Update(ServiceId id, Service& service, Time now) const
{
  service.LastAsked = now;
  if (!this->Options.Enabled || now < service.NextUpdate) {
    return;
  }
  service.NextUpdate = now + kAdmissionStep;
  AdmissionState& state = service.State;
  service.Counts.Expire(now);
  state.Inputs = service.Counts.GetFigures(kFewestSteps, kEnoughResults, now);
  state.Recent = service.Counts.GetFigures(kRecentSteps, kRecentResults, now);
  if (!this->IsFull(id, service, now)) {
    Lift(service);
    return;
  }
  const double wanted = state.Inputs.CountWanted();
  const double served = state.Inputs.EstimateServed();
  // A share of what is wanted draws daemons together that refuse unequally.
  const double headroom =
    std::min(kHeadroomOfWanted * wanted, kMostHeadroom * served);
  this->Probe(service, headroom / (served + headroom));
  const double budget = (served + headroom) * state.Probe;
  if (budget >= wanted) {
    Lift(service);
    return;
  }
  this->Limit(service, budget, now);
}

void RankAdmission::Probe(Service& service, double expected)
{
  AdmissionState& state = service.State;
  const double share = state.Recent.GetRejectedShare();
  if (!state.IsLimited || share >= kCalmPart * expected) {
    state.Probe = 1;
    service.CalmSteps = 0;
    service.CountedAt = service.Counts.CountAllResults();
    return;
  }
  // A growth shows in the results to come; no further one without them.
  const std::uint64_t counted = service.Counts.CountAllResults();
  if (counted - service.CountedAt >= kResultsPerGrowth) {
    service.CountedAt = counted;
    state.Probe +=
      std::ldexp(kProbeGrowth, static_cast<int>(service.CalmSteps));
    service.CalmSteps = std::min(service.CalmSteps + 1, kMostCalmSteps);
  }
}

bool RankAdmission::IsFull(ServiceId id, Service& service, Time now) const
{
  AdmissionState& state = service.State;
  const OpeningFigures& inputs = state.Inputs;
  const bool isTold =
    inputs.CountResults() >= kFewestResults && inputs.Served >= kFewestServed;
  const bool isSuspect =
    state.IsLimited || inputs.GetRejectedShare() > kFleetRejects;
  if (!isTold || !isSuspect) {
    return false;
  }
  state.Room = this->GetFleetRoom(id, now);
  state.Spread = service.Counts.GetSpread();
  switch (state.Room) {
    case FleetRoom::kMuchRoom:
      return false;
    case FleetRoom::kIdleSlots:
      return state.IsLimited && !state.Spread.ShowsSick();
    case FleetRoom::kFull:
      return !state.Spread.ShowsSick();
    case FleetRoom::kFewRejected:
      // A limit costs more rejections than these, here and elsewhere.
      if (state.Recent.GetRejectedShare() < kFleetRejects) {
        return false;
      }
      break;
    case FleetRoom::kUnknown:
      break;
  }
  return state.IsLimited ? !state.Spread.ShowsSick()
                         : ShowFullness(state) && state.Spread.ShowsFull();
}

FleetRoom RankAdmission::GetFleetRoom(ServiceId id, Time now) const
{
  if (this->Room == nullptr || !this->Zones) {
    return FleetRoom::kUnknown;
  }
  // The zone with most room decides.
  std::optional<FleetRoom> room;
  for (const ZoneId zone : this->Zones(id)) {
    const std::optional<ZoneCapacity> known =
      this->Room->GetZoneCapacity(id, zone, now);
    if (!known) {
      return FleetRoom::kUnknown;
    }
    room = std::min(room.value_or(FleetRoom::kFull), ToFleetRoom(*known));
  }
  return room.value_or(FleetRoom::kUnknown);
}

void RankAdmission::Limit(Service& service, double budget, Time now) const
{
  AdmissionState& state = service.State;
  if (!state.IsLimited) {
    service.Bucket.Open(now);
  }
  state.IsLimited = true;
  state.Share = budget / state.Inputs.CountWanted();
  state.PerSecond = budget / std::max(state.Inputs.Seconds, kShortestSpan);
  service.Bucket.SetRate(
    state.PerSecond, this->Options.LeastShare, service.Ranks, now);
}

void RankAdmission::Lift(Service& service)
{
  service.State.IsLimited = false;
  service.State.Share = 1;
  service.State.PerSecond = 0;
  service.State.Probe = 1;
  service.CalmSteps = 0;
}

const char* ToString(FleetRoom room)
{
  switch (room) {
    case FleetRoom::kUnknown:
      return "unknown";
    case FleetRoom::kMuchRoom:
      return "much_room";
    case FleetRoom::kIdleSlots:
      return "idle_slots";
    case FleetRoom::kFewRejected:
      return "few_rejected";
    case FleetRoom::kFull:
      return "full";
  }
  return "invalid";
}

} // namespace cobaltgauge::core
