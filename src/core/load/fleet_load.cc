#include "core/load/fleet_load.h"

#include <algorithm>
#include <utility>

#include "core/load/load_limits.h"

namespace cobaltgauge::core {
namespace {

/// Maximum number of changes that wait to be logged.
constexpr std::size_t kMaxPendingBusyChanges = kMaxLoadsPerMessage;

std::uint32_t ToMs(Duration duration)
{
  constexpr Duration kLongest = 1h;
  const Duration bounded = std::clamp(duration, Duration{}, kLongest);
  return static_cast<std::uint32_t>(bounded / 1ms);
}

bool HasRejections(const std::vector<ZoneLoad>& loads)
{
  return std::any_of(loads.begin(), loads.end(), [](const ZoneLoad& load) {
    return load.RejectedInSecond != 0;
  });
}

} // namespace

FleetLoad::FleetLoad(const Endpoint& self,
                     LoadMeter& meter,
                     SlotCounter countSlots)
  : Self(self)
  , Meter(meter)
  , CountSlots(std::move(countSlots))
{
}

void FleetLoad::SetEnabled(bool enabled)
{
  this->Enabled = enabled;
  if (!enabled) {
    this->FollowerReports.clear();
    this->FleetTotalsAsOf.reset();
    this->RoundStartedAt.reset();
    this->HasPendingSummary = false;
    this->HasPendingRequest = false;
  }
}

void FleetLoad::OnTick(const TreePosition& position, Time now)
{
  this->Meter.OnTick(now);
  if (position.Upstream != this->Position.Upstream ||
      position.IsRoot != this->Position.IsRoot) {
    this->UpstreamClockOffset.reset();
    this->UpstreamLevel.reset();
    this->SummarySentAtUs = 0;
    this->RequestSentAtUs = 0;
    this->RoundStartedAt.reset();
  }
  this->Position = position;
  if (!this->Enabled) {
    return;
  }
  std::erase_if(this->FollowerReports, [now](const auto& item) {
    return item.second.ExpiresAt <= now;
  });
  if (now >= this->NextSlotCountAt) {
    this->NextSlotCountAt = now + kSlotCountInterval;
    this->Slots = this->CountSlots(now);
  }
  if (position.IsRoot) {
    this->UpdateFleetTotals(now);
    this->UpdateInterval(now);
    if (now >= this->NextRoundAt) {
      this->StartRound(now);
    }
  }
  this->DetectBusyChanges(now);
}

void FleetLoad::StartRound(Time now)
{
  // Keep the rate despite late ticks, but do not catch up missed rounds.
  const bool isRegular = now - this->NextRoundAt < this->Interval;
  this->NextRoundAt = (isRegular ? this->NextRoundAt : now) + this->Interval;
  this->RoundStartedAt = now;
  this->HasPendingRequest = true;
}

bool FleetLoad::HasGatheredReports(Time now) const
{
  if (!this->RoundStartedAt) {
    return false;
  }
  const Duration timeout =
    this->Position.IsRoot ? kRootGatherTimeout : kGatherTimeout;
  return now - *this->RoundStartedAt >= timeout ||
    std::all_of(this->FollowerReports.begin(),
                this->FollowerReports.end(),
                [this](const auto& item) {
                  return item.second.ReceivedAt >= *this->RoundStartedAt;
                });
}

bool FleetLoad::HasUnreportedRejections(Time now) const
{
  if (this->IsBusy() || now - this->LastReportAt < kBusyReportInterval) {
    return false;
  }
  return HasRejections(this->Meter.GetLoads(now)) ||
    std::any_of(this->FollowerReports.begin(),
                this->FollowerReports.end(),
                [this](const auto& item) {
                  return item.second.ReceivedAt > this->LastReportAt &&
                    HasRejections(item.second.Report.loads);
                });
}

std::optional<std::uint32_t> FleetLoad::GetLevel() const
{
  if (this->Position.IsRoot) {
    return 0;
  }
  return this->UpstreamLevel && *this->UpstreamLevel < kMaxTreeDepth
    ? std::optional(*this->UpstreamLevel + 1)
    : std::nullopt;
}

FleetLoad::TreeLoad FleetLoad::SumReports(std::uint32_t level, Time now) const
{
  this->Meter.OnTick(now); // Expire requests.
  TreeLoad sum;
  sum.OldestAt = now;
  sum.Loads.Add(this->Meter.GetLoads(now), 1);
  for (const auto& [follower, entry] : this->FollowerReports) {
    // Skip the upstream, as two daemons may follow each other for a short
    // time, and old reports, as the oldest one sets the age of the sum.
    const Time asOf =
      entry.SentAt - std::chrono::milliseconds(entry.Report.ageMs);
    if (entry.ExpiresAt > now && now - asOf < kMaxSummedReportAge &&
        entry.Report.level > level && follower != this->Position.Upstream) {
      sum.Loads.Add(entry.Report.loads, entry.Report.daemons);
      sum.OldestAt = std::min(sum.OldestAt, asOf);
    }
  }
  return sum;
}

void FleetLoad::UpdateFleetTotals(Time now)
{
  TreeLoad sum = this->SumReports(0, now);
  this->FleetTotals = std::move(sum.Loads);
  this->FleetTotalsAsOf = sum.OldestAt;
}

double FleetLoad::GetUtilization(const LoadKey& key, std::uint32_t slots) const
{
  const double inFlight = this->FleetTotals.Get(key).InFlight;
  // A zone without slots has no idle slot.
  return slots == 0 ? std::max(inFlight, 1.0) : inFlight / slots;
}

void FleetLoad::UpdateInterval(Time now)
{
  const bool isBusy = std::any_of(
    this->Slots.begin(), this->Slots.end(), [this](const auto& item) {
      return item.second != 0 &&
        this->GetUtilization(item.first, item.second) > kBusyEnterUtilization;
    });
  if (isBusy ||
      HasRejections(this->FleetTotals.GetLargest(kMaxLoadsPerMessage))) {
    this->NextRoundAt = this->IsBusy() ? this->NextRoundAt : now;
    this->BusyUntil = now + kBusyHoldTime;
  }
  this->Interval =
    now < this->BusyUntil ? kBusyReportInterval : kNormalReportInterval;
}

std::vector<ZoneLoad> FleetLoad::SelectLoads(const LoadSum& loads) const
{
  return loads.GetLargest(this->IsBusy() ? kMaxLoadsPerMessage
                                         : kMaxLoadsPerNormalMessage);
}

void FleetLoad::DetectBusyChanges(Time now)
{
  if (!this->IsUsable(now)) {
    return;
  }
  for (const auto& [key, slots] : this->Slots) {
    bool& isBusy = this->BusyZones[key];
    const double utilization = this->GetUtilization(key, slots);
    const bool hasChanged = isBusy ? utilization < kBusyExitUtilization
                                   : utilization > kBusyEnterUtilization;
    if (hasChanged && this->BusyChanges.size() < kMaxPendingBusyChanges) {
      isBusy = !isBusy;
      this->BusyChanges.push_back({ key,
                                    isBusy,
                                    this->FleetTotals.Get(key),
                                    slots,
                                    *this->GetAge(now) });
    }
  }
  std::erase_if(this->BusyZones, [this](const auto& item) {
    return this->Slots.count(item.first) == 0;
  });
}

std::vector<ZoneBusyChange> FleetLoad::TakeBusyChanges()
{
  return std::exchange(this->BusyChanges, {});
}

void FleetLoad::OnUpstreamClock(std::uint64_t clockUs, Time now)
{
  this->UpstreamClockOffset = static_cast<std::int64_t>(clockUs) - now.count();
}

void FleetLoad::OnReport(const LoadReport& report, Time now)
{
  const Time sentAt{ static_cast<std::int64_t>(report.sentAtUs) };
  const Duration next = std::min<Duration>(
    std::chrono::milliseconds(report.nextMs), kNormalReportInterval);
  const Time expiresAt = sentAt + next + kReportExpiryMargin;
  const auto known = this->FollowerReports.find(report.replyTo);
  const bool isOlder =
    known != this->FollowerReports.end() && sentAt <= known->second.SentAt;
  if (!this->Enabled || sentAt > now || sentAt < Time{} || expiresAt <= now ||
      isOlder) {
    ++this->Counters.ReportsIgnored;
    return;
  }
  ++this->Counters.ReportsAccepted;
  this->FollowerReports[report.replyTo] = { report, sentAt, now, expiresAt };
}

void FleetLoad::OnSummary(const LoadSummary& summary, Time sentAt, Time now)
{
  std::uint64_t& latest =
    summary.isReportRequest ? this->RequestSentAtUs : this->SummarySentAtUs;
  if (!this->Enabled || this->Position.IsRoot ||
      this->Position.Upstream != summary.sender ||
      summary.sentAtUs <= latest) {
    return;
  }
  latest = summary.sentAtUs;
  this->UpstreamLevel = summary.level;
  this->Interval =
    std::clamp<Duration>(std::chrono::milliseconds(summary.nextMs),
                         kBusyReportInterval,
                         kNormalReportInterval);
  if (summary.isReportRequest) {
    this->RoundStartedAt = now;
    this->HasPendingRequest = true;
    return;
  }
  ++this->Counters.SummariesAccepted;
  this->FleetTotals = LoadSum{};
  this->FleetTotals.Add(summary.loads, summary.daemons);
  this->FleetTotalsAsOf = sentAt - std::chrono::milliseconds(summary.ageMs);
  this->HasPendingSummary = true;
}

void FleetLoad::OnResume()
{
  this->Meter.Clear();
  this->FollowerReports.clear();
  this->FleetTotalsAsOf.reset();
}

std::optional<LoadReport> FleetLoad::TakeReport(Time now)
{
  const std::optional<std::uint32_t> level = this->GetLevel();
  const bool mayBeCountedElsewhere =
    this->LastReportTarget != this->Position.Upstream &&
    now < this->LastReportExpiresAt;
  if (!this->Enabled || !this->Position.Upstream ||
      !this->UpstreamClockOffset || !level || mayBeCountedElsewhere ||
      (!this->HasGatheredReports(now) &&
       !this->HasUnreportedRejections(now))) {
    return std::nullopt;
  }
  this->RoundStartedAt.reset();
  this->LastReportAt = now;
  const TreeLoad sum = this->SumReports(*level, now);
  this->LastReportTarget = this->Position.Upstream;
  this->LastReportExpiresAt =
    std::max(this->LastReportExpiresAt,
             now + this->Interval + kReportExpiryMargin +
               (*level - 1) * kMaxReportLifetime);
  ++this->Counters.ReportsSent;
  LoadReport report;
  report.replyTo = this->Self;
  report.sentAtUs =
    static_cast<std::uint64_t>(now.count() + *this->UpstreamClockOffset);
  report.nextMs = ToMs(this->Interval);
  report.ageMs = ToMs(now - sum.OldestAt);
  report.level = *level;
  report.daemons = sum.Loads.CountDaemons();
  report.loads = this->SelectLoads(sum.Loads);
  return report;
}

LoadSummary FleetLoad::MakeSummary(std::uint32_t level, Time now) const
{
  LoadSummary summary;
  summary.sender = this->Self;
  summary.sentAtUs = static_cast<std::uint64_t>(now.count());
  summary.nextMs = ToMs(this->Interval);
  summary.level = level;
  return summary;
}

std::vector<LoadSummary> FleetLoad::TakeSummaries(Time now)
{
  std::vector<LoadSummary> summaries;
  const std::optional<std::uint32_t> level = this->GetLevel();
  if (!this->Enabled || !level) {
    return summaries;
  }
  if (std::exchange(this->HasPendingRequest, false)) {
    summaries.push_back(this->MakeSummary(*level, now));
    summaries.back().isReportRequest = true;
  }
  if (this->Position.IsRoot && this->HasGatheredReports(now)) {
    this->RoundStartedAt.reset();
    this->UpdateFleetTotals(now);
    this->HasPendingSummary = true;
  }
  if (std::exchange(this->HasPendingSummary, false) && this->FleetTotalsAsOf) {
    LoadSummary summary = this->MakeSummary(*level, now);
    summary.ageMs = ToMs(now - *this->FleetTotalsAsOf);
    summary.daemons = this->FleetTotals.CountDaemons();
    summary.loads = this->SelectLoads(this->FleetTotals);
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

std::optional<Duration> FleetLoad::GetAge(Time now) const
{
  return this->FleetTotalsAsOf
    ? std::optional<Duration>(now - *this->FleetTotalsAsOf)
    : std::nullopt;
}

bool FleetLoad::IsUsable(Time now) const
{
  const std::optional<Duration> age = this->GetAge(now);
  return this->Enabled && age && *age <= kMaxLoadAge &&
    this->FleetTotals.CountDaemons() * kMaxDaemonsPerReported >=
    this->Position.Daemons;
}

std::optional<ZoneCapacity> FleetLoad::GetZoneCapacity(ServiceId service,
                                                       ZoneId zone,
                                                       Time now) const
{
  if (!this->IsUsable(now)) {
    return std::nullopt;
  }
  const LoadKey key{ service, zone };
  const auto slots = this->Slots.find(key);
  const ZoneLoad load = this->FleetTotals.Get(key);
  ZoneCapacity capacity;
  capacity.Utilization =
    this->GetUtilization(key, slots == this->Slots.end() ? 0 : slots->second);
  capacity.RejectedShare = load.OpeningsInSecond == 0
    ? 0
    : std::min(1.0,
               static_cast<double>(load.RejectedInSecond) /
                 load.OpeningsInSecond);
  capacity.Age = this->GetAge(now).value_or(Duration{});
  return capacity;
}

} // namespace cobaltgauge::core
