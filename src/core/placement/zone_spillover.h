/// @file
/// Which fraction of a zone's openings stays there while it has too little
/// room. See docs/design/008-scarce-room.md.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/backend_registry.h"
#include "core/load/load_statistics.h"
#include "core/placement/placement_limits.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Openings of a service begin or cease to leave a zone; for logs.
struct SpilloverChange
{
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  bool Began = false;
  double LocalShare = 1;   ///< Share of openings that stays.
  double Demand = 0;       ///< SlotShare that openings ask for, for each slot.
  double LowestDemand = 0; ///< The same of the zone with maxStep room.
  Duration Age{};          ///< Of these figures.
};

/** \class ZoneSpillover
 * \brief Let the policy's preference fade with the room of the zone.
 *
 * Of the openings that the policy gives to a zone, a share stays: all of them
 * while nobody waits much longer there than elsewhere, and as many as it then
 * bears beyond that.  The share follows from the figures and from what was
 * kept when they were taken, so that figures of any age lead to the same
 * point; it goes there timeConstant half their age, so that it does not swing
 * at their pace, and by bounded steps.  Without figures it goes back to one.
 */
class ZoneSpillover
{
public:
  /// Add a source of figures, asked where those before it know too little.
  /// \param room outlives this.
  void AddSource(const CapacityView& room) { this->Sources.push_back(&room); }

  /// Let openings leave zones without room, or not.
  void SetEnabled(bool enabled);

  /// Say whether openings of a service are limited: its back ends are full in
  /// all zones.  Each zone then keeps its fraction of the slots and no more,
  /// so that none is less full than others.
  void SetLimited(ServiceId service, bool limited)
  {
    this->Services[service].IsLimited = limited;
  }

  /// Work out again, now and then, what the zones of a service keep.
  /// \param candidates the service's back ends that take flows.
  void Update(const std::vector<PlacementCandidate>& candidates, Time now);

  /// Get the share of a zone's openings that stays there.
  double GetLocalShare(ServiceId service, ZoneId zone) const;

  /// Tell whether a zone may take openings that others have no room for.
  bool AcceptsSpillover(ServiceId service, ZoneId zone) const;

  /// Note that an opening left a zone for want of room.
  void OnSpilled() { ++this->Spilled; }
  std::uint64_t CountSpilled() const { return this->Spilled; }

  /// Get the lowestDemand share that any service keeps, by zone.
  std::map<ZoneId, double> GetLocalShareByZone() const;

  std::vector<SpilloverChange> TakeChanges()
  {
    return std::exchange(this->Changes, {});
  }

private:
  struct PastShare
  {
    Time Since{};
    double Share = 1;
  };
  struct Zone
  {
    double Share = 1;
    double SlotShare = 0;       ///< Of the service's slots, its fraction.
    bool HasStatistics = false; ///< There are figures.
    bool IsSpilling = false;
    double Demand = 0;
    Duration Age = kMinStatisticsAge;
    std::deque<PastShare>
      History; ///< Shares of the past kShareHistoryRetention.

    double GetShareAt(Time when) const;
  };
  struct Service
  {
    Time UpdatedAt{};
    Time CountedAt{};
    std::size_t CountedBackends =
      0; ///< Back ends that zones were counted from.
    bool IsLimited = false;
    std::map<ZoneId, Zone> Zones;
  };

  /// Find the zones with back ends that take flows, and their slots.
  static void CountZones(Service& service,
                         const std::vector<PlacementCandidate>& candidates);
  /// Take the figures of the first source that knows two zones of a service.
  void ReadStatistics(ServiceId id, Service& service, Time now) const;
  void AdjustShares(ServiceId id,
                    Service& service,
                    Duration elapsed,
                    Time now);
  void RecordChange(ServiceId id,
                    ZoneId zoneId,
                    Zone& zone,
                    double lowestDemand);

  std::vector<const CapacityView*> Sources;
  std::unordered_map<ServiceId, Service> Services;
  std::vector<SpilloverChange> Changes;
  std::uint64_t Spilled = 0;
  bool Enabled = true;
};

} // namespace cobaltgauge::core
