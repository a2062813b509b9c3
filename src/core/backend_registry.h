/// @file
/// The back ends that registered themselves, by the key of their item in the store. A back end that
/// left or vanished takes no new flow at once and stays reachable by its token until no flow of it
/// can be left. Items are ordered by revision: an older one never replaces a newer one.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/placement_weights.h"
#include "core/reach/token_index.h"
#include "core/registration.h"
#include "core/types.h"
#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::core {

/// A back end that may be given new flows.
struct PlacementCandidate {
  BackendId id = kNoBackend;
  ServiceId service{0};
  std::uint32_t capacity = 1;
  std::uint32_t weight = kDefaultPlacementWeight;
  Time warmUntil{};  ///< Slow until this time.
  RegionId region = kNoRegion;
  ZoneId zone = kNoZone;
};

/// What happened to a back end, for logs.
enum class RegistryEvent : std::uint8_t {
  kAdded,
  kLeaving,    ///< Announced its end.
  kReturned,   ///< Active again after it was leaving or had vanished.
  kVanished,   ///< Its item was removed.
  kChanged,    ///< Another field changed.
  kRefreshed,  ///< Taken, though it says what was known.
  kNone,       ///< Older than what is known, or without effect.
};

const char* toString(RegistryEvent event);

class BackendRegistry {
 public:
  /// @param keepDeparted how long a back end that is gone stays reachable by token.
  /// @param weights outlives the registry.
  /// @param reach writes addresses into tokens and is told their ports; outlives the registry.
  /// Null: tokens are hashes.
  BackendRegistry(Duration keepDeparted, PlacementWeights& weights, TokenReach* reach = nullptr)
      : keepDeparted_(keepDeparted), weights_(weights), tokens_(reach) {}

  /// Says which region each zone is in.
  void setRegions(const std::map<std::string, std::string>& regionsOfZones);

  /// Weighs every back end again, after the policy changed.
  void reweigh();

  /// Takes one item. @return what it changed.
  RegistryEvent put(const std::string& key, const Registration& registration, Revision revision,
                    Time now);
  /// Notes that an item was removed. @return what it changed.
  RegistryEvent remove(const std::string& key, Revision revision, Time now);

  /// Takes a whole listing: items that are older than it and not part of it have been removed.
  /// @return keys of the back ends that vanished.
  std::vector<std::string> retainOnly(const std::set<std::string>& keys, Revision listedAt,
                                      Time now);

  /// Takes an evacuation of a zone. @return true where it is newer than what was known of its key.
  bool putEvacuation(const std::string& key, const std::string& zone, Revision revision);
  /// Notes that an evacuation's item was removed. @return true where that is newer likewise.
  bool removeEvacuation(const std::string& key, Revision revision);
  /// Takes a whole listing, as retainOnly() does. @return keys of the evacuations that ended.
  std::vector<std::string> retainEvacuations(const std::set<std::string>& keys, Revision listedAt);
  const ZoneEvacuations& evacuations() const { return evacuations_; }
  /// @return true where the service has a back end that only an evacuation keeps from new flows.
  bool isEvacuated(ServiceId service) const;

  /// @return the back end with this token, in either form, or null. A token that holds an address
  /// gives the last back end there.
  const BackendAddress* findByToken(SteeringToken token) const;
  /// @return the token to be written into packets of a back end.
  SteeringToken tokenFor(const BackendAddress& backend) const {
    return tokens_.GetToken(backend.id, backend.endpoint);
  }
  /// @return true where an item of this key was ever taken and is not forgotten.
  bool knows(const std::string& key) const { return entries_.contains(key); }
  /// @return the back end, gone or not, or null.
  const BackendAddress* find(BackendId id) const;
  /// @return true where another back end was registered later at the same address: it has ended.
  bool hasEnded(BackendId id) const;
  /// @return true where the back end may be given new flows.
  bool takesNewFlows(BackendId id) const;

  /// @return back ends of a service that may be given new flows.
  const std::vector<PlacementCandidate>& candidates(ServiceId service);

  /// @return slots of back ends that may be given new flows and are not cold, by service and zone;
  /// zero where others are there.
  std::map<std::pair<ServiceId, ZoneId>, std::uint32_t> countSlots(Time now);
  /// @return the name of a service or zone that was ever registered; else an empty one.
  std::string nameOf(ServiceId service) const;
  std::string nameOf(ZoneId zone) const;

  /// @return back ends of a service that vanished after `since` without having announced it.
  std::vector<PlacementCandidate> vanishedSince(ServiceId service, Time since) const;

  /// @return the same where they are more than one in kBackendsPerLapse of the service, else none:
  /// so many do not end together without a word; it is their registrations that lapsed.
  std::vector<PlacementCandidate> lapsedSince(ServiceId service, Time since);
  /// @return true where the back end vanished after `since` without having announced it.
  bool hasVanishedSince(BackendId id, Time since) const;

  /// Forgets back ends that have been gone for long enough.
  void forgetDeparted(Time now);

  /// @return every registration whose item is in the store, as an item.
  std::vector<StoreChange> contents() const;
  std::size_t size() const { return entries_.size(); }
  std::size_t activeCount() const;

 private:
  struct Entry {
    Registration registration;
    BackendAddress address;
    Revision revision = 0;
    bool present = true;  ///< Its item is in the store.
    bool ended = false;   ///< Its address belongs to a later back end.
    Time removedAt{};
    Time warmUntil{};
    std::uint32_t weight = kDefaultPlacementWeight;
  };

  PlacementCandidate candidateOf(const Entry& entry) const;
  bool hasVanished(const Entry& entry, Time since) const;
  /// @return true where the back end would take new flows but for an evacuation of its zone.
  bool isServing(const Entry& entry) const;
  bool isCandidate(const Entry& entry) const;
  /// Drops every list of candidates where evacuations have changed.
  void dropCandidates(bool changed);
  void markEnded(const Endpoint& endpoint);
  /// @return the back end that is at an address, or was there last, or null.
  const BackendAddress* findLastAt(const Endpoint& endpoint) const;
  /// Notes that an item is no longer in the store.
  void depart(Entry& entry, Time now);
  /// @return the back ends of a service for which `belongs(key, entry)` holds.
  template <typename Predicate>
  std::vector<PlacementCandidate> collect(ServiceId service, Predicate belongs) const;
  void forget(const std::string& key, const Entry& entry);

  Duration keepDeparted_;
  PlacementWeights& weights_;
  std::map<std::string, Entry> entries_;  ///< By key.
  TokenIndex tokens_;
  std::unordered_map<BackendId, std::string> keys_;
  std::unordered_map<ServiceId, std::set<std::string>> services_;  ///< Keys of each service.
  std::map<Endpoint, std::set<std::string>> endpoints_;            ///< Keys at each address.
  std::unordered_map<ServiceId, Time> lastDeparture_;
  ZoneEvacuations evacuations_;
  std::map<std::string, RegionId> regions_;  ///< By zone.
  std::unordered_map<ZoneId, std::string> zoneNames_;
  /// Collected when asked for; a change of a service drops its list.
  std::unordered_map<ServiceId, std::vector<PlacementCandidate>> candidates_;
};

}  // namespace cobaltgauge::core
