#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::core {

bool ZoneEvacuations::Put(const std::string& key,
                          const std::string& zone,
                          Revision revision)
{
  const auto found = this->Entries.find(key);
  if (found != this->Entries.end() && found->second.UpdatedAt >= revision) {
    return false;
  }
  this->Entries[key] = { zone, revision };
  this->RebuildZones();
  return true;
}

bool ZoneEvacuations::Remove(const std::string& key, Revision revision)
{
  const auto found = this->Entries.find(key);
  if (found == this->Entries.end() || found->second.UpdatedAt >= revision) {
    return false;
  }
  MarkEnded(found->second, revision);
  this->RebuildZones();
  return true;
}

void ZoneEvacuations::MarkEnded(Entry& entry, Revision at)
{
  entry.Lost = (entry.Active || entry.Lost) && entry.UpdatedAt.era < at.era;
  entry.LostAt = Time{};
  entry.Active = false;
  entry.UpdatedAt = at;
}

std::vector<std::string> ZoneEvacuations::ExpireLost(Time now)
{
  std::vector<std::string> expired;
  for (auto& [key, entry] : this->Entries) {
    if (!entry.Lost) {
      continue;
    }
    entry.LostAt = entry.LostAt == Time{} ? now : entry.LostAt;
    if (now - entry.LostAt >= kLostEvacuationHoldTime) {
      entry.Lost = false;
      expired.push_back(key);
    }
  }
  if (!expired.empty()) {
    this->RebuildZones();
  }
  return expired;
}

bool ZoneEvacuations::IsLost(const std::string& key) const
{
  const auto found = this->Entries.find(key);
  return found != this->Entries.end() && found->second.Lost;
}

std::vector<std::string> ZoneEvacuations::RetainOnly(
  const std::set<std::string>& keys,
  Revision listedAt)
{
  std::vector<std::string> ended;
  for (auto& [key, entry] : this->Entries) {
    if (entry.Active && entry.UpdatedAt <= listedAt && keys.count(key) == 0) {
      // The revision of the removal is unknown, but at most the listing's.
      MarkEnded(entry, listedAt);
      ended.push_back(key);
    }
  }
  this->RebuildZones();
  return ended;
}

std::string ZoneEvacuations::GetZone(const std::string& key) const
{
  const auto found = this->Entries.find(key);
  return found == this->Entries.end() ? std::string() : found->second.Zone;
}

std::vector<StoreChange> ZoneEvacuations::GetChangesSince(Revision since) const
{
  std::vector<StoreChange> changes;
  for (const auto& [key, entry] : this->Entries) {
    if (entry.UpdatedAt <= since) {
      continue;
    }
    StoreChange change{ key, entry.UpdatedAt, RemovedItem{} };
    if (entry.Active) {
      change.item = ZoneEvacuation{ entry.Zone };
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

std::vector<StoreChange> ZoneEvacuations::GetContents() const
{
  std::vector<StoreChange> changes;
  for (const auto& [key, entry] : this->Entries) {
    if (entry.Active) {
      changes.push_back(
        { key, entry.UpdatedAt, ZoneEvacuation{ entry.Zone } });
    }
  }
  return changes;
}

void ZoneEvacuations::RebuildZones()
{
  this->Zones.clear();
  for (const auto& [key, entry] : this->Entries) {
    if (entry.Active || entry.Lost) {
      this->Zones.insert(entry.Zone);
    }
  }
}

} // namespace cobaltgauge::core
