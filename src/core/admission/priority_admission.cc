#include "core/admission/priority_admission.h"

#include <algorithm>
#include <cmath>

#include "core/admission/admission_limits.h"
#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Shortest time span that a rate is calculated over.
constexpr double kMinRateSpanSeconds =
  std::chrono::duration<double>(kAdmissionInterval).count();

/// Returns whether the rejected share is high and not falling.
bool IndicatesOverload(const AdmissionState& state)
{
  const double share = state.Inputs.GetRejectedShare();
  const double recent = state.Recent.GetRejectedShare();
  return share <= 1 - kMinServedShare &&
    recent >= kFallingRejectionRatio * share &&
    std::min(share, recent) > kOverloadRejectedShare;
}

FleetCapacity ToFleetCapacity(const ZoneCapacity& capacity)
{
  if (capacity.Utilization < kSpareCapacityUtilization) {
    return FleetCapacity::kSpareCapacity;
  }
  if (capacity.Utilization < kNoIdleSlotUtilization) {
    return FleetCapacity::kIdleSlots;
  }
  return capacity.RejectedShare < kFleetOverloadRejectedShare
    ? FleetCapacity::kFewRejected
    : FleetCapacity::kOverloaded;
}

} // namespace

void PriorityAdmission::SetOptions(const PriorityAdmissionOptions& options)
{
  this->Options = options;
  for (auto& [id, service] : this->Services) {
    if (!options.Enabled) {
      RemoveLimit(service);
    }
  }
}

void PriorityAdmission::SetCapacityView(const CapacityView* view,
                                        ZoneLookup zoneLookup)
{
  this->View = view;
  this->LookUpZones = std::move(zoneLookup);
}

bool PriorityAdmission::Admit(const Route& route, Time now, bool mayRefuse)
{
  double totalWeight = 0;
  for (const RouteTarget& target : route.targets) {
    totalWeight += target.weight;
  }
  const auto forEach = [&](const auto& visit) {
    for (const RouteTarget& target : route.targets) {
      if (target.weight > 0) {
        visit(this->Services[serviceIdOf(target.service)], target);
      }
    }
  };
  bool isAdmitted = totalWeight == 0 || !mayRefuse;
  forEach([&](Service& service, const RouteTarget& target) {
    service.State.Service = target.service;
    service.Priorities.insert(route.priority);
    service.Counts.OnOffered(route.priority, target.weight / totalWeight, now);
    this->Update(serviceIdOf(target.service), service, now);
    // One service with capacity is enough to admit the attempt.
    isAdmitted = isAdmitted || !service.State.IsLimited ||
      service.Bucket.TryConsume(route.priority, now);
  });
  if (isAdmitted) {
    forEach([&](Service& service, const RouteTarget& target) {
      service.Counts.OnAdmitted(target.weight / totalWeight, now);
    });
  }
  PriorityCounters& counters =
    this->Counters[route.targets.front().service][route.priority];
  ++counters.Offered;
  counters.Refused += isAdmitted ? 0 : 1;
  return isAdmitted;
}

bool PriorityAdmission::IsLimited(ServiceId service) const
{
  const auto found = this->Services.find(service);
  return found != this->Services.end() && found->second.State.IsLimited;
}

void PriorityAdmission::OnOpeningEnded(const OpeningResult& result, Time now)
{
  const auto service = this->Services.find(result.Service);
  if (service != this->Services.end()) {
    service->second.Counts.OnResult(result, now);
  }
}

void PriorityAdmission::Expire(Time now)
{
  std::erase_if(this->Services, [now](const auto& item) {
    return now - item.second.LastOpeningAt > kAdmissionIdleTimeout;
  });
  for (auto& [id, service] : this->Services) {
    if (now - service.LastOpeningAt >
        kAdmissionWindowIntervals * kAdmissionInterval) {
      RemoveLimit(service);
    }
  }
}

std::vector<AdmissionState> PriorityAdmission::TakeChanges(Time now)
{
  std::vector<AdmissionState> changes;
  for (auto& [id, service] : this->Services) {
    const AdmissionState& state = service.State;
    const bool isChanged = state.IsLimited != service.ReportedLimited ||
      std::abs(state.AdmittedShare - service.ReportedShare) >=
        kMinReportedShareChange;
    if (isChanged && now - service.ReportedAt >= kAdmissionReportInterval) {
      service.ReportedLimited = state.IsLimited;
      service.ReportedShare = state.AdmittedShare;
      service.ReportedAt = now;
      changes.push_back(state);
    }
  }
  return changes;
}

std::vector<AdmissionState> PriorityAdmission::GetStates() const
{
  std::vector<AdmissionState> states;
  for (const auto& [id, service] : this->Services) {
    states.push_back(service.State);
  }
  return states;
}

void PriorityAdmission::Update(ServiceId id, Service& service, Time now) const
{
  service.LastOpeningAt = now;
  if (!this->Options.Enabled || now < service.NextUpdate) {
    return;
  }
  service.NextUpdate = now + kAdmissionInterval;
  AdmissionState& state = service.State;
  service.Counts.Expire(now);
  state.Inputs =
    service.Counts.GetStatistics(kMinIntervals, kTargetResults, now);
  state.Recent =
    service.Counts.GetStatistics(kRecentIntervals, kMinRecentResults, now);
  if (!this->IsOverloaded(id, service, now)) {
    RemoveLimit(service);
    return;
  }
  const double offered = state.Inputs.CountOffered();
  const double served = state.Inputs.EstimateServed();
  // A headroom proportional to the offered rate makes the refused shares of
  // different daemons converge.
  const double headroom = std::min(kHeadroomShareOfOffered * offered,
                                   kMaxHeadroomShareOfServed * served);
  this->GrowLimit(service, headroom / (served + headroom));
  const double budget = (served + headroom) * state.GrowthFactor;
  if (budget >= offered) {
    RemoveLimit(service);
    return;
  }
  this->ApplyLimit(service, budget, now);
}

void PriorityAdmission::GrowLimit(Service& service, double expectedShare)
{
  AdmissionState& state = service.State;
  const double share = state.Recent.GetRejectedShare();
  if (!state.IsLimited || share >= kLowRejectionRatio * expectedShare) {
    state.GrowthFactor = 1;
    service.LowRejectionUpdates = 0;
    service.ResultsAtLastGrowth = service.Counts.CountTotalResults();
    return;
  }
  // Each increment has to show in further results before the next one.
  const std::uint64_t totalResults = service.Counts.CountTotalResults();
  if (totalResults - service.ResultsAtLastGrowth >= kMinResultsPerGrowth) {
    service.ResultsAtLastGrowth = totalResults;
    state.GrowthFactor += std::ldexp(
      kInitialLimitGrowth, static_cast<int>(service.LowRejectionUpdates));
    service.LowRejectionUpdates =
      std::min(service.LowRejectionUpdates + 1, kMaxGrowthDoublings);
  }
}

bool PriorityAdmission::IsOverloaded(ServiceId id,
                                     Service& service,
                                     Time now) const
{
  AdmissionState& state = service.State;
  const OpeningStatistics& inputs = state.Inputs;
  const bool hasEnoughResults =
    inputs.CountResults() >= kMinResults && inputs.Served >= kMinServed;
  const bool mayBeOverloaded =
    state.IsLimited || inputs.GetRejectedShare() > kFleetOverloadRejectedShare;
  if (!hasEnoughResults || !mayBeOverloaded) {
    return false;
  }
  state.Capacity = this->GetFleetCapacity(id, now);
  state.Distribution = service.Counts.GetRejectionDistribution();
  switch (state.Capacity) {
    case FleetCapacity::kSpareCapacity:
      return false;
    case FleetCapacity::kIdleSlots:
      return state.IsLimited && !state.Distribution.IndicatesFaults();
    case FleetCapacity::kOverloaded:
      return !state.Distribution.IndicatesFaults();
    case FleetCapacity::kFewRejected:
      // The headroom of a limit would cause more rejections than these.
      if (state.Recent.GetRejectedShare() < kFleetOverloadRejectedShare) {
        return false;
      }
      break;
    case FleetCapacity::kUnknown:
      break;
  }
  return state.IsLimited
    ? !state.Distribution.IndicatesFaults()
    : IndicatesOverload(state) && state.Distribution.IndicatesOverload();
}

FleetCapacity PriorityAdmission::GetFleetCapacity(ServiceId id, Time now) const
{
  if (this->View == nullptr || !this->LookUpZones) {
    return FleetCapacity::kUnknown;
  }
  // The zone with the most spare capacity decides.
  std::optional<FleetCapacity> capacity;
  for (const ZoneId zone : this->LookUpZones(id)) {
    const std::optional<ZoneCapacity> zoneCapacity =
      this->View->GetZoneCapacity(id, zone, now);
    if (!zoneCapacity) {
      return FleetCapacity::kUnknown;
    }
    capacity = std::min(capacity.value_or(FleetCapacity::kOverloaded),
                        ToFleetCapacity(*zoneCapacity));
  }
  return capacity.value_or(FleetCapacity::kUnknown);
}

void PriorityAdmission::ApplyLimit(Service& service,
                                   double budget,
                                   Time now) const
{
  AdmissionState& state = service.State;
  if (!state.IsLimited) {
    service.Bucket.Start(now);
  }
  state.IsLimited = true;
  state.AdmittedShare = budget / state.Inputs.CountOffered();
  state.AdmittedRate =
    budget / std::max(state.Inputs.Seconds, kMinRateSpanSeconds);
  service.Bucket.SetRate(
    state.AdmittedRate, this->Options.ReservedShare, service.Priorities, now);
}

void PriorityAdmission::RemoveLimit(Service& service)
{
  service.State.IsLimited = false;
  service.State.AdmittedShare = 1;
  service.State.AdmittedRate = 0;
  service.State.GrowthFactor = 1;
  service.LowRejectionUpdates = 0;
}

const char* ToString(FleetCapacity capacity)
{
  switch (capacity) {
    case FleetCapacity::kUnknown:
      return "unknown";
    case FleetCapacity::kSpareCapacity:
      return "much_room";
    case FleetCapacity::kIdleSlots:
      return "idle_slots";
    case FleetCapacity::kFewRejected:
      return "few_rejected";
    case FleetCapacity::kOverloaded:
      return "full";
  }
  return "invalid";
}

} // namespace cobaltgauge::core
