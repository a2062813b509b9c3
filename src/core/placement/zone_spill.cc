#include "core/placement/zone_spill.h"

#include <algorithm>
#include <optional>

#include "core/placement/placement_limits.h"
#include "core/placement/waiting.h"

namespace cobaltgauge::core {
namespace {

/// Zones between which there is a choice.
constexpr std::size_t kZonesToChoose = 2;

} // namespace

void ZoneSpill::SetEnabled(bool enabled)
{
  this->Enabled = enabled;
  if (!enabled) {
    for (auto& [id, service] : this->Services) {
      for (auto& [zoneId, zone] : service.Zones) {
        zone.Share = 1;
        this->NoteChange(id, zoneId, zone, 0);
      }
    }
    this->Services.clear();
  }
}

void ZoneSpill::Update(const std::vector<PlacementCandidate>& candidates,
                       Time now)
{
  if (!this->Enabled || this->Sources.empty() || candidates.empty()) {
    return;
  }
  const ServiceId id = candidates.front().service;
  Service& service = this->Services[id];
  const Duration passed = now - service.UpdatedAt;
  if (passed < kSteerEvery) {
    return;
  }
  if (passed > kSpillMemory) {
    service.Zones.clear();
  }
  service.UpdatedAt = now;
  const bool isCounted = service.Counted == candidates.size() &&
    now - service.CountedAt < kZonesCountedEvery && !service.Zones.empty();
  if (!isCounted) {
    service.Counted = candidates.size();
    service.CountedAt = now;
    CountZones(service, candidates);
  }
  this->TakeFigures(id, service, now);
  this->Steer(id, service, std::min(passed, kYoungestFigures), now);
}

void ZoneSpill::CountZones(Service& service,
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
    zone.Slots = slots[zoneId] / allSlots;
  }
}

void ZoneSpill::TakeFigures(ServiceId id, Service& service, Time now) const
{
  for (const RoomView* source : this->Sources) {
    std::size_t known = 0;
    for (auto& [zoneId, zone] : service.Zones) {
      const std::optional<ZoneRoom> room = source->GetRoom(id, zoneId, now);
      zone.Known = room.has_value();
      if (room) {
        zone.Demand = GetDemand(*room);
        zone.Age = std::max(room->Age, kYoungestFigures);
        ++known;
      }
    }
    if (known >= kZonesToChoose) {
      return;
    }
  }
  for (auto& [zoneId, zone] : service.Zones) {
    zone.Known = false;
  }
}

void ZoneSpill::Steer(ServiceId id,
                      Service& service,
                      Duration passed,
                      Time now)
{
  std::optional<double> least;
  for (const auto& [zoneId, zone] : service.Zones) {
    if (zone.Known) {
      least = std::min(least.value_or(zone.Demand), zone.Demand);
    }
  }
  const double bearable = GetBearableUse(least.value_or(0));
  const double seconds = std::chrono::duration<double>(passed).count();
  for (auto& [zoneId, zone] : service.Zones) {
    double wanted = kMostWanted;
    if (zone.Known && zone.Demand > 0) {
      wanted = zone.GetShareAt(now - zone.Age) * bearable / zone.Demand;
    }
    wanted = std::clamp(wanted, kLeastKept, kMostWanted);
    const Duration within = zone.Known ? zone.Age / 2 : kYoungestFigures;
    const double part =
      std::min(seconds / std::chrono::duration<double>(within).count(), 1.0);
    const double most = kSteeredEachSecond * seconds;
    const double step = std::clamp(part * (wanted - zone.Share), -most, most);
    zone.Share = std::clamp(zone.Share + step, kLeastKept, 1.0);
    zone.Before.push_back({ now, zone.Share });
    while (zone.Before.front().At < now - kKeptMemory) {
      zone.Before.pop_front();
    }
    this->NoteChange(id, zoneId, zone, least.value_or(0));
  }
}

double ZoneSpill::Zone::GetShareAt(Time when) const
{
  // The last one that was in force before, or the earliest that is known.
  const auto after =
    std::find_if(this->Before.begin(),
                 this->Before.end(),
                 [when](const Kept& kept) { return kept.At > when; });
  if (after != this->Before.begin()) {
    return std::prev(after)->Share;
  }
  return this->Before.empty() ? this->Share : this->Before.front().Share;
}

void ZoneSpill::NoteChange(ServiceId id,
                           ZoneId zoneId,
                           Zone& zone,
                           double least)
{
  const bool changes =
    zone.Spills ? zone.Share >= kSpillEnds : zone.Share < kSpillBegins;
  if (!changes) {
    return;
  }
  zone.Spills = !zone.Spills;
  if (this->Changes.size() < kMostSpillChanges) {
    this->Changes.push_back(
      { id, zoneId, zone.Spills, zone.Share, zone.Demand, least, zone.Age });
  }
}

double ZoneSpill::GetKept(ServiceId service, ZoneId zone) const
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
  return known->second.IsLimited ? std::min(share, found->second.Slots)
                                 : share;
}

bool ZoneSpill::MayTake(ServiceId service, ZoneId zone) const
{
  const auto known = this->Services.find(service);
  if (known == this->Services.end()) {
    return false;
  }
  const auto found = known->second.Zones.find(zone);
  return found != known->second.Zones.end() && found->second.Known;
}

std::map<ZoneId, double> ZoneSpill::GetKeptByZone() const
{
  std::map<ZoneId, double> kept;
  for (const auto& [serviceId, service] : this->Services) {
    for (const auto& [zoneId, zone] : service.Zones) {
      const auto entry = kept.try_emplace(zoneId, 1.0).first;
      entry->second = std::min(entry->second, zone.Share);
    }
  }
  return kept;
}

} // namespace cobaltgauge::core
