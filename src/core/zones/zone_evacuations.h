/// @file
/// Zones that operators since taken out: their back ends get no new flow until
/// the zone is taken back.  Open flows stay.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/registration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// For so long a zone stays out whose evacuation was lost with the store's
/// latest copy: operators write it again where it is still wanted.
inline constexpr Duration kLostEvacuationHoldTime = std::chrono::seconds(3);

/** \class ZoneEvacuations
 * \brief The evacuations in force, by the key of their item in the store.
 *
 * Items are ordered by revision: an older one never replaces a newer one, and
 * an evacuation that has ended is remembered for that.  There are as many
 * keys as zones, so nothing is ever forgotten.
 *
 * A removal of a later era than the item's may be nobody's wish: the store
 * came back from a copy without it.  The zone stays out for a while then.
 */
class ZoneEvacuations
{
public:
  /// Take an evacuation.
  /// \return whether it is newer than what was found of its key.
  bool Put(const std::string& key, const std::string& zone, Revision revision);

  /// Note that an item was removed.
  /// \return whether that is newer than what was found of its key.
  bool Remove(const std::string& key, Revision revision);

  /// Take a whole listing: evacuations that are older than it and not part of
  /// it since ended.
  /// \return the keys of those.
  std::vector<std::string> RetainOnly(const std::set<std::string>& keys,
                                      Revision listedAt);

  /// MarkEnded evacuations that were lost and since not been written again.
  /// \return the keys of those that are expired.
  std::vector<std::string> ExpireLost(Time now);

  /// Tell whether the item was lost and its zone is still kept out.
  bool IsLost(const std::string& key) const;

  bool IsEvacuated(const std::string& zone) const
  {
    return this->Zones.count(zone) != 0;
  }

  /// Tell whether an item of this key was ever taken.
  bool HasSeen(const std::string& key) const
  {
    return this->Entries.count(key) != 0;
  }

  /// Get the zone of an item that was ever taken; empty for others.
  std::string GetZone(const std::string& key) const;

  /// Get the zones that are out.
  const std::set<std::string>& GetZones() const { return this->Zones; }

  /// Get what began or ended after `since`, as items and removals.
  std::vector<StoreChange> GetChangesSince(Revision since) const;

  /// Get every evacuation in force, as an item.
  std::vector<StoreChange> GetContents() const;

private:
  struct Entry
  {
    std::string Zone;
    Revision UpdatedAt = 0;
    bool Active = true;
    bool Lost = false; ///< Not in force, and its zone is out all the same.
    Time LostAt{};     ///< Zero until ExpireLost() has seen it.
  };

  static void MarkEnded(Entry& entry, Revision at);

  /// Collect the zones anew; several keys may name one.
  void RebuildZones();

  std::map<std::string, Entry> Entries;
  std::set<std::string> Zones;
};

} // namespace cobaltgauge::core
