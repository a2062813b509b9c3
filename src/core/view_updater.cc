#include "core/view_updater.h"

#include <utility>

namespace cobaltgauge::core {

void ViewUpdater::onChange(const StoreChange& change, Time now) {
  std::visit([this, &change, now](const auto& item) { take(change, item, now); }, change.item);
}

void ViewUpdater::take(const StoreChange& change, const Registration& registration, Time now) {
  const RegistryEvent event = backends_.put(change.key, registration, change.revision, now);
  if (!listed_ && event == RegistryEvent::kAdded) {
    ++listedBackends_;
    return;
  }
  reportBackend(change.key, change.revision, event, registration.service);
}

void ViewUpdater::take(const StoreChange& change, const RouteSet& routes, Time now) {
  const RouteOffer offer = routes_.offer(routes, now);
  if (offer == RouteOffer::kUnchanged) {
    return;
  }
  ViewChange report;
  report.kind =
      offer == RouteOffer::kAccepted ? ViewChange::Kind::kRoutes : ViewChange::Kind::kOlderRoutes;
  report.key = change.key;
  report.revision = change.revision;
  report.version = routes.version;
  listener_(report);
}

void ViewUpdater::take(const StoreChange& change, const RemovedItem&, Time now) {
  // Routes are never removed as a whole: a version replaces them.
  reportBackend(change.key, change.revision, backends_.remove(change.key, change.revision, now),
                "");
}

void ViewUpdater::take(const StoreChange& change, const UnreadableItem& unreadable, Time) {
  ViewChange report;
  report.kind = ViewChange::Kind::kUnreadable;
  report.key = change.key;
  report.revision = change.revision;
  report.reason = unreadable.reason;
  listener_(report);
}

void ViewUpdater::onListed(const std::set<std::string>& keys, Revision listedAt, Time now) {
  for (const std::string& key : backends_.retainOnly(keys, listedAt, now)) {
    reportBackend(key, listedAt, RegistryEvent::kVanished, "");
  }
  if (!std::exchange(listed_, true)) {
    ViewChange report;
    report.kind = ViewChange::Kind::kFirstListing;
    report.revision = listedAt;
    report.backends = listedBackends_;
    listener_(report);
  }
}

void ViewUpdater::reportBackend(const std::string& key, Revision revision, RegistryEvent event,
                                const std::string& service) {
  if (event == RegistryEvent::kNone) {
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
