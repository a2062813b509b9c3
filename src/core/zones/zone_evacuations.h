/// @file
/// Zones evacuated by operators.  Their backends get no new flows until the
/// zone is restored; established flows stay.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/registration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Time that a zone stays evacuated after its item was lost in a restore of
/// the store, so that operators can write the item again.
inline constexpr Duration kLostEvacuationHoldTime = std::chrono::seconds(3);

/** \class ZoneEvacuations
 * \brief Evacuations in effect, by the key of their item in the store.
 *
 * Items are ordered by revision; an older one never replaces a newer one.
 * Ended evacuations are kept for this comparison and never removed, since
 * there are only as many keys as zones.
 *
 * If an item is missing in a later store era than its own, the store may have
 * been restored from a copy without the item.  Its zone then stays evacuated
 * for kLostEvacuationHoldTime.
 */
class ZoneEvacuations
{
public:
  /// Applies an evacuation.
  /// \return whether it is newer than the known state of its key.
  bool Put(const std::string& key, const std::string& zone, Revision revision);

  /// Applies the removal of an item.
  /// \return whether it is newer than the known state of its key.
  bool Remove(const std::string& key, Revision revision);

  /// Applies a full listing: ends the evacuations that are older than it and
  /// not part of it.
  /// \return the keys of the ended evacuations.
  std::vector<std::string> RetainOnly(const std::set<std::string>& keys,
                                      Revision listedAt);

  /// Ends lost evacuations that were not written again within
  /// kLostEvacuationHoldTime.
  /// \return the keys of the ended evacuations.
  std::vector<std::string> ExpireLost(Time now);

  /// Returns whether the item was lost and its zone is still evacuated.
  bool IsLost(const std::string& key) const;

  bool IsEvacuated(const std::string& zone) const
  {
    return this->Zones.count(zone) != 0;
  }

  /// Returns whether an item with this key was ever applied.
  bool HasSeen(const std::string& key) const
  {
    return this->Entries.count(key) != 0;
  }

  /// Returns the zone of an item that was ever applied, or an empty string.
  std::string GetZone(const std::string& key) const;

  const std::set<std::string>& GetZones() const { return this->Zones; }

  /// Returns the changes after a revision, as items and removals.
  std::vector<StoreChange> GetChangesSince(Revision since) const;

  /// Returns all evacuations in effect, as items.
  std::vector<StoreChange> GetContents() const;

private:
  struct Entry
  {
    std::string Zone;
    Revision UpdatedAt = 0;
    bool Active = true;
    bool Lost = false; ///< Not active, but its zone is still evacuated.
    Time LostAt{};     ///< Zero until the next ExpireLost().
  };

  static void MarkEnded(Entry& entry, Revision at);

  /// Recalculates Zones; several keys may name the same zone.
  void RebuildZones();

  std::map<std::string, Entry> Entries;
  std::set<std::string> Zones;
};

} // namespace cobaltgauge::core
