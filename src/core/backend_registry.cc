#include "core/backend_registry.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"

namespace cobaltgauge::core {

const char* toString(RegistryEvent event) {
  switch (event) {
    case RegistryEvent::kAdded:
      return "added";
    case RegistryEvent::kDraining:
      return "leaving";
    case RegistryEvent::kReactivated:
      return "returned";
    case RegistryEvent::kRemoved:
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

bool BackendRegistry::isUnchangedSinceEarlierEra(const std::string& key,
                                                 const Registration& registration,
                                                 Revision revision) const {
  const auto known = entries_.find(key);
  if (known == entries_.end() || !known->second.present) {
    return false;
  }
  const Entry& entry = known->second;
  return entry.revision.era < revision.era && entry.revision.number == revision.number &&
         entry.registration.hasSameContentAs(registration);
}

bool BackendRegistry::isOlderUpdate(const Entry& entry, const Registration& registration,
                                    Revision revision) {
  const Registration& known = entry.registration;
  const bool isOfLaterEra = entry.revision.era < revision.era;
  // Numbers may have restarted if start times are not reported or the item was removed.
  const bool isSameIncarnation = known.startedAtMs != 0 && entry.present;
  if (registration.startedAtMs != known.startedAtMs || (!isOfLaterEra && !isSameIncarnation)) {
    return false;
  }
  if (registration.updateSequence != 0 && known.updateSequence != 0) {
    return registration.updateSequence < known.updateSequence;
  }
  // Without numbers, a draining backend is not reactivated by a restored store.
  const bool revertsShutdown =
      known.state == BackendState::kDraining && registration.state == BackendState::kActive;
  return revertsShutdown && isOfLaterEra;
}

RegistryEvent BackendRegistry::put(const std::string& key, const Registration& update,
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
  ++generation_;
  const bool isOutdated = !isNew && isOlderUpdate(known->second, update, revision);
  const std::uint64_t startedBefore = isNew ? 0 : known->second.registration.startedAtMs;
  const bool isOfEarlierIncarnation = update.startedAtMs < startedBefore;
  if (!isNew && known->second.present && (isOfEarlierIncarnation || isOutdated)) {
    // A delayed write. The known content stands, but at the revision at which all daemons find the
    // item from now on.
    known->second.revision = revision;
    updateClaims(known->second.address.endpoint);
    return RegistryEvent::kNone;
  }
  const Registration registration = isOutdated ? known->second.registration : update;
  const bool hasRestarted = startedBefore != 0 && registration.startedAtMs != startedBefore;
  const bool tookNewFlows = !isNew && takesNewFlows(known->second.address.id);
  const bool draining = registration.state == BackendState::kDraining;
  if (!isNew && (known->second.registration.service != registration.service ||
                 known->second.registration.endpoint != registration.endpoint)) {
    unlink(key, known->second);
  }
  Entry& entry = entries_[key];
  const bool sameContent =
      !isNew && entry.present && entry.registration.hasSameContentAs(registration);
  entry.registration = registration;
  entry.address = {registration.id, serviceIdOf(registration.service), registration.endpoint, 0,
                   zoneIdOf(registration.zone)};
  entry.revision = revision;
  entry.present = true;
  if (!sameContent) {
    entry.warmUntil = now + registration.remainingWarmUp;
    entry.weight = weights_.weightOf(registration);
  }
  zoneNames_.try_emplace(entry.address.zone, registration.zone);
  keys_[registration.id] = key;
  refreshCandidate(tokens_.AddBackend(registration.id));
  services_[entry.address.service].insert(key);
  endpoints_[registration.endpoint].insert(key);
  tokens_.AddAddress(registration.endpoint);
  updateClaims(registration.endpoint);
  refreshCandidate(entry);
  if (isNew) {
    return RegistryEvent::kAdded;
  }
  if (hasRestarted) {
    restarted_.push_back(registration.id);
    return RegistryEvent::kRestarted;
  }
  if (tookNewFlows && draining) {
    return RegistryEvent::kDraining;
  }
  if (!tookNewFlows && !draining) {
    return RegistryEvent::kReactivated;
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
    tokens_.RemoveAddress(endpoint);
    return;
  }
  updateClaims(endpoint);
}

AddressClaimant BackendRegistry::claimantOf(const Entry& entry) {
  return {entry.registration.startedAtMs, entry.present, entry.revision};
}

void BackendRegistry::updateClaims(const Endpoint& endpoint) {
  const auto keys = endpoints_.find(endpoint);
  if (keys == endpoints_.end()) {
    return;
  }
  AddressClaims claims;
  for (const std::string& key : keys->second) {
    claims.Add(claimantOf(entries_.at(key)));
  }
  for (const std::string& key : keys->second) {
    Entry& entry = entries_.at(key);
    const AddressClaim claim = claims.GetClaim(claimantOf(entry));
    if (claim > entry.claim) {
      reassigned_.push_back(entry.address.id);
    }
    if (std::exchange(entry.claim, claim) != claim) {
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
  entry.isRemovalRevisionExact = true;
  if (!entry.present) {
    return RegistryEvent::kNone;
  }
  markRemoved(key, entry, now);
  return RegistryEvent::kRemoved;
}

void BackendRegistry::markRemoved(const std::string& key, Entry& entry, Time now) {
  entry.present = false;
  entry.removedAt = now;
  removals_[entry.address.service].emplace_back(now, key);
  refreshCandidate(entry);
  updateClaims(entry.address.endpoint);
}

std::vector<std::string> BackendRegistry::retainOnly(const std::set<std::string>& keys,
                                                     Revision listedAt, Time now) {
  ++generation_;
  std::vector<std::string> removed;
  for (const auto& [key, entry] : entries_) {
    if (entry.present && entry.revision <= listedAt && !keys.contains(key)) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    // The removal's revision is unknown; that of the listing is its upper bound.
    Entry& entry = entries_.at(key);
    entry.revision = listedAt;
    entry.isRemovalRevisionExact = false;
    markRemoved(key, entry, now);
  }
  return removed;
}

const BackendAddress* BackendRegistry::findLastAt(const Endpoint& endpoint) const {
  const auto keys = endpoints_.find(endpoint);
  if (keys == endpoints_.end()) {
    return nullptr;
  }
  const Entry* last = nullptr;
  for (const std::string& key : keys->second) {
    const Entry& entry = entries_.at(key);
    const bool isLater = last == nullptr || IsLaterClaimant(claimantOf(entry), claimantOf(*last));
    last = isLater ? &entry : last;
  }
  return last == nullptr ? nullptr : &last->address;
}

const BackendAddress* BackendRegistry::findByToken(SteeringToken token) const {
  const std::optional<TokenIndex::Target> name = tokens_.Find(token);
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

const Registration* BackendRegistry::findPresent(const std::string& key) const {
  const auto entry = entries_.find(key);
  const bool isPresent = entry != entries_.end() && entry->second.present;
  return isPresent ? &entry->second.registration : nullptr;
}

AddressClaim BackendRegistry::claimOf(BackendId id) const {
  const auto key = keys_.find(id);
  return key == keys_.end() ? AddressClaim::kUndisputed : entries_.at(key->second).claim;
}

bool BackendRegistry::sharesAddress(BackendId id) const {
  const BackendAddress* backend = find(id);
  if (backend == nullptr) {
    return false;
  }
  const std::set<std::string>& keys = endpoints_.at(backend->endpoint);
  return std::any_of(keys.begin(), keys.end(), [this, id](const std::string& key) {
    const Entry& entry = entries_.at(key);
    return entry.present && entry.address.id != id;
  });
}

bool BackendRegistry::putEvacuation(const std::string& key, const std::string& zone,
                                    Revision revision) {
  const bool isNewer = evacuations_.Put(key, zone, revision);
  clearCandidatesIf(isNewer);
  return isNewer;
}

bool BackendRegistry::removeEvacuation(const std::string& key, Revision revision) {
  const bool isNewer = evacuations_.Remove(key, revision);
  clearCandidatesIf(isNewer);
  return isNewer;
}

std::vector<std::string> BackendRegistry::retainEvacuations(const std::set<std::string>& keys,
                                                            Revision listedAt) {
  std::vector<std::string> superseded = evacuations_.RetainOnly(keys, listedAt);
  clearCandidatesIf(!superseded.empty());
  return superseded;
}

void BackendRegistry::clearCandidatesIf(bool changed) {
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

void BackendRegistry::recomputeWeights() {
  for (auto& [key, entry] : entries_) {
    entry.weight = weights_.weightOf(entry.registration);
  }
  candidates_.clear();
}

void BackendRegistry::unindex(const std::string& key, const Entry& entry) {
  refreshCandidate(tokens_.RemoveBackend(entry.address.id));
  keys_.erase(entry.address.id);
  unlink(key, entry);
}

void BackendRegistry::discardExpired(Time now) {
  const std::vector<std::string> over = evacuations_.ExpireLost(now);
  expired_.insert(expired_.end(), over.begin(), over.end());
  clearCandidatesIf(!over.empty());
  const std::size_t before = entries_.size() + unknownRemovals_.size();
  for (auto item = entries_.begin(); item != entries_.end();) {
    const Entry& entry = item->second;
    if (entry.present || now - entry.removedAt < retention_) {
      ++item;
      continue;
    }
    discardedRevision_ = std::max(discardedRevision_, entry.revision);
    unindex(item->first, entry);
    item = entries_.erase(item);
  }
  std::erase_if(unknownRemovals_, [this, now](const auto& item) {
    const bool isOld = now - item.second.at >= retention_;
    discardedRevision_ = std::max(discardedRevision_, isOld ? item.second.revision : 0);
    return isOld;
  });
  for (auto& [service, list] : removals_) {
    while (!list.empty() && now - list.front().first >= retention_) {
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
                                                        std::size_t limit) const {
  std::vector<StoreChange> changes;
  for (auto item = entries_.upper_bound(key); item != entries_.end() && changes.size() < limit;
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
      difference.exactChanges.push_back({key, entry.revision, entry.registration});
    } else {
      auto& removals =
          entry.isRemovalRevisionExact ? difference.exactChanges : difference.boundedRemovals;
      removals.push_back({key, entry.revision, RemovedItem{}});
    }
  }
  for (const auto& [key, removal] : unknownRemovals_) {
    if (removal.revision > have) {
      difference.exactChanges.push_back({key, removal.revision, RemovedItem{}});
    }
  }
  return difference;
}

}  // namespace cobaltgauge::core
