#include "core/backend_registry.h"

#include <algorithm>
#include <tuple>

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
    case RegistryEvent::kRestarted:
      return "restarted";
    case RegistryEvent::kChanged:
      return "changed";
    case RegistryEvent::kRefreshed:
      return "refreshed";
    case RegistryEvent::kNone:
      return "none";
  }
  return "invalid";
}

bool BackendRegistry::knowsFromEarlierEra(const std::string& key, const Registration& registration,
                                          Revision revision) const {
  const auto known = entries_.find(key);
  if (known == entries_.end() || !known->second.present) {
    return false;
  }
  const Entry& entry = known->second;
  return entry.revision.era < revision.era && entry.revision.number == revision.number &&
         entry.registration.saysTheSameAs(registration);
}

bool BackendRegistry::isOlderStatement(const Entry& entry, const Registration& registration,
                                       Revision revision) {
  const Registration& known = entry.registration;
  const bool isOfLaterEra = entry.revision.era < revision.era;
  // Where starts are not told, or its item was gone, the numbers may have begun anew.
  const bool isSameRun = known.startedAtMs != 0 && entry.present;
  if (registration.startedAtMs != known.startedAtMs || (!isOfLaterEra && !isSameRun)) {
    return false;
  }
  if (registration.statement != 0 && known.statement != 0) {
    return registration.statement < known.statement;
  }
  // Without numbers, a run that ends is not taken to go on because a copy does not know of its end.
  const bool takesBackEnd =
      known.state == BackendState::kDraining && registration.state == BackendState::kActive;
  return takesBackEnd && isOfLaterEra;
}

RegistryEvent BackendRegistry::put(const std::string& key, const Registration& written,
                                   Revision revision, Time now) {
  const auto known = entries_.find(key);
  const bool isNew = known == entries_.end();
  if (!isNew && known->second.revision >= revision) {
    return RegistryEvent::kNone;
  }
  const auto removal = unknownRemovals_.find(key);
  if (removal != unknownRemovals_.end() && removal->second.revision >= revision) {
    return RegistryEvent::kNone;
  }
  const bool isOlder = !isNew && isOlderStatement(known->second, written, revision);
  if (isOlder && known->second.present) {
    return RegistryEvent::kNone;
  }
  const Registration registration = isOlder ? known->second.registration : written;
  ++generation_;
  const std::uint64_t startedBefore = isNew ? 0 : known->second.registration.startedAtMs;
  if (registration.startedAtMs < startedBefore) {
    // A late write of the run before, which has ended.
    known->second.revision = revision;
    return RegistryEvent::kNone;
  }
  const bool hasRestarted = startedBefore != 0 && registration.startedAtMs > startedBefore;
  const bool tookFlows = !isNew && takesNewFlows(known->second.address.id);
  const bool leaving = registration.state == BackendState::kDraining;
  if (!isNew && (known->second.registration.service != registration.service ||
                 known->second.registration.endpoint != registration.endpoint)) {
    unlink(key, known->second);
  }
  Entry& entry = entries_[key];
  const bool sameContent =
      !isNew && entry.present && entry.registration.saysTheSameAs(registration);
  // One that a copy lacked may come back after a ghost of the back end that had its address before.
  const bool isWrittenAgain = !entry.present && entry.firstRevision.era < revision.era;
  entry.registration = registration;
  entry.address = {registration.id, serviceIdOf(registration.service), registration.endpoint, 0,
                   zoneIdOf(registration.zone)};
  entry.revision = revision;
  entry.firstRevision = isNew || hasRestarted || isWrittenAgain ? revision : entry.firstRevision;
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
  refreshCandidate(entry);
  if (isNew) {
    return RegistryEvent::kAdded;
  }
  if (hasRestarted) {
    restarted_.push_back(registration.id);
    return RegistryEvent::kRestarted;
  }
  if (tookFlows && leaving) {
    return RegistryEvent::kLeaving;
  }
  if (!tookFlows && !leaving) {
    return RegistryEvent::kReturned;
  }
  return sameContent ? RegistryEvent::kRefreshed : RegistryEvent::kChanged;
}

void BackendRegistry::unlink(const std::string& key, const Entry& entry) {
  services_[entry.address.service].erase(key);
  const auto list = candidates_.find(entry.address.service);
  if (list != candidates_.end()) {
    list->second.Remove(entry.address.id);
  }
  const Endpoint& endpoint = entry.address.endpoint;
  const auto keys = endpoints_.find(endpoint);
  keys->second.erase(key);
  if (keys->second.empty()) {
    endpoints_.erase(keys);
    tokens_.ForgetAddress(endpoint);
  }
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
      refreshCandidate(entry);
    }
  }
}

RegistryEvent BackendRegistry::remove(const std::string& key, Revision revision, Time now) {
  const auto known = entries_.find(key);
  if (known == entries_.end()) {
    ++generation_;
    unknownRemovals_[key] = {revision, now};
    return RegistryEvent::kNone;
  }
  if (known->second.revision >= revision) {
    return RegistryEvent::kNone;
  }
  ++generation_;
  Entry& entry = known->second;
  entry.revision = revision;
  entry.removalIsDated = true;
  if (!entry.present) {
    return RegistryEvent::kNone;
  }
  depart(key, entry, now);
  return RegistryEvent::kVanished;
}

void BackendRegistry::depart(const std::string& key, Entry& entry, Time now) {
  entry.present = false;
  entry.removedAt = now;
  departures_[entry.address.service].emplace_back(now, key);
  refreshCandidate(entry);
}

std::vector<std::string> BackendRegistry::retainOnly(const std::set<std::string>& keys,
                                                     Revision listedAt, Time now) {
  ++generation_;
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
    entry.removalIsDated = false;
    depart(key, entry, now);
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

const Registration* BackendRegistry::presentAt(const std::string& key) const {
  const auto entry = entries_.find(key);
  const bool isPresent = entry != entries_.end() && entry->second.present;
  return isPresent ? &entry->second.registration : nullptr;
}

bool BackendRegistry::hasEnded(BackendId id) const {
  const auto key = keys_.find(id);
  return key != keys_.end() && entries_.at(key->second).ended;
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
    ++generation_;
    candidates_.clear();
  }
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
  unlink(key, entry);
}

void BackendRegistry::forgetDeparted(Time now) {
  const std::vector<std::string> over = evacuations_.ExpireLost(now);
  expired_.insert(expired_.end(), over.begin(), over.end());
  dropCandidates(!over.empty());
  const std::size_t before = entries_.size() + unknownRemovals_.size();
  for (auto item = entries_.begin(); item != entries_.end();) {
    const Entry& entry = item->second;
    if (entry.present || now - entry.removedAt < keepDeparted_) {
      ++item;
      continue;
    }
    forgottenRevision_ = std::max(forgottenRevision_, entry.revision);
    forget(item->first, entry);
    item = entries_.erase(item);
  }
  std::erase_if(unknownRemovals_, [this, now](const auto& item) {
    const bool isOld = now - item.second.at >= keepDeparted_;
    forgottenRevision_ = std::max(forgottenRevision_, isOld ? item.second.revision : 0);
    return isOld;
  });
  for (auto& [service, list] : departures_) {
    while (!list.empty() && now - list.front().first >= keepDeparted_) {
      list.pop_front();
    }
  }
  generation_ += entries_.size() + unknownRemovals_.size() == before ? 0 : 1;
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

std::vector<StoreChange> BackendRegistry::contentsAfter(const std::string& key,
                                                        std::size_t most) const {
  std::vector<StoreChange> changes;
  for (auto item = entries_.upper_bound(key); item != entries_.end() && changes.size() < most;
       ++item) {
    const Entry& entry = item->second;
    if (entry.present) {
      changes.push_back({item->first, entry.revision, entry.registration});
    }
  }
  return changes;
}

RegistryDifference BackendRegistry::changesSince(Revision have) const {
  RegistryDifference difference;
  for (const auto& [key, entry] : entries_) {
    if (entry.revision <= have) {
      continue;
    }
    if (entry.present) {
      difference.dated.push_back({key, entry.revision, entry.registration});
    } else {
      auto& removals = entry.removalIsDated ? difference.dated : difference.undated;
      removals.push_back({key, entry.revision, RemovedItem{}});
    }
  }
  for (const auto& [key, removal] : unknownRemovals_) {
    if (removal.revision > have) {
      difference.dated.push_back({key, removal.revision, RemovedItem{}});
    }
  }
  return difference;
}

}  // namespace cobaltgauge::core
