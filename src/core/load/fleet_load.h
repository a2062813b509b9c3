/// @file
/// Load of the whole fleet, as reported to this daemon.  See
/// docs/design/008-scarce-room.md.
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

/// Slots of the backends of a service in a zone that accept openings; zero if
/// all are warming up.
using ZoneSlots = std::map<LoadKey, std::uint32_t>;

/// Position of a daemon in the relay tree.
struct TreePosition
{
  std::optional<Endpoint> Upstream;
  bool IsRoot = false;
  std::uint32_t Daemons = 0; ///< Number in the whole tree; zero if unknown.
};

/// Counters of a FleetLoad; see docs/METRICS.md.
struct FleetLoadCounters
{
  std::uint64_t ReportsSent = 0;
  std::uint64_t ReportsAccepted = 0;
  std::uint64_t ReportsIgnored = 0; ///< Late, repeated or impossible.
  std::uint64_t SummariesAccepted = 0;
};

/// A zone became busy for a service or is no longer busy.
struct ZoneBusyChange
{
  LoadKey Key;
  bool IsBusy = false;
  ZoneLoad Load;
  std::uint32_t Slots = 0;
  Duration Age{};
};

/** \class FleetLoad
 * \brief Sums the loads of the relay tree and provides the used capacity of
 * zones.
 *
 * In each round the root sends a report request down the tree.  Each daemon
 * reports the sum of its own load and of its followers' reports to its
 * upstream as soon as it has received those.  The root sends the total down
 * the tree as a summary.  While the report interval is long, a daemon that
 * sees rejections reports them without a request.
 *
 * No daemon is counted twice.  A report expires at a time on its receiver's
 * clock, however late it arrives.  After a change of upstream, a daemon sends
 * no report until its last report to the previous upstream has expired on all
 * levels.  Only reports from a level further below the root are summed.
 */
class FleetLoad : public CapacityView
{
public:
  using SlotCounter = std::function<ZoneSlots(Time now)>;

  /// \param self address at which this daemon receives peer messages.
  /// \param meter outlives this object.
  FleetLoad(const Endpoint& self, LoadMeter& meter, SlotCounter countSlots);

  /// While disabled, nothing is reported and no statistics are available.
  void SetEnabled(bool enabled);
  bool IsEnabled() const { return this->Enabled; }

  void OnTick(const TreePosition& position, Time now);
  /// Record the clock of the upstream daemon.
  void OnUpstreamClock(std::uint64_t clockUs, Time now);
  void OnReport(const LoadReport& report, Time now);
  /// \param sentAt time of sending on this daemon's clock, or earlier.
  void OnSummary(const LoadSummary& summary, Time sentAt, Time now);
  /// Must be called after the process was suspended.
  void OnResume();

  /// Return the report that is due to the upstream daemon, if any.
  std::optional<LoadReport> TakeReport(Time now);

  /// Get the upstream daemon as of the last tick.
  const std::optional<Endpoint>& GetUpstream() const
  {
    return this->Position.Upstream;
  }
  /// Return the messages that are due to the followers.
  std::vector<LoadSummary> TakeSummaries(Time now);
  std::vector<ZoneBusyChange> TakeBusyChanges();

  std::optional<ZoneCapacity> GetZoneCapacity(ServiceId service,
                                              ZoneId zone,
                                              Time now) const override;
  /// Get the age of the statistics; nothing if there are none.
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
    Time OldestAt{}; ///< Time of measurement of the oldest part.
  };

  std::optional<std::uint32_t> GetLevel() const;
  TreeLoad SumReports(std::uint32_t level, Time now) const;
  /// Set the fleet totals to the sum of this daemon's tree, at the root.
  void UpdateFleetTotals(Time now);
  /// Request reports, at the root.
  void StartRound(Time now);
  void UpdateInterval(Time now);
  void DetectBusyChanges(Time now);
  /// Return whether all reports of a round have arrived or its timeout has
  /// expired.
  bool HasGatheredReports(Time now) const;
  /// Return whether a report about rejections is due without a request.
  bool HasUnreportedRejections(Time now) const;
  /// Return whether the statistics are recent and cover enough daemons.
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
  /// Upstream's clock minus this daemon's, in microseconds.
  std::optional<std::int64_t> UpstreamClockOffset;
  std::optional<std::uint32_t> UpstreamLevel;
  /// Latest times of sending, by upstream's clock.
  std::uint64_t SummarySentAtUs = 0;
  std::uint64_t RequestSentAtUs = 0;
  std::map<Endpoint, FollowerReport> FollowerReports; ///< By follower.
  ZoneSlots Slots;
  Time NextSlotCountAt{};
  LoadSum FleetTotals;
  std::optional<Time> FleetTotalsAsOf;
  /// Start of the round; nothing once the reports are complete.
  std::optional<Time> RoundStartedAt;
  /// Interval between rounds, set by the root.
  Duration Interval = kNormalReportInterval;
  // Messages due to the followers.
  bool HasPendingRequest = false;
  bool HasPendingSummary = false;
  // Used by the root only.
  Time NextRoundAt{};
  Time BusyUntil{};

  Time LastReportAt{};
  std::optional<Endpoint> LastReportTarget;
  /// When the last report has expired on all levels above.
  Time LastReportExpiresAt{};
  std::map<LoadKey, bool> BusyZones;
  std::vector<ZoneBusyChange> BusyChanges;
  FleetLoadCounters Counters;
};

} // namespace cobaltgauge::core
