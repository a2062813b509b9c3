/// @file
/// Applies the store's items to the view that steers flows, and reports each change of the view.
#pragma once

#include <functional>
#include <string>

#include "core/refused_items.h"
#include "core/relay/change_log.h"
#include "core/store_reader.h"
#include "core/token_steering.h"

namespace cobaltgauge::core {

/// An applied or rejected change of the view; for logs.
struct ViewChange {
  enum class Kind : std::uint8_t {
    kBackend,
    kRoutes,
    kUnreadable,
    kOlderRoutes,
    kFirstListing,
    kAllBackendsKnown,
    kEvacuationBegan,
    kEvacuationEnded,
    kEvacuationLost,  ///< Lost with a restore of the store; the zone stays evacuated for a while.
  };
  Kind kind = Kind::kBackend;
  std::string key;
  Revision revision = 0;
  RegistryEvent backendEvent = RegistryEvent::kNone;
  std::string service;
  std::string zone;                  ///< Of an evacuation.
  ConfigurationVersion version = 0;  ///< Of the route set.
  std::string reason;                ///< Why an item cannot be read.
  std::size_t size = 0;              ///< Size in bytes of an item that cannot be read.
  /// Of a first listing or a full view, whose backends are not reported one by one.
  std::size_t backends = 0;
};

class ViewUpdater : public StoreSink {
 public:
  using Listener = std::function<void(const ViewChange&)>;

  /// @param log receives every change that had an effect; must outlive the updater. May be null.
  ViewUpdater(BackendRegistry& backends, RouteTable& routes, Listener listener,
              ChangeLog* log = nullptr)
      : backends_(backends), routes_(routes), listener_(std::move(listener)), log_(log) {}

  bool onChange(const StoreChange& change, Time now) override;
  void onListedItem(const StoreChange& item, Time now) override;
  void onListed(const std::set<std::string>& keys, Revision listedAt, Time now) override;
  void onMissingItem(const StoreChange& item, Time now) override;
  void onAllBackendsKnown() override;

  /// Reports lost evacuations that have expired; call with each tick.
  void reportExpiredEvacuations();

  /// Items that cannot be read, each of which is reported once.
  const RefusedItems& refusedItems() const { return refused_; }

 private:
  bool isKnownFromEarlierEra(const StoreChange& item) const;
  bool apply(const StoreChange& change, const Registration& registration, Time now);
  bool apply(const StoreChange& change, const RouteSet& routes, Time now);
  bool apply(const StoreChange& change, const RouteDelta& delta, Time now);
  bool apply(const StoreChange& change, const RemovedItem& removed, Time now);
  bool apply(const StoreChange& change, const UnreadableItem& unreadable, Time now);
  bool apply(const StoreChange& change, const ZoneEvacuation& evacuation, Time now);
  void record(StoreChange change);
  /// @return true if the zone of this evacuation item is evacuated.
  bool isEvacuated(const std::string& key) const;
  void reportEvacuation(const std::string& key, Revision revision, ViewChange::Kind kind);
  /// Reports that an evacuation item was removed.
  void reportRemoved(const std::string& key, Revision revision);
  void reportBackend(const std::string& key, Revision revision, RegistryEvent event,
                     const std::string& service);
  void reportUnreadable(const StoreChange& change, const UnreadableItem& unreadable);

  BackendRegistry& backends_;
  RouteTable& routes_;
  Listener listener_;
  ChangeLog* log_;
  RefusedItems refused_;
  bool listed_ = false;            ///< The first listing is complete.
  bool hasAllBackends_ = false;    ///< Every backend is known.
  std::size_t addedBackends_ = 0;  ///< Until every backend is known.
};

}  // namespace cobaltgauge::core
