#include "core/placement/zone_spillover.h"

#include <algorithm>
#include <optional>

#include "core/placement/placement_limits.h"
#include "core/placement/queueing_model.h"

namespace cobaltgauge::core {
namespace {

/// Spillover needs statistics of at least two zones.
constexpr std::size_t kMinZonesWithStatistics = 2;

} // namespace

void ZoneSpillover::SetEnabled(bool enabled)
{
  this->Enabled = enabled;
  if (!enabled) {
    for (auto& [id, service] : this->Services) {
      for (auto& [zoneId, zone] : service.Zones) {
        zone.Share = 1;
        this->RecordChange(id, zoneId, zone, 0);
      }
    }
    this->Services.clear();
  }
}

void ZoneSpillover::Update(const std::vector<PlacementCandidate>& candidates,
                           Time now)
{
  if (!this->Enabled || this->Sources.empty() || candidates.empty()) {
    return;
  }
  const ServiceId id = candidates.front().service;
  Service& service = this->Services[id];
  const Duration elapsed = now - service.UpdatedAt;
  if (elapsed < kShareUpdateInterval) {
    return;
  }
  if (elapsed > kSpilloverStateTimeout) {
    service.Zones.clear();
  }
  service.UpdatedAt = now;
  const bool isUpToDate = service.CountedBackends == candidates.size() &&
    now - service.CountedAt < kZoneCountInterval && !service.Zones.empty();
  if (!isUpToDate) {
    service.CountedBackends = candidates.size();
    service.CountedAt = now;
    CountZones(service, candidates);
  }
  this->ReadStatistics(id, service, now);
  this->AdjustShares(id, service, std::min(elapsed, kMinStatisticsAge), now);
}

void ZoneSpillover::CountZones(
  Service& service,
  const std::vector<PlacementCandidate>& candidates)
{
  std::map<ZoneId, Zone> zones;
  std::map<ZoneId, double> slots;
  double allSlots = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (candidate.weight > 0 && !zones.contains(candidate.zone)) {
      zones[candidate.zone] = std::move(service.Zones[candidate.zone]);
    }
    slots[candidate.zone] += candidate.weight > 0 ? candidate.capacity : 0;
    allSlots += candidate.weight > 0 ? candidate.capacity : 0;
  }
  service.Zones = std::move(zones);
  for (auto& [zoneId, zone] : service.Zones) {
    zone.SlotShare = slots[zoneId] / allSlots;
  }
}

void ZoneSpillover::ReadStatistics(ServiceId id,
                                   Service& service,
                                   Time now) const
{
  for (const CapacityView* source : this->Sources) {
    std::size_t known = 0;
    for (auto& [zoneId, zone] : service.Zones) {
      const std::optional<ZoneCapacity> capacity =
        source->GetZoneCapacity(id, zoneId, now);
      zone.HasStatistics = capacity.has_value();
      if (capacity) {
        zone.Demand = GetDemand(*capacity);
        zone.Age = std::max(capacity->Age, kMinStatisticsAge);
        ++known;
      }
    }
    if (known >= kMinZonesWithStatistics) {
      return;
    }
  }
  for (auto& [zoneId, zone] : service.Zones) {
    zone.HasStatistics = false;
  }
}

void ZoneSpillover::AdjustShares(ServiceId id,
                                 Service& service,
                                 Duration elapsed,
                                 Time now)
{
  std::optional<double> lowestDemand;
  for (const auto& [zoneId, zone] : service.Zones) {
    if (zone.HasStatistics) {
      lowestDemand = std::min(lowestDemand.value_or(zone.Demand), zone.Demand);
    }
  }
  const double maxUtilization =
    GetMaxLocalUtilization(lowestDemand.value_or(0));
  const double seconds = std::chrono::duration<double>(elapsed).count();
  for (auto& [zoneId, zone] : service.Zones) {
    double target = kMaxTargetShare;
    if (zone.HasStatistics && zone.Demand > 0) {
      target = zone.GetShareAt(now - zone.Age) * maxUtilization / zone.Demand;
    }
    target = std::clamp(target, kMinLocalShare, kMaxTargetShare);
    const Duration timeConstant =
      zone.HasStatistics ? zone.Age / 2 : kMinStatisticsAge;
    const double fraction = std::min(
      seconds / std::chrono::duration<double>(timeConstant).count(), 1.0);
    const double maxStep = kMaxShareChangePerSecond * seconds;
    const double step =
      std::clamp(fraction * (target - zone.Share), -maxStep, maxStep);
    zone.Share = std::clamp(zone.Share + step, kMinLocalShare, 1.0);
    zone.History.push_back({ now, zone.Share });
    while (zone.History.front().Since < now - kShareHistoryRetention) {
      zone.History.pop_front();
    }
    this->RecordChange(id, zoneId, zone, lowestDemand.value_or(0));
  }
}

double ZoneSpillover::Zone::GetShareAt(Time when) const
{
  // The share in effect at that time, or the earliest known one.
  const auto after =
    std::find_if(this->History.begin(),
                 this->History.end(),
                 [when](const PastShare& past) { return past.Since > when; });
  if (after != this->History.begin()) {
    return std::prev(after)->Share;
  }
  return this->History.empty() ? this->Share : this->History.front().Share;
}

void ZoneSpillover::RecordChange(ServiceId id,
                                 ZoneId zoneId,
                                 Zone& zone,
                                 double lowestDemand)
{
  const bool hasChanged = zone.IsSpilling ? zone.Share >= kSpilloverEndShare
                                          : zone.Share < kSpilloverStartShare;
  if (!hasChanged) {
    return;
  }
  zone.IsSpilling = !zone.IsSpilling;
  if (this->Changes.size() < kMaxPendingSpilloverChanges) {
    this->Changes.push_back({ id,
                              zoneId,
                              zone.IsSpilling,
                              zone.Share,
                              zone.Demand,
                              lowestDemand,
                              zone.Age });
  }
}

double ZoneSpillover::GetLocalShare(ServiceId service, ZoneId zone) const
{
  const auto known = this->Services.find(service);
  if (!this->Enabled || known == this->Services.end()) {
    return 1;
  }
  const auto found = known->second.Zones.find(zone);
  if (found == known->second.Zones.end()) {
    return 1;
  }
  const double share = found->second.Share;
  return known->second.IsLimited ? std::min(share, found->second.SlotShare)
                                 : share;
}

bool ZoneSpillover::AcceptsSpillover(ServiceId service, ZoneId zone) const
{
  const auto known = this->Services.find(service);
  if (known == this->Services.end()) {
    return false;
  }
  const auto found = known->second.Zones.find(zone);
  return found != known->second.Zones.end() && found->second.HasStatistics;
}

std::map<ZoneId, double> ZoneSpillover::GetLocalShareByZone() const
{
  std::map<ZoneId, double> shares;
  for (const auto& [serviceId, service] : this->Services) {
    for (const auto& [zoneId, zone] : service.Zones) {
      const auto entry = shares.try_emplace(zoneId, 1.0).first;
      entry->second = std::min(entry->second, zone.Share);
    }
  }
  return shares;
}

} // namespace cobaltgauge::core
