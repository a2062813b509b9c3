/// @file
/// Share of a zone's openings that stays local while the zone is overloaded.
/// See docs/design/008-scarce-room.md.
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

/// Spillover of a service from a zone started or ended; for logs.
struct SpilloverChange
{
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  bool Started = false;
  double LocalShare = 1;   ///< Share of openings that stays in the zone.
  double Demand = 0;       ///< Offered load per slot.
  double LowestDemand = 0; ///< Offered load per slot of the least loaded zone.
  Duration Age{};          ///< Age of the statistics.
};

/** \class ZoneSpillover
 * \brief Controls the share of openings that stay in the zone preferred by the
 * policy.
 *
 * All openings stay while the wait in the zone exceeds that of the least
 * loaded zone by at most kMaxExtraLocalWait; beyond that, the share is reduced
 * to meet this bound.  The target is computed from the statistics and from the
 * share in effect when they were measured, so that it does not depend on their
 * age.  The share approaches the target with a time constant of half that age
 * and a bounded rate, which prevents oscillation.  Without statistics it
 * returns to one.
 */
class ZoneSpillover
{
public:
  /// Add a source of statistics, used if earlier ones know fewer than two
  /// zones of a service.
  /// \param source outlives this object.
  void AddSource(const CapacityView& source)
  {
    this->Sources.push_back(&source);
  }

  /// Enable or disable spillover.
  void SetEnabled(bool enabled);

  /// Set whether admission limits the openings of a service because its
  /// backends are overloaded in all zones.  The local share of a zone is then
  /// at most its share of the slots, so that all zones are loaded equally.
  void SetLimited(ServiceId service, bool limited)
  {
    this->Services[service].IsLimited = limited;
  }

  /// Update the local shares of a service if the update interval has passed.
  /// \param candidates the service's backends that accept flows.
  void Update(const std::vector<PlacementCandidate>& candidates, Time now);

  /// Get the share of a zone's openings that stays in the zone, 0 to 1.
  double GetLocalShare(ServiceId service, ZoneId zone) const;

  /// Return whether a zone may receive openings of overloaded zones.
  bool AcceptsSpillover(ServiceId service, ZoneId zone) const;

  /// Count an opening that left an overloaded zone.
  void OnSpilled() { ++this->Spilled; }
  std::uint64_t CountSpilled() const { return this->Spilled; }

  /// Get the lowest local share of any service, by zone.
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
    double SlotShare = 0; ///< Share of the service's slots.
    bool HasStatistics = false;
    bool IsSpilling = false;
    double Demand = 0;
    Duration Age = kMinStatisticsAge;
    std::deque<PastShare> History; ///< Kept for kShareHistoryRetention.

    double GetShareAt(Time when) const;
  };
  struct Service
  {
    Time UpdatedAt{};
    Time CountedAt{};
    std::size_t CountedBackends = 0; ///< Candidates at the last count.
    bool IsLimited = false;
    std::map<ZoneId, Zone> Zones;
  };

  /// Find the zones with backends that accept flows, and their slot shares.
  static void CountZones(Service& service,
                         const std::vector<PlacementCandidate>& candidates);
  /// Read statistics from the first source that knows at least two zones.
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
