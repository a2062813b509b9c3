#include "core/view_updater.h"

#include <utility>

namespace cobaltgauge::core {

bool ViewUpdater::onChange(const StoreChange& change, Time now) {
  if (!std::holds_alternative<UnreadableItem>(change.item)) {
    refused_.remove(change.key);
  }
  return std::visit([this, &change, now](const auto& item) { return apply(change, item, now); },
                    change.item);
}

void ViewUpdater::onListedItem(const StoreChange& item, Time now) {
  // Avoids propagating every unchanged item after a restore of the store, which would cost 450 KB
  // for each daemon with 10,000 backends.
  if (!isKnownFromEarlierEra(item)) {
    onChange(item, now);
  }
}

bool ViewUpdater::isKnownFromEarlierEra(const StoreChange& item) const {
  if (const auto* registration = std::get_if<Registration>(&item.item)) {
    return backends_.isUnchangedSinceEarlierEra(item.key, *registration, item.revision);
  }
  const auto* routes = std::get_if<RouteSet>(&item.item);
  return routes != nullptr && routes_.isUnchangedSinceEarlierEra(routes->version, item.revision);
}

bool ViewUpdater::apply(const StoreChange& change, const Registration& registration, Time now) {
  const RegistryEvent event = backends_.put(change.key, registration, change.revision, now);
  if (event != RegistryEvent::kNone) {
    record(change);
  }
  if (!hasAllBackends_ && event == RegistryEvent::kAdded) {
    ++addedBackends_;
    return true;
  }
  reportBackend(change.key, change.revision, event, registration.service);
  return true;
}

bool ViewUpdater::apply(const StoreChange& change, const RouteSet& routes, Time now) {
  return apply(change, routes_.difference(routes), now);
}

bool ViewUpdater::apply(const StoreChange& change, const RouteDelta& delta, Time now) {
  const RouteOfferResult offer = routes_.apply(delta, now, change.revision);
  if (offer == RouteOfferResult::kRewritten) {
    // Other daemons may have started from a restored store that lacked it.
    record(change);
    return true;
  }
  if (offer == RouteOfferResult::kUnchanged || offer == RouteOfferResult::kGap) {
    return offer == RouteOfferResult::kUnchanged;
  }
  const bool accepted = offer == RouteOfferResult::kAccepted;
  if (accepted) {
    record({change.key, change.revision, delta});
  }
  ViewChange report;
  report.kind = accepted ? ViewChange::Kind::kRoutes : ViewChange::Kind::kOlderRoutes;
  report.key = change.key;
  report.revision = change.revision;
  report.version = delta.version;
  listener_(report);
  return true;
}

bool ViewUpdater::apply(const StoreChange& change, const RemovedItem&, Time now) {
  // Routes are never removed as a whole: a new version replaces them.
  if (backends_.evacuations().HasSeen(change.key)) {
    const bool wasEvacuated = isEvacuated(change.key);
    if (backends_.removeEvacuation(change.key, change.revision)) {
      record(change);
    }
    if (wasEvacuated) {
      reportRemoved(change.key, change.revision);
    }
    return true;
  }
  const bool isKnown = backends_.knows(change.key);
  const RegistryEvent event = backends_.remove(change.key, change.revision, now);
  // A peer may know an item of a later listing page that this daemon never received.
  if (event != RegistryEvent::kNone || !isKnown) {
    record(change);
  }
  reportBackend(change.key, change.revision, event, "");
  return true;
}

bool ViewUpdater::apply(const StoreChange& change, const UnreadableItem& unreadable, Time now) {
  reportUnreadable(change, unreadable);
  if (const Registration* known = backends_.findPresent(change.key)) {
    // The writer may not be the backend itself, so the item only stops new flows.
    Registration drained = *known;
    drained.state = BackendState::kDraining;
    return apply({change.key, change.revision, drained}, drained, now);
  }
  return true;
}

bool ViewUpdater::apply(const StoreChange& change, const ZoneEvacuation& evacuation, Time) {
  const bool wasEvacuated = backends_.evacuations().IsEvacuated(evacuation.zone);
  if (backends_.putEvacuation(change.key, evacuation.zone, change.revision)) {
    record(change);
  }
  if (!wasEvacuated && isEvacuated(change.key)) {
    reportEvacuation(change.key, change.revision, ViewChange::Kind::kEvacuationBegan);
  }
  return true;
}

bool ViewUpdater::isEvacuated(const std::string& key) const {
  const ZoneEvacuations& evacuations = backends_.evacuations();
  return evacuations.IsEvacuated(evacuations.GetZone(key));
}

void ViewUpdater::reportEvacuation(const std::string& key, Revision revision,
                                   ViewChange::Kind kind) {
  ViewChange report;
  report.kind = kind;
  report.key = key;
  report.revision = revision;
  report.zone = backends_.evacuations().GetZone(key);
  listener_(report);
}

void ViewUpdater::reportRemoved(const std::string& key, Revision revision) {
  if (backends_.evacuations().IsLost(key)) {
    reportEvacuation(key, revision, ViewChange::Kind::kEvacuationLost);
  } else if (!isEvacuated(key)) {
    reportEvacuation(key, revision, ViewChange::Kind::kEvacuationEnded);
  }
}

void ViewUpdater::reportExpiredEvacuations() {
  for (const std::string& key : backends_.takeExpiredEvacuations()) {
    reportEvacuation(key, 0, ViewChange::Kind::kEvacuationEnded);
  }
}

void ViewUpdater::onMissingItem(const StoreChange& item, Time now) {
  if (const auto* unreadable = std::get_if<UnreadableItem>(&item.item)) {
    reportUnreadable(item, *unreadable);
  }
  const auto* registration = std::get_if<Registration>(&item.item);
  if (registration == nullptr) {
    return;
  }
  const RegistryEvent event = backends_.put(item.key, *registration, item.revision, now);
  addedBackends_ += event == RegistryEvent::kAdded ? 1 : 0;
}

void ViewUpdater::onAllBackendsKnown() {
  hasAllBackends_ = true;
  ViewChange report;
  report.kind = ViewChange::Kind::kAllBackendsKnown;
  report.backends = addedBackends_;
  listener_(report);
}

void ViewUpdater::record(StoreChange change) {
  if (log_ != nullptr) {
    log_->Append(std::move(change));
  }
}

void ViewUpdater::onListed(const std::set<std::string>& keys, Revision listedAt, Time now) {
  if (log_ != nullptr) {
    log_->MarkIndivisible();
  }
  refused_.retainOnly(keys);
  for (const std::string& key : backends_.retainOnly(keys, listedAt, now)) {
    record({key, listedAt, RemovedItem{}});
    reportBackend(key, listedAt, RegistryEvent::kRemoved, "");
  }
  for (const std::string& key : backends_.retainEvacuations(keys, listedAt)) {
    record({key, listedAt, RemovedItem{}});
    reportRemoved(key, listedAt);
  }
  if (!std::exchange(listed_, true)) {
    ViewChange report;
    report.kind = ViewChange::Kind::kFirstListing;
    report.revision = listedAt;
    report.backends = addedBackends_;
    listener_(report);
  }
}

void ViewUpdater::reportUnreadable(const StoreChange& change, const UnreadableItem& unreadable) {
  if (!refused_.add(change.key, change.revision)) {
    return;
  }
  ViewChange report;
  report.kind = ViewChange::Kind::kUnreadable;
  report.key = change.key;
  report.revision = change.revision;
  report.reason = unreadable.reason;
  report.size = unreadable.size;
  listener_(report);
}

void ViewUpdater::reportBackend(const std::string& key, Revision revision, RegistryEvent event,
                                const std::string& service) {
  if (event == RegistryEvent::kNone || event == RegistryEvent::kRefreshed) {
    return;
  }
  ViewChange report;
  report.key = key;
  report.revision = revision;
  report.backendEvent = event;
  report.service = service;
  listener_(report);
}

}  // namespace cobaltgauge::core
