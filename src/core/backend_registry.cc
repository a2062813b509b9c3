#include "core/backend_registry.h"

#include <algorithm>
#include <tuple>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {

const char* toString(RegistryEvent event) {
  switch (event) {
    case RegistryEvent::kAdded:
      return "added";
    case RegistryEvent::kLeaving:
      return "leaving";
    case RegistryEvent::kReturned:
      return "returned";
    case RegistryEvent::kVanished:
      return "vanished";
    case RegistryEvent::kChanged:
      return "changed";
    case RegistryEvent::kRefreshed:
      return "refreshed";
    case RegistryEvent::kNone:
      return "none";
  }
  return "invalid";
}

RegistryEvent BackendRegistry::put(const std::string& key, const Registration& registration,
                                   Revision revision, Time now) {
  const auto known = entries_.find(key);
  const bool isNew = known == entries_.end();
  if (!isNew && known->second.revision >= revision) {
    return RegistryEvent::kNone;
  }
  const bool tookFlows = !isNew && takesNewFlows(known->second.address.id);
  const bool leaving = registration.state == BackendState::kLeaving;
  Entry& entry = entries_[key];
  const bool sameContent = !isNew && entry.present && entry.registration == registration;
  entry.registration = registration;
  entry.address = {registration.id, serviceIdOf(registration.service), registration.endpoint, 0,
                   zoneIdOf(registration.zone)};
  entry.revision = revision;
  entry.firstRevision = isNew ? revision : entry.firstRevision;
  entry.present = true;
  entry.ended = false;
  if (!sameContent) {
    entry.warmUntil = now + registration.warmUpLeft;
    entry.weight = weights_.weightOf(registration);
  }
  zoneNames_.try_emplace(entry.address.zone, registration.zone);
  keys_[registration.id] = key;
  tokens_.AddBackend(registration.id);
  services_[entry.address.service].insert(key);
  endpoints_[registration.endpoint].insert(key);
  tokens_.AddAddress(registration.endpoint);
  markEnded(registration.endpoint);
  candidates_.erase(entry.address.service);
  if (isNew) {
    return RegistryEvent::kAdded;
  }
  if (tookFlows && leaving) {
    return RegistryEvent::kLeaving;
  }
  if (!tookFlows && !leaving) {
    return RegistryEvent::kReturned;
  }
  return sameContent ? RegistryEvent::kRefreshed : RegistryEvent::kChanged;
}

void BackendRegistry::markEnded(const Endpoint& endpoint) {
  // A listing gives the back ends of an address in any order.
  const std::set<std::string>& keys = endpoints_[endpoint];
  Revision last = 0;
  for (const std::string& key : keys) {
    const Entry& entry = entries_.at(key);
    last = std::max(last, entry.present ? entry.firstRevision : 0);
  }
  for (const std::string& key : keys) {
    Entry& entry = entries_.at(key);
    if (!entry.ended && entry.revision < last) {
      entry.ended = true;
      candidates_.erase(entry.address.service);
    }
  }
}

RegistryEvent BackendRegistry::remove(const std::string& key, Revision revision, Time now) {
  const auto known = entries_.find(key);
  if (known == entries_.end() || known->second.revision >= revision) {
    return RegistryEvent::kNone;
  }
  Entry& entry = known->second;
  entry.revision = revision;
  if (!entry.present) {
    return RegistryEvent::kNone;
  }
  depart(entry, now);
  return RegistryEvent::kVanished;
}

void BackendRegistry::depart(Entry& entry, Time now) {
  entry.present = false;
  entry.removedAt = now;
  lastDeparture_[entry.address.service] = now;
  candidates_.erase(entry.address.service);
}

std::vector<std::string> BackendRegistry::retainOnly(const std::set<std::string>& keys,
                                                     Revision listedAt, Time now) {
  std::vector<std::string> vanished;
  for (const auto& [key, entry] : entries_) {
    if (entry.present && entry.revision <= listedAt && !keys.contains(key)) {
      vanished.push_back(key);
    }
  }
  for (const std::string& key : vanished) {
    // The removal's own revision is unknown; the listing's is the latest that it can have.
    Entry& entry = entries_.at(key);
    entry.revision = listedAt;
    depart(entry, now);
  }
  return vanished;
}

const BackendAddress* BackendRegistry::findLastAt(const Endpoint& endpoint) const {
  const auto keys = endpoints_.find(endpoint);
  if (keys == endpoints_.end()) {
    return nullptr;
  }
  const Entry* last = nullptr;
  for (const std::string& key : keys->second) {
    const Entry& entry = entries_.at(key);
    const bool isLater = last == nullptr || std::tie(entry.present, entry.revision) >
                                                std::tie(last->present, last->revision);
    last = isLater ? &entry : last;
  }
  return last == nullptr ? nullptr : &last->address;
}

const BackendAddress* BackendRegistry::findByToken(SteeringToken token) const {
  const std::optional<TokenIndex::Name> name = tokens_.Find(token);
  if (!name) {
    return nullptr;
  }
  const auto* endpoint = std::get_if<Endpoint>(&*name);
  return endpoint == nullptr ? find(std::get<BackendId>(*name)) : findLastAt(*endpoint);
}

const BackendAddress* BackendRegistry::find(BackendId id) const {
  const auto key = keys_.find(id);
  return key == keys_.end() ? nullptr : &entries_.at(key->second).address;
}

const Registration* BackendRegistry::registrationOf(BackendId id) const {
  const auto key = keys_.find(id);
  return key == keys_.end() ? nullptr : &entries_.at(key->second).registration;
}

bool BackendRegistry::hasEnded(BackendId id) const {
  const auto key = keys_.find(id);
  return key != keys_.end() && entries_.at(key->second).ended;
}

PlacementCandidate BackendRegistry::candidateOf(const Entry& entry) const {
  const auto region = regions_.find(entry.registration.zone);
  return {entry.address.id,
          entry.address.service,
          std::max(entry.registration.capacity, 1U),
          entry.weight,
          entry.warmUntil,
          region == regions_.end() ? kNoRegion : region->second,
          entry.address.zone};
}

bool BackendRegistry::isServing(const Entry& entry) const {
  // Of two back ends with one token only the first takes flows.
  return tokens_.OwnsHash(entry.address.id) && entry.present && !entry.ended &&
         entry.registration.state == BackendState::kActive;
}

bool BackendRegistry::isCandidate(const Entry& entry) const {
  return isServing(entry) && !evacuations_.IsEvacuated(entry.registration.zone);
}

bool BackendRegistry::putEvacuation(const std::string& key, const std::string& zone,
                                    Revision revision) {
  const bool isNewer = evacuations_.Put(key, zone, revision);
  dropCandidates(isNewer);
  return isNewer;
}

bool BackendRegistry::removeEvacuation(const std::string& key, Revision revision) {
  const bool isNewer = evacuations_.Remove(key, revision);
  dropCandidates(isNewer);
  return isNewer;
}

std::vector<std::string> BackendRegistry::retainEvacuations(const std::set<std::string>& keys,
                                                            Revision listedAt) {
  std::vector<std::string> ended = evacuations_.RetainOnly(keys, listedAt);
  dropCandidates(!ended.empty());
  return ended;
}

void BackendRegistry::dropCandidates(bool changed) {
  if (changed) {
    candidates_.clear();
  }
}

bool BackendRegistry::isEvacuated(ServiceId service) const {
  const auto keys = services_.find(service);
  return keys != services_.end() &&
         std::any_of(keys->second.begin(), keys->second.end(), [this](const std::string& key) {
           const Entry& entry = entries_.at(key);
           return isServing(entry) && !isCandidate(entry);
         });
}

bool BackendRegistry::takesNewFlows(BackendId id) const {
  const auto key = keys_.find(id);
  return key != keys_.end() && isCandidate(entries_.at(key->second));
}

const std::vector<PlacementCandidate>& BackendRegistry::candidates(ServiceId service) {
  // Peers may ask for services that nobody has; nothing is kept for those.
  static const std::vector<PlacementCandidate> kNone;
  if (!services_.contains(service)) {
    return kNone;
  }
  const auto [list, isNew] = candidates_.try_emplace(service);
  if (isNew) {
    list->second = collect(
        service, [this](const std::string&, const Entry& entry) { return isCandidate(entry); });
  }
  return list->second;
}

std::map<std::pair<ServiceId, ZoneId>, std::uint32_t> BackendRegistry::countSlots(Time now) {
  std::map<std::pair<ServiceId, ZoneId>, std::uint32_t> slots;
  for (const auto& [service, keys] : services_) {
    for (const PlacementCandidate& candidate : candidates(service)) {
      const bool isIdle = now < candidate.warmUntil || candidate.weight == 0;
      slots[{service, candidate.zone}] += isIdle ? 0 : candidate.capacity;
    }
  }
  return slots;
}

std::string BackendRegistry::nameOf(ServiceId service) const {
  const auto keys = services_.find(service);
  const bool isKnown = keys != services_.end() && !keys->second.empty();
  return isKnown ? entries_.at(*keys->second.begin()).registration.service : "";
}

std::string BackendRegistry::nameOf(ZoneId zone) const {
  const auto name = zoneNames_.find(zone);
  return name == zoneNames_.end() ? "" : name->second;
}

std::vector<PlacementCandidate> BackendRegistry::vanishedSince(ServiceId service,
                                                               Time since) const {
  return collect(service, [this, since](const std::string&, const Entry& entry) {
    return hasVanished(entry, since);
  });
}

bool BackendRegistry::hasVanished(const Entry& entry, Time since) const {
  const bool unannounced = entry.registration.state == BackendState::kActive;
  return !entry.present && !entry.ended && unannounced && entry.removedAt > since &&
         !evacuations_.IsEvacuated(entry.registration.zone);
}

bool BackendRegistry::hasVanishedSince(BackendId id, Time since) const {
  const auto key = keys_.find(id);
  return key != keys_.end() && hasVanished(entries_.at(key->second), since);
}

std::vector<PlacementCandidate> BackendRegistry::lapsedSince(ServiceId service, Time since) {
  const auto last = lastDeparture_.find(service);
  if (last == lastDeparture_.end() || last->second <= since) {
    return {};
  }
  std::vector<PlacementCandidate> vanished = vanishedSince(service, since);
  const std::size_t all = vanished.size() + candidates(service).size();
  const bool isMany = vanished.size() > 1 && vanished.size() * kBackendsPerLapse > all;
  return isMany ? vanished : std::vector<PlacementCandidate>{};
}

template <typename Predicate>
std::vector<PlacementCandidate> BackendRegistry::collect(ServiceId service,
                                                         Predicate belongs) const {
  std::vector<PlacementCandidate> list;
  const auto keys = services_.find(service);
  if (keys == services_.end()) {
    return list;
  }
  for (const std::string& key : keys->second) {
    const Entry& entry = entries_.at(key);
    if (belongs(key, entry)) {
      list.push_back(candidateOf(entry));
    }
  }
  return list;
}

void BackendRegistry::setRegions(const std::map<std::string, std::string>& regionsOfZones) {
  regions_.clear();
  for (const auto& [zone, region] : regionsOfZones) {
    regions_[zone] = regionIdOf(region);
  }
  candidates_.clear();
}

void BackendRegistry::reweigh() {
  for (auto& [key, entry] : entries_) {
    entry.weight = weights_.weightOf(entry.registration);
  }
  candidates_.clear();
}

void BackendRegistry::forget(const std::string& key, const Entry& entry) {
  tokens_.ForgetBackend(entry.address.id);
  keys_.erase(entry.address.id);
  services_[entry.address.service].erase(key);
  endpoints_[entry.address.endpoint].erase(key);
  if (endpoints_[entry.address.endpoint].empty()) {
    endpoints_.erase(entry.address.endpoint);
    tokens_.ForgetAddress(entry.address.endpoint);
  }
}

void BackendRegistry::forgetDeparted(Time now) {
  for (auto item = entries_.begin(); item != entries_.end();) {
    const Entry& entry = item->second;
    if (entry.present || now - entry.removedAt < keepDeparted_) {
      ++item;
      continue;
    }
    forget(item->first, entry);
    item = entries_.erase(item);
  }
}

std::vector<StoreChange> BackendRegistry::contents() const {
  std::vector<StoreChange> changes;
  for (const auto& [key, entry] : entries_) {
    if (entry.present) {
      changes.push_back({key, entry.revision, entry.registration});
    }
  }
  return changes;
}

std::size_t BackendRegistry::activeCount() const {
  std::size_t count = 0;
  for (const auto& [key, entry] : entries_) {
    count += isCandidate(entry) ? 1U : 0U;
  }
  return count;
}

}  // namespace cobaltgauge::core
