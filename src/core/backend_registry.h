/// @file
/// Registered backends by the key of their store item. A backend that is draining or was removed
/// gets no new flows and stays reachable by its token until it can have no flows left. Items are
/// ordered by revision: an older one never replaces a newer one. Which backend of an address takes
/// new flows depends on the items in the store alone; see core/addresses/address_claim.h.
/// Registration updates of a backend are also ordered by its own numbers, so that an announced
/// shutdown survives a restore of the store from a copy without it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/addresses/address_claim.h"
#include "core/placement/candidate_list.h"
#include "core/placement_weights.h"
#include "core/registration.h"
#include "core/tokens/token_index.h"
#include "core/types.h"
#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::core {

/// The effect of an item on a backend; for logs.
enum class RegistryEvent : std::uint8_t {
  kAdded,
  kDraining,     ///< Announced its shutdown.
  kReactivated,  ///< Active again after draining or removal.
  kRemoved,      ///< Its item was removed.
  kRestarted,    ///< Restarted under the same id, without its previous state.
  kChanged,      ///< Another field changed.
  kRefreshed,    ///< Applied without a change of content.
  kNone,         ///< Older than the known state, or without effect.
};

inline constexpr std::size_t kRegistryEvents = static_cast<std::size_t>(RegistryEvent::kNone) + 1;

const char* toString(RegistryEvent event);

/// The changes of a registry after a revision.
struct RegistryDifference {
  std::vector<StoreChange> exactChanges;
  /// Removals found by a listing; their revisions are upper bounds.
  std::vector<StoreChange> boundedRemovals;
};

class BackendRegistry {
 public:
  /// @param retention how long a removed backend stays reachable by token.
  /// @param weights must outlive the registry.
  /// @param resolver encodes addresses in tokens and is informed of their ports; must outlive the
  /// registry. Null: tokens are hashes.
  BackendRegistry(Duration retention, PlacementWeights& weights, TokenResolver* resolver = nullptr)
      : retention_(retention), weights_(weights), tokens_(resolver) {}

  /// Sets the region of each zone.
  void setRegions(const std::map<std::string, std::string>& regionsOfZones);

  /// Recomputes the weight of every backend after a policy change.
  void recomputeWeights();

  /// Applies one item. @return its effect.
  RegistryEvent put(const std::string& key, const Registration& registration, Revision revision,
                    Time now);
  /// @return true if a listing of a later era shows an item unchanged. The item keeps its earlier
  /// revision then, under which other daemons know it. This holds for listings only: in a watch,
  /// the same revision number may have been assigned again to a different write.
  bool isUnchangedSinceEarlierEra(const std::string& key, const Registration& registration,
                                  Revision revision) const;
  /// Records that an item was removed. @return the effect.
  RegistryEvent remove(const std::string& key, Revision revision, Time now);

  /// Applies the end of a listing: removes items that are older and not in `keys`.
  /// @return keys of the removed backends.
  std::vector<std::string> retainOnly(const std::set<std::string>& keys, Revision listedAt,
                                      Time now);

  /// Applies an evacuation of a zone. @return true if it is newer than the known state of its key.
  bool putEvacuation(const std::string& key, const std::string& zone, Revision revision);
  /// Records that an evacuation item was removed. @return true if the removal is newer than the
  /// known state of its key.
  bool removeEvacuation(const std::string& key, Revision revision);
  /// Applies the end of a listing like retainOnly(). @return keys of the evacuations that ended.
  std::vector<std::string> retainEvacuations(const std::set<std::string>& keys, Revision listedAt);
  const ZoneEvacuations& evacuations() const { return evacuations_; }
  /// @return keys of evacuations that were lost with a restore of the store and have expired since
  /// the last call.
  std::vector<std::string> takeExpiredEvacuations() { return std::exchange(expired_, {}); }
  /// @return true if the service has a backend that would get new flows if its zone were not
  /// evacuated.
  bool isEvacuated(ServiceId service) const;

  /// @return the backend with this token, in either form, or null. A token that encodes an address
  /// gives the latest backend at that address.
  const BackendAddress* findByToken(SteeringToken token) const;
  /// @return the token to write into packets of a backend.
  SteeringToken tokenFor(const BackendAddress& backend) const {
    return tokens_.GetToken(backend.id, backend.endpoint);
  }
  /// @return true if an item of this key is known, whether removed or not.
  bool knows(const std::string& key) const { return entries_.contains(key); }
  /// @return the backend, whether removed or not, or null.
  const BackendAddress* find(BackendId id) const;
  /// @return the registration of a key that has an item in the store, or null.
  const Registration* findPresent(const std::string& key) const;
  /// @return backends that have restarted under the same id since the last call.
  std::vector<BackendId> takeRestarted() { return std::exchange(restarted_, {}); }
  /// @return the latest registration of the backend, or null.
  const Registration* registrationOf(BackendId id) const;
  /// @return what the other registrations at its address tell about a backend.
  AddressClaim claimOf(BackendId id) const;
  /// @return true if another backend is registered at the same address.
  bool sharesAddress(BackendId id) const;
  /// @return backends at whose address another one has registered since the last call.
  std::vector<BackendId> takeReassigned() { return std::exchange(reassigned_, {}); }
  /// @return true if the backend may get new flows.
  bool takesNewFlows(BackendId id) const;

  /// @return backends of a service that may get new flows.
  const std::vector<PlacementCandidate>& candidates(ServiceId service) {
    return candidateList(service).GetAll();
  }
  /// @return the backend if it may get new flows, else null.
  const PlacementCandidate* findCandidate(BackendId id);

  /// @return request slots of backends that may get new flows and are not warming up, by service
  /// and zone; zero if all of them are warming up.
  std::map<std::pair<ServiceId, ZoneId>, std::uint32_t> countSlots(Time now);
  /// @return the name of a service or zone that is known, else an empty string.
  std::string nameOf(ServiceId service) const;
  std::string nameOf(ZoneId zone) const;

  /// @return backends of a service that were removed after `since` without announcing their
  /// shutdown.
  std::vector<PlacementCandidate> unannouncedRemovalsSince(ServiceId service, Time since) const;

  /// @return the same if they are more than one in kMassExpiryRatio of the service, else none: so
  /// many at once indicate expired registrations rather than failed backends.
  std::vector<PlacementCandidate> expiredSince(ServiceId service, Time since);
  /// @return true if the backend was removed after `since` without announcing its shutdown.
  bool wasRemovedUnannouncedSince(BackendId id, Time since) const;

  /// Discards removed backends and lost evacuations after their retention time.
  void discardExpired(Time now);

  /// @return every registration whose item is in the store.
  std::vector<StoreChange> contents() const;
  /// @return the first `limit` of these with keys after `key`.
  std::vector<StoreChange> contentsAfter(const std::string& key, std::size_t limit) const;
  /// @return registrations and removals newer than `have`, in any order.
  RegistryDifference changesSince(Revision have) const;
  /// @return a number that increases with every change of the results of changesSince() and
  /// evacuations().
  std::uint64_t generation() const { return generation_; }
  /// @return the newest revision of a discarded removal; views that are older may lack it.
  Revision discardedRevision() const { return discardedRevision_; }
  std::size_t size() const { return entries_.size(); }
  /// @return the number of backends that may get new flows. Iterates over all backends.
  std::size_t activeCount() const;
  /// @return the same from cached lists; cheap enough for every batch of packets.
  std::size_t candidateCount();

 private:
  struct Entry {
    Registration registration;
    BackendAddress address;
    Revision revision = 0;
    bool present = true;  ///< Its item is in the store.
    AddressClaim claim = AddressClaim::kUndisputed;
    bool isRemovalRevisionExact = true;  ///< If false, `revision` is an upper bound.
    Time removedAt{};
    Time warmUntil{};
    std::uint32_t weight = kDefaultPlacementWeight;
  };

  /// A removal of an unknown key; an older item of it may still arrive.
  struct UnknownRemoval {
    Revision revision = 0;
    Time at{};
  };

  /// @return true if a later update of the backend is known: the store applied a write late, or was
  /// restored from a copy that is older than the known update.
  static bool isOlderUpdate(const Entry& entry, const Registration& registration,
                            Revision revision);
  PlacementCandidate candidateOf(const Entry& entry) const;
  bool wasRemovedUnannounced(const Entry& entry, Time since) const;
  /// @return true if the backend would get new flows if its zone were not evacuated.
  bool isServing(const Entry& entry) const;
  bool isCandidate(const Entry& entry) const;
  /// Clears all cached candidate lists if evacuations have changed.
  void clearCandidatesIf(bool changed);
  static AddressClaimant claimantOf(const Entry& entry);
  /// Evaluates the claims of all backends at an address after one of them has changed.
  void updateClaims(const Endpoint& endpoint);
  /// @return the current or latest backend at an address, or null.
  const BackendAddress* findLastAt(const Endpoint& endpoint) const;
  /// Records that an item is no longer in the store.
  void markRemoved(const std::string& key, Entry& entry, Time now);
  /// Removes an entry from the indexes by service and address.
  void unlink(const std::string& key, const Entry& entry);
  /// @return the candidates of a service; built on first use.
  const CandidateList& candidateList(ServiceId service);
  /// Updates a cached candidate list after a change of the owner of a hash token.
  void refreshCandidate(std::optional<BackendId> changed);
  /// Updates a cached candidate list after a change of an entry.
  void refreshCandidate(const Entry& entry);
  /// Removes an entry from all indexes.
  void unindex(const std::string& key, const Entry& entry);

  Duration retention_;
  PlacementWeights& weights_;
  std::map<std::string, Entry> entries_;  ///< By key.
  std::map<std::string, UnknownRemoval> unknownRemovals_;
  Revision discardedRevision_ = 0;
  std::uint64_t generation_ = 0;
  TokenIndex tokens_;
  std::unordered_map<BackendId, std::string> keys_;
  std::unordered_map<ServiceId, std::set<std::string>> services_;  ///< Keys of each service.
  std::map<Endpoint, std::set<std::string>> endpoints_;            ///< Keys at each address.
  /// Removal times and keys by service, oldest first, until discarded.
  std::unordered_map<ServiceId, std::deque<std::pair<Time, std::string>>> removals_;
  std::vector<BackendId> restarted_;
  std::vector<BackendId> reassigned_;  ///< See takeReassigned().
  ZoneEvacuations evacuations_;
  std::vector<std::string> expired_;         ///< See takeExpiredEvacuations().
  std::map<std::string, RegionId> regions_;  ///< By zone.
  std::unordered_map<ZoneId, std::string> zoneNames_;
  /// Built on first use and updated from then on.
  std::unordered_map<ServiceId, CandidateList> candidates_;
};

}  // namespace cobaltgauge::core
