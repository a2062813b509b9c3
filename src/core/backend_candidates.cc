/// @file
/// Selection by BackendRegistry of the backends that may receive new flows.
#include <algorithm>

#include "core/backend_registry.h"
#include "core/constants.h"

namespace cobaltgauge::core {

PlacementCandidate BackendRegistry::candidateOf(const Entry& entry) const {
  const auto region = regions_.find(entry.registration.zone);
  return {entry.address.id,
          entry.address.service,
          std::max(entry.registration.capacity, 1U),
          entry.weight,
          entry.warmUntil,
          region == regions_.end() ? kNoRegion : region->second,
          entry.address.zone,
          entry.claim == AddressClaim::kContested};
}

bool BackendRegistry::isServing(const Entry& entry) const {
  // If several backends have the same hash token, only its owner accepts flows.
  return tokens_.OwnsHash(entry.address.id) && entry.present &&
         entry.claim != AddressClaim::kSuperseded &&
         entry.registration.state == BackendState::kActive;
}

bool BackendRegistry::isCandidate(const Entry& entry) const {
  return isServing(entry) && !evacuations_.IsEvacuated(entry.registration.zone);
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

const CandidateList& BackendRegistry::candidateList(ServiceId service) {
  // Peers may request unknown services; no list is stored for those.
  static const CandidateList kNone;
  const auto keys = services_.find(service);
  if (keys == services_.end()) {
    return kNone;
  }
  const auto [list, isNew] = candidates_.try_emplace(service);
  if (isNew) {
    for (const std::string& key : keys->second) {
      const Entry& entry = entries_.at(key);
      if (isCandidate(entry)) {
        list->second.Put(candidateOf(entry));
      }
    }
  }
  return list->second;
}

void BackendRegistry::refreshCandidate(const Entry& entry) {
  const auto list = candidates_.find(entry.address.service);
  if (list == candidates_.end()) {
    return;
  }
  if (isCandidate(entry)) {
    list->second.Put(candidateOf(entry));
  } else {
    list->second.Remove(entry.address.id);
  }
}

void BackendRegistry::refreshCandidate(std::optional<BackendId> changed) {
  const auto key = changed ? keys_.find(*changed) : keys_.end();
  if (key != keys_.end()) {
    refreshCandidate(entries_.at(key->second));
  }
}

const PlacementCandidate* BackendRegistry::findCandidate(BackendId id) {
  const BackendAddress* address = find(id);
  return address == nullptr ? nullptr : candidateList(address->service).Find(id);
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

std::vector<PlacementCandidate> BackendRegistry::unannouncedRemovalsSince(ServiceId service,
                                                                          Time since) const {
  std::vector<PlacementCandidate> removed;
  const auto removals = removals_.find(service);
  if (removals == removals_.end()) {
    return removed;
  }
  const auto& list = removals->second;
  for (auto item = list.rbegin(); item != list.rend() && item->first > since; ++item) {
    const auto entry = entries_.find(item->second);
    // A backend that registered again and was removed again counts by its last removal.
    const bool isLast = entry != entries_.end() && entry->second.removedAt == item->first;
    if (isLast && wasRemovedUnannounced(entry->second, since)) {
      removed.push_back(candidateOf(entry->second));
    }
  }
  return removed;
}

bool BackendRegistry::wasRemovedUnannounced(const Entry& entry, Time since) const {
  const bool unannounced = entry.registration.state == BackendState::kActive;
  const bool isAddressFree = entry.claim == AddressClaim::kUndisputed;
  return !entry.present && isAddressFree && unannounced && entry.removedAt > since &&
         !evacuations_.IsEvacuated(entry.registration.zone);
}

bool BackendRegistry::wasRemovedUnannouncedSince(BackendId id, Time since) const {
  const auto key = keys_.find(id);
  return key != keys_.end() && wasRemovedUnannounced(entries_.at(key->second), since);
}

std::vector<PlacementCandidate> BackendRegistry::expiredSince(ServiceId service, Time since) {
  std::vector<PlacementCandidate> removed = unannouncedRemovalsSince(service, since);
  const std::size_t all = removed.size() + candidates(service).size();
  const bool isMassExpiry = removed.size() > 1 && removed.size() * kMassExpiryRatio > all;
  return isMassExpiry ? removed : std::vector<PlacementCandidate>{};
}

std::size_t BackendRegistry::activeCount() const {
  std::size_t count = 0;
  for (const auto& [key, entry] : entries_) {
    count += isCandidate(entry) ? 1U : 0U;
  }
  return count;
}

std::size_t BackendRegistry::candidateCount() {
  std::size_t count = 0;
  for (const auto& [service, keys] : services_) {
    count += candidates(service).size();
  }
  return count;
}

}  // namespace cobaltgauge::core
