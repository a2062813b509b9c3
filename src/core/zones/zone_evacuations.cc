#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::core {

bool ZoneEvacuations::Put(const std::string& key,
                          const std::string& zone,
                          Revision revision)
{
  const auto known = this->Entries.find(key);
  if (known != this->Entries.end() && known->second.At >= revision) {
    return false;
  }
  this->Entries[key] = { zone, revision };
  this->CollectZones();
  return true;
}

bool ZoneEvacuations::Remove(const std::string& key, Revision revision)
{
  const auto known = this->Entries.find(key);
  if (known == this->Entries.end() || known->second.At >= revision) {
    return false;
  }
  End(known->second, revision);
  this->CollectZones();
  return true;
}

void ZoneEvacuations::End(Entry& entry, Revision at)
{
  entry.Lost = (entry.InForce || entry.Lost) && entry.At.era < at.era;
  entry.LostAt = Time{};
  entry.InForce = false;
  entry.At = at;
}

std::vector<std::string> ZoneEvacuations::ExpireLost(Time now)
{
  std::vector<std::string> over;
  for (auto& [key, entry] : this->Entries) {
    if (!entry.Lost) {
      continue;
    }
    entry.LostAt = entry.LostAt == Time{} ? now : entry.LostAt;
    if (now - entry.LostAt >= kEvacuationKeptFor) {
      entry.Lost = false;
      over.push_back(key);
    }
  }
  if (!over.empty()) {
    this->CollectZones();
  }
  return over;
}

bool ZoneEvacuations::IsLost(const std::string& key) const
{
  const auto known = this->Entries.find(key);
  return known != this->Entries.end() && known->second.Lost;
}

std::vector<std::string> ZoneEvacuations::RetainOnly(
  const std::set<std::string>& keys,
  Revision listedAt)
{
  std::vector<std::string> ended;
  for (auto& [key, entry] : this->Entries) {
    if (entry.InForce && entry.At <= listedAt && keys.count(key) == 0) {
      // The removal's own revision is unknown; it is the listing's at most.
      End(entry, listedAt);
      ended.push_back(key);
    }
  }
  this->CollectZones();
  return ended;
}

std::string ZoneEvacuations::GetZone(const std::string& key) const
{
  const auto known = this->Entries.find(key);
  return known == this->Entries.end() ? std::string() : known->second.Zone;
}

std::vector<StoreChange> ZoneEvacuations::GetChangesSince(Revision have) const
{
  std::vector<StoreChange> changes;
  for (const auto& [key, entry] : this->Entries) {
    if (entry.At <= have) {
      continue;
    }
    StoreChange change{ key, entry.At, RemovedItem{} };
    if (entry.InForce) {
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
    if (entry.InForce) {
      changes.push_back({ key, entry.At, ZoneEvacuation{ entry.Zone } });
    }
  }
  return changes;
}

void ZoneEvacuations::CollectZones()
{
  this->Zones.clear();
  for (const auto& [key, entry] : this->Entries) {
    if (entry.InForce || entry.Lost) {
      this->Zones.insert(entry.Zone);
    }
  }
}

} // namespace cobaltgauge::core
