/// @file
/// The load that the whole fleet sees, as far as this daemon has heard.  See
/// docs/design/008-scarce-capacity.md.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/load/load_limits.h"
#include "core/load/load_meter.h"
#include "core/load/load_statistics.h"
#include "core/load/load_sum.h"

namespace cobaltgauge::core {

/// Slots of the back expiresAt of a service in a zone that take openings; zero
/// where they are all cold.
using ZoneSlots = std::map<LoadKey, std::uint32_t>;

/// Where a daemon stands in the tree of followers.
struct TreePosition
{
  std::optional<Endpoint> Upstream;
  bool IsRoot = false;       ///< Its tree is the fleet that it can reach.
  std::uint32_t Daemons = 0; ///< In the whole tree; zero: not known.
};

/// Counters of a FleetLoad; see docs/METRICS.md.
struct FleetLoadCounters
{
  std::uint64_t ReportsSent = 0;
  std::uint64_t ReportsAccepted = 0;
  std::uint64_t ReportsIgnored = 0; ///< Late, repeated or impossible.
  std::uint64_t SummariesAccepted = 0;
};

/// A zone has become busy for a service, or is no longer.
struct ZoneBusyChange
{
  LoadKey Key;
  bool IsBusy = false;
  ZoneLoad Load;
  std::uint32_t Slots = 0;
  Duration Age{};
};

/** \class FleetLoad
 * \brief Add up the loads of a tree of followers, and say how much capacity
 * is.
 *
 * In each round the root asks; the question travels down at once, and each
 * daemon answers the one that it follows with the sum of its own load and of
 * its followers' reports, as soon as it has those.  The root's sum travels
 * down.  A daemon that sees callers rejected in calm times reports unasked.
 *
 * No daemon is counted twice: a report holds until a time on its receiver's
 * clock, however late it arrives, and who begins to follow another daemon
 * tells that one nothing until what it told the one before is counted on no
 * level above.  So the receiver adds up only reports of those who know that
 * they are that far below the root.
 */
class FleetLoad : public CapacityView
{
public:
  using SlotCounter = std::function<ZoneSlots(Time now)>;

  /// \param self where this daemon takes peer messages.
  /// \param meter outlives this object.
  FleetLoad(const Endpoint& self, LoadMeter& meter, SlotCounter countSlots);

  /// Off: nothing is told or known.
  void SetEnabled(bool enabled);
  bool IsEnabled() const { return this->Enabled; }

  void OnTick(const TreePosition& position, Time now);
  /// Note the clock of the daemon that is followed.
  void OnUpstreamClock(std::uint64_t clockUs, Time now);
  void OnReport(const LoadReport& report, Time now);
  /// \param sentAt on this daemon's clock; not later than it was.
  void OnSummary(const LoadSummary& summary, Time sentAt, Time now);
  /// Call after the process was suspended.
  void OnResume();

  /// Take the report that is due to the daemon that is followed.
  std::optional<LoadReport> TakeReport(Time now);

  /// Get the daemon that reports are made for, as of the last tick.
  const std::optional<Endpoint>& GetUpstream() const
  {
    return this->Position.Upstream;
  }
  /// Take what is due to the followers.
  std::vector<LoadSummary> TakeSummaries(Time now);
  std::vector<ZoneBusyChange> TakeBusyChanges();

  std::optional<ZoneCapacity> GetZoneCapacity(ServiceId service,
                                              ZoneId zone,
                                              Time now) const override;
  /// Get how old the figures are; nothing where there are none.
  std::optional<Duration> GetAge(Time now) const;
  ZoneLoad GetLoad(const LoadKey& key) const
  {
    return this->FleetTotals.Get(key);
  }
  const ZoneSlots& GetSlots() const { return this->Slots; }
  std::uint32_t CountDaemons() const
  {
    return this->FleetTotals.CountDaemons();
  }
  const FleetLoadCounters& GetCounters() const { return this->Counters; }

private:
  struct FollowerReport
  {
    LoadReport Report;
    Time SentAt{}; ///< On this daemon's clock.
    Time ReceivedAt{};
    Time ExpiresAt{};
  };
  struct TreeLoad
  {
    LoadSum Loads;
    Time OldestAt{}; ///< Of the oldest entry.
  };

  std::optional<std::uint32_t> GetLevel() const;
  TreeLoad SumReports(std::uint32_t level, Time now) const;
  /// Make the sum of this daemon's tree what is known of the fleet.
  void UpdateFleetTotals(Time now);
  /// Ask for reports, at the root.
  void StartRound(Time now);
  void UpdateInterval(Time now);
  void DetectBusyChanges(Time now);
  /// Tell whether the reports of a round are here, or not waited for.
  bool HasGatheredReports(Time now) const;
  /// Tell whether callers were rejected that nobody has asked about.
  bool HasUnreportedRejections(Time now) const;
  /// Tell whether the figures are fresh, and hold enough daemons.
  bool IsUsable(Time now) const;
  bool IsBusy() const { return this->Interval < kNormalReportInterval; }
  double GetUtilization(const LoadKey& key, std::uint32_t slots) const;
  std::vector<ZoneLoad> SelectLoads(const LoadSum& loads) const;
  LoadSummary MakeSummary(std::uint32_t level, Time now) const;

  Endpoint Self;
  LoadMeter& Meter;
  SlotCounter CountSlots;
  bool Enabled = true;
  TreePosition Position;
  std::optional<std::int64_t>
    UpstreamClockOffset; ///< Upstream's clock less this one.
  std::optional<std::uint32_t> UpstreamLevel;
  std::uint64_t SummarySentAtUs = 0; ///< By upstream's clock, the latest.
  std::uint64_t RequestSentAtUs = 0;
  std::map<Endpoint, FollowerReport> FollowerReports; ///< By follower.
  ZoneSlots Slots;
  Time NextSlotCountAt{};
  LoadSum FleetTotals;
  std::optional<Time> FleetTotalsAsOf;
  std::optional<Time>
    RoundStartedAt; ///< When the round began, until it is gathered.
  Duration Interval = kNormalReportInterval; ///< Of rounds, by the root.
  bool HasPendingRequest = false;            ///< For the followers.
  bool HasPendingSummary = false;            ///< For the followers.
  Time NextRoundAt{};  ///< Of the next round, at the root.
  Time BusyUntil{};    ///< At the root.
  Time LastReportAt{}; ///< Of the last report unasked.
  std::optional<Endpoint> LastReportTarget;
  Time LastReportExpiresAt{}; ///< What was told may be, on some level above.
  std::map<LoadKey, bool> BusyZones;
  std::vector<ZoneBusyChange> BusyChanges;
  FleetLoadCounters Counters;
};

} // namespace cobaltgauge::core
