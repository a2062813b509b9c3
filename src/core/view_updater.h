/// @file
/// Puts what the store says into the view by which flows are steered, and reports each change of
/// what this daemon believes.
#pragma once

#include <functional>
#include <string>

#include "core/relay/change_log.h"
#include "core/store_reader.h"
#include "core/token_steering.h"

namespace cobaltgauge::core {

/// One change of the view, or the refusal of one; for logs.
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
    kEvacuationLost,  ///< With a copy of the store; its zone stays out for a while.
  };
  Kind kind = Kind::kBackend;
  std::string key;
  Revision revision = 0;
  RegistryEvent backendEvent = RegistryEvent::kNone;
  std::string service;
  std::string zone;                  ///< Of an evacuation.
  ConfigurationVersion version = 0;  ///< Of the route set.
  std::string reason;                ///< Why an item cannot be read.
  std::size_t backends = 0;  ///< Of a first listing or a whole view; these are not told apart.
};

class ViewUpdater : public StoreSink {
 public:
  using Listener = std::function<void(const ViewChange&)>;

  /// @param log takes every change that had an effect; outlives the updater. Null for none.
  ViewUpdater(BackendRegistry& backends, RouteTable& routes, Listener listener,
              ChangeLog* log = nullptr)
      : backends_(backends), routes_(routes), listener_(std::move(listener)), log_(log) {}

  bool onChange(const StoreChange& change, Time now) override;
  void onListedItem(const StoreChange& item, Time now) override;
  void onListed(const std::set<std::string>& keys, Revision listedAt, Time now) override;
  void onMissingItem(const StoreChange& item, Time now) override;
  void onAllBackendsKnown() override;

  /// Reports evacuations that were lost and are over now; call with each tick.
  void reportExpiredEvacuations();

 private:
  bool isKnownFromEarlierEra(const StoreChange& item) const;
  bool apply(const StoreChange& change, const Registration& registration, Time now);
  bool apply(const StoreChange& change, const RouteSet& routes, Time now);
  bool apply(const StoreChange& change, const RouteDelta& delta, Time now);
  bool apply(const StoreChange& change, const RemovedItem& removed, Time now);
  bool apply(const StoreChange& change, const UnreadableItem& unreadable, Time now);
  bool apply(const StoreChange& change, const ZoneEvacuation& evacuation, Time now);
  void record(StoreChange change);
  /// @return true where the zone of an evacuation's item is out.
  bool isEvacuated(const std::string& key) const;
  void reportEvacuation(const std::string& key, Revision revision, ViewChange::Kind kind);
  /// Reports that an evacuation's item is gone.
  void reportRemoved(const std::string& key, Revision revision);
  void reportBackend(const std::string& key, Revision revision, RegistryEvent event,
                     const std::string& service);

  BackendRegistry& backends_;
  RouteTable& routes_;
  Listener listener_;
  ChangeLog* log_;
  bool listed_ = false;            ///< The first listing is complete.
  bool hasAllBackends_ = false;    ///< Every back end is known.
  std::size_t addedBackends_ = 0;  ///< While the view was not whole.
};

}  // namespace cobaltgauge::core
