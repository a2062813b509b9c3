/// @file
/// The back ends that registered themselves, by the key of their item in the store. A back end that
/// left or vanished takes no new flow at once and stays reachable by its token until no flow of it
/// can be left. Items are ordered by revision: an older one never replaces a newer one. What a back
/// end says of itself is ordered by itself as well, so that an announced end outlives a store that
/// comes back from a copy without it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/placement/candidate_list.h"
#include "core/placement_weights.h"
#include "core/reach/token_index.h"
#include "core/registration.h"
#include "core/types.h"
#include "core/zones/zone_evacuations.h"

namespace cobaltgauge::core {

/// What happened to a back end, for logs.
enum class RegistryEvent : std::uint8_t {
  kAdded,
  kLeaving,    ///< Announced its end.
  kReturned,   ///< Active again after it was leaving or had vanished.
  kVanished,   ///< Its item was removed.
  kRestarted,  ///< Started again under its id, and knows nothing from before.
  kChanged,    ///< Another field changed.
  kRefreshed,  ///< Taken, though it says what was known.
  kNone,       ///< Older than what is known, or without effect.
};

inline constexpr std::size_t kRegistryEvents = static_cast<std::size_t>(RegistryEvent::kNone) + 1;

const char* toString(RegistryEvent event);

/// What a registry holds that is newer than a revision.
struct RegistryDifference {
  std::vector<StoreChange> exactChanges;
  /// Removals that a listing showed: they happened at some time before their revisions.
  std::vector<StoreChange> boundedRemovals;
};

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
  void recomputeWeights();

  /// Takes one item. @return what it changed.
  RegistryEvent put(const std::string& key, const Registration& registration, Revision revision,
                    Time now);
  /// @return true where a listing of a later era shows an item as it was known before: it keeps its
  /// place then, from which others have it. Of a change that would not be so: the number may have
  /// been given out again, to one who says the same after a copy that lacked it.
  bool isUnchangedSinceEarlierEra(const std::string& key, const Registration& registration,
                                  Revision revision) const;
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
  /// Takes a whole listing, as retainOnly() does. @return keys of the evacuations that superseded.
  std::vector<std::string> retainEvacuations(const std::set<std::string>& keys, Revision listedAt);
  const ZoneEvacuations& evacuations() const { return evacuations_; }
  /// @return keys of evacuations that were lost with a copy of the store and are over since the
  /// last call.
  std::vector<std::string> takeExpiredEvacuations() { return std::exchange(expired_, {}); }
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
  /// @return what is known of a key whose item is in the store, or null.
  const Registration* findPresent(const std::string& key) const;
  /// @return back ends that have started again under their ids since the last call.
  std::vector<BackendId> takeRestarted() { return std::exchange(restarted_, {}); }
  /// @return what the back end last said of itself, or null.
  const Registration* registrationOf(BackendId id) const;
  /// @return true where another back end was registered at the same address after this one's last
  /// word: it has superseded. Of two that each wrote after the other came, as where the store takes
  /// a write seconds late, neither is said to have.
  bool isSuperseded(BackendId id) const;
  /// @return true where the back end may be given new flows.
  bool takesNewFlows(BackendId id) const;

  /// @return back ends of a service that may be given new flows.
  const std::vector<PlacementCandidate>& candidates(ServiceId service) {
    return candidateList(service).GetAll();
  }
  /// @return the back end where it may be given new flows, else null.
  const PlacementCandidate* findCandidate(BackendId id);

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

  /// Forgets back ends that have been gone, and evacuations that have been lost, for long enough.
  void forgetDeparted(Time now);

  /// @return every registration whose item is in the store, as an item.
  std::vector<StoreChange> contents() const;
  /// @return the first of these, `limit` at limit, whose keys come after `key`.
  std::vector<StoreChange> contentsAfter(const std::string& key, std::size_t limit) const;
  /// @return registrations and removals that are newer than `have`, in any order.
  RegistryDifference changesSince(Revision have) const;
  /// @return a number that rises with every change of what changesSince() and evacuations() tell.
  std::uint64_t generation() const { return generation_; }
  /// @return the newest revision of a removal that is forgotten; who is older may lack it.
  Revision forgottenRevision() const { return forgottenRevision_; }
  std::size_t size() const { return entries_.size(); }
  /// @return how many may be given new flows; looks at every one.
  std::size_t activeCount() const;
  /// @return the same, for every batch of packets.
  std::size_t candidateCount();

 private:
  struct Entry {
    Registration registration;
    BackendAddress address;
    Revision revision = 0;
    Revision firstRevision = 0;          ///< Of its first item that is known.
    bool present = true;                 ///< Its item is in the store.
    bool superseded = false;             ///< Its address belongs to a later back end.
    bool isRemovalRevisionExact = true;  ///< Else it happened at some time before `revision`.
    Time removedAt{};
    Time warmUntil{};
    std::uint32_t weight = kDefaultPlacementWeight;
  };

  /// A removal of a key that was not known: an older item may come still.
  struct UnknownRemoval {
    Revision revision = 0;
    Time at{};
  };

  /// @return true where the back end has said more since: the store took a write late, or came back
  /// from a copy that is older than what it had said.
  static bool isOlderUpdate(const Entry& entry, const Registration& registration,
                            Revision revision);
  PlacementCandidate candidateOf(const Entry& entry) const;
  bool hasVanished(const Entry& entry, Time since) const;
  /// @return true where the back end would take new flows but for an evacuation of its zone.
  bool isServing(const Entry& entry) const;
  bool isCandidate(const Entry& entry) const;
  /// Drops every list of candidates where evacuations have changed.
  void clearCandidatesIf(bool changed);
  void markSuperseded(const Endpoint& endpoint);
  /// @return the back end that is at an address, or was there last, or null.
  const BackendAddress* findLastAt(const Endpoint& endpoint) const;
  /// Notes that an item is no longer in the store.
  void markDeparted(const std::string& key, Entry& entry, Time now);
  /// Takes an entry out of where its service and its address lead to it.
  void unlink(const std::string& key, const Entry& entry);
  /// @return the candidates of a service; collected where they have not been.
  const CandidateList& candidateList(ServiceId service);
  /// Brings a list that was collected in step with an entry that has changed.
  void refreshCandidate(const Entry& entry);
  void forget(const std::string& key, const Entry& entry);

  Duration keepDeparted_;
  PlacementWeights& weights_;
  std::map<std::string, Entry> entries_;  ///< By key.
  std::map<std::string, UnknownRemoval> unknownRemovals_;
  Revision forgottenRevision_ = 0;
  std::uint64_t generation_ = 0;
  TokenIndex tokens_;
  std::unordered_map<BackendId, std::string> keys_;
  std::unordered_map<ServiceId, std::set<std::string>> services_;  ///< Keys of each service.
  std::map<Endpoint, std::set<std::string>> endpoints_;            ///< Keys at each address.
  /// When which keys departed, by service, oldest first; of those that are not forgotten.
  std::unordered_map<ServiceId, std::deque<std::pair<Time, std::string>>> departures_;
  std::vector<BackendId> restarted_;
  ZoneEvacuations evacuations_;
  std::vector<std::string> expired_;         ///< See takeExpiredEvacuations().
  std::map<std::string, RegionId> regions_;  ///< By zone.
  std::unordered_map<ZoneId, std::string> zoneNames_;
  /// Collected when asked for first, and kept in step from then on.
  std::unordered_map<ServiceId, CandidateList> candidates_;
};

}  // namespace cobaltgauge::core
