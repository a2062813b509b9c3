#include "core/backend_directory.h"

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Hash of an endpoint, independent of service and incarnation.
std::uint64_t endpointHash(const Endpoint& endpoint) {
  return static_cast<std::uint64_t>(backendIdOf(ServiceId{0}, endpoint, 0));
}

}  // namespace

std::vector<BackendId> BackendDirectory::apply(const Configuration& configuration, Time now) {
  for (auto& [id, entry] : entries_) {
    if (entry.configured) {
      entry.removedAt = now;
    }
    entry.configured = false;
    entry.draining = true;
  }
  owners_.clear();
  for (const Service& service : configuration.services) {
    for (const Backend& backend : service.backends) {
      const bool draining = backend.state == BackendState::kDraining;
      entries_[backend.address.id] = Entry{backend.address, true, draining, now};
      owners_[endpointHash(backend.address.endpoint)] = backend.address.id;
    }
  }
  std::vector<BackendId> displaced;
  for (const auto& [id, entry] : entries_) {
    const auto owner = owners_.find(endpointHash(entry.address.endpoint));
    if (owner != owners_.end() && owner->second != id) {
      displaced.push_back(id);
    }
  }
  for (const BackendId id : displaced) {
    entries_.erase(id);
  }
  return displaced;
}

bool BackendDirectory::learn(const BackendAddress& backend, Time now) {
  if (entries_.contains(backend.id)) {
    return true;
  }
  const auto owner = owners_.find(endpointHash(backend.endpoint));
  if (owner != owners_.end() && owner->second != backend.id) {
    return false;
  }
  entries_[backend.id] = Entry{backend, false, true, now};
  return true;
}

const BackendAddress* BackendDirectory::find(BackendId id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second.address;
}

bool BackendDirectory::isDrainingOrUnlisted(BackendId id) const {
  const auto it = entries_.find(id);
  return it == entries_.end() || it->second.draining;
}

std::vector<BackendId> BackendDirectory::removeExpired(Time now, Duration keep) {
  std::vector<BackendId> removed;
  for (const auto& [id, entry] : entries_) {
    if (!entry.configured && now - entry.removedAt > keep) {
      removed.push_back(id);
    }
  }
  for (const BackendId id : removed) {
    entries_.erase(id);
  }
  return removed;
}

}  // namespace cobaltgauge::core
