#include "core/load/fleet_load.h"

#include <algorithm>
#include <utility>

#include "core/load/load_limits.h"

namespace cobaltgauge::core {
namespace {

/// Crossings kept until they are taken; one for each zone at most.
constexpr std::size_t kMostCrossings = kMostLoadsTold;

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
    this->Parts.clear();
    this->KnownAsOf.reset();
    this->AskedAt.reset();
    this->HasNews = false;
    this->HasQuestion = false;
  }
}

void FleetLoad::OnTick(const TreePlace& place, Time now)
{
  this->Meter.OnTick(now);
  if (place.Upstream != this->Place.Upstream ||
      place.IsRoot != this->Place.IsRoot) {
    this->ClockLead.reset();
    this->UpstreamLevel.reset();
    this->SummarySentAtUs = 0;
    this->QuestionSentAtUs = 0;
    this->AskedAt.reset();
  }
  this->Place = place;
  if (!this->Enabled) {
    return;
  }
  std::erase_if(this->Parts,
                [now](const auto& item) { return item.second.Ends <= now; });
  if (now >= this->NextCountAt) {
    this->NextCountAt = now + kSlotsCountedEvery;
    this->Slots = this->CountSlots(now);
  }
  if (place.IsRoot) {
    this->KnowOwnTree(now);
    this->NoteNeed(now);
    if (now >= this->NextAt) {
      this->BeginRound(now);
    }
  }
  this->NoteCrossings(now);
}

void FleetLoad::BeginRound(Time now)
{
  // Ticks that come late do not add up.
  const bool isRegular = now - this->NextAt < this->Interval;
  this->NextAt = (isRegular ? this->NextAt : now) + this->Interval;
  this->AskedAt = now;
  this->HasQuestion = true;
}

bool FleetLoad::IsGathered(Time now) const
{
  if (!this->AskedAt) {
    return false;
  }
  const Duration patience = this->Place.IsRoot ? kRootGathersFor : kGatherFor;
  return now - *this->AskedAt >= patience ||
    std::all_of(
           this->Parts.begin(), this->Parts.end(), [this](const auto& item) {
             return item.second.TakenAt >= *this->AskedAt;
           });
}

bool FleetLoad::IsUrgent(Time now) const
{
  if (this->IsBusy() || now - this->UrgentAt < kBusyReportEvery) {
    return false;
  }
  return HasRejections(this->Meter.GetLoads(now)) ||
    std::any_of(
           this->Parts.begin(), this->Parts.end(), [this](const auto& item) {
             return item.second.TakenAt > this->UrgentAt &&
               HasRejections(item.second.Report.loads);
           });
}

std::optional<std::uint32_t> FleetLoad::GetLevel() const
{
  if (this->Place.IsRoot) {
    return 0;
  }
  return this->UpstreamLevel && *this->UpstreamLevel < kMostLevels
    ? std::optional(*this->UpstreamLevel + 1)
    : std::nullopt;
}

FleetLoad::Sum FleetLoad::AddUp(std::uint32_t level, Time now) const
{
  this->Meter.OnTick(now); // Requests have faded since the last one.
  Sum sum;
  sum.AsOf = now;
  sum.Loads.Add(this->Meter.GetLoads(now), 1);
  for (const auto& [follower, part] : this->Parts) {
    // Who follows each other for a moment would count the other's sum.
    // One old part would make the figures of all others too old to use.
    const Time asOf =
      part.SentAt - std::chrono::milliseconds(part.Report.ageMs);
    if (part.Ends > now && now - asOf < kOldestPart &&
        part.Report.level > level && follower != this->Place.Upstream) {
      sum.Loads.Add(part.Report.loads, part.Report.daemons);
      sum.AsOf = std::min(sum.AsOf, asOf);
    }
  }
  return sum;
}

void FleetLoad::KnowOwnTree(Time now)
{
  Sum sum = this->AddUp(0, now);
  this->Known = std::move(sum.Loads);
  this->KnownAsOf = sum.AsOf;
}

double FleetLoad::GetUtilization(const LoadKey& key, std::uint32_t slots) const
{
  const double inFlight = this->Known.Get(key).InFlight;
  // Without a slot there is no idle one.
  return slots == 0 ? std::max(inFlight, 1.0) : inFlight / slots;
}

void FleetLoad::NoteNeed(Time now)
{
  const bool isUsed = std::any_of(
    this->Slots.begin(), this->Slots.end(), [this](const auto& item) {
      return item.second != 0 &&
        this->GetUtilization(item.first, item.second) > kBusyFrom;
    });
  if (isUsed || HasRejections(this->Known.GetLargest(kMostLoadsTold))) {
    this->NextAt = this->IsBusy() ? this->NextAt : now;
    this->BusyUntil = now + kBusyFor;
  }
  this->Interval = now < this->BusyUntil ? kBusyReportEvery : kCalmReportEvery;
}

std::vector<ZoneLoad> FleetLoad::GetTold(const LoadSum& loads) const
{
  return loads.GetLargest(this->IsBusy() ? kMostLoadsTold
                                         : kMostLoadsToldCalm);
}

void FleetLoad::NoteCrossings(Time now)
{
  if (!this->IsUsable(now)) {
    return;
  }
  for (const auto& [key, slots] : this->Slots) {
    bool& isBusy = this->BusyZones[key];
    const double utilization = this->GetUtilization(key, slots);
    const bool turns =
      isBusy ? utilization < kBusyUntil : utilization > kBusyFrom;
    if (turns && this->Crossings.size() < kMostCrossings) {
      isBusy = !isBusy;
      this->Crossings.push_back(
        { key, isBusy, this->Known.Get(key), slots, *this->GetAge(now) });
    }
  }
  std::erase_if(this->BusyZones, [this](const auto& item) {
    return this->Slots.count(item.first) == 0;
  });
}

std::vector<LoadCrossing> FleetLoad::TakeCrossings()
{
  return std::exchange(this->Crossings, {});
}

void FleetLoad::OnUpstreamClock(std::uint64_t clockUs, Time now)
{
  this->ClockLead = static_cast<std::int64_t>(clockUs) - now.count();
}

void FleetLoad::OnReport(const LoadReport& report, Time now)
{
  const Time sentAt{ static_cast<std::int64_t>(report.sentAtUs) };
  const Duration next = std::min<Duration>(
    std::chrono::milliseconds(report.nextMs), kCalmReportEvery);
  const Time ends = sentAt + next + kReportSlack;
  const auto known = this->Parts.find(report.replyTo);
  const bool isOlder =
    known != this->Parts.end() && sentAt <= known->second.SentAt;
  if (!this->Enabled || sentAt > now || sentAt < Time{} || ends <= now ||
      isOlder) {
    ++this->Counters.ReportsIgnored;
    return;
  }
  ++this->Counters.ReportsTaken;
  this->Parts[report.replyTo] = { report, sentAt, now, ends };
}

void FleetLoad::OnSummary(const LoadSummary& summary, Time sentAt, Time now)
{
  std::uint64_t& latest =
    summary.asks ? this->QuestionSentAtUs : this->SummarySentAtUs;
  if (!this->Enabled || this->Place.IsRoot ||
      this->Place.Upstream != summary.sender || summary.sentAtUs <= latest) {
    return;
  }
  latest = summary.sentAtUs;
  this->UpstreamLevel = summary.level;
  this->Interval =
    std::clamp<Duration>(std::chrono::milliseconds(summary.nextMs),
                         kBusyReportEvery,
                         kCalmReportEvery);
  if (summary.asks) {
    this->AskedAt = now;
    this->HasQuestion = true;
    return;
  }
  ++this->Counters.SummariesTaken;
  this->Known = LoadSum{};
  this->Known.Add(summary.loads, summary.daemons);
  this->KnownAsOf = sentAt - std::chrono::milliseconds(summary.ageMs);
  this->HasNews = true;
}

void FleetLoad::OnResume()
{
  this->Meter.Clear();
  this->Parts.clear();
  this->KnownAsOf.reset();
}

std::optional<LoadReport> FleetLoad::TakeReport(Time now)
{
  const std::optional<std::uint32_t> level = this->GetLevel();
  const bool isCountedElsewhere =
    this->ReportedTo != this->Place.Upstream && now < this->CountedUntil;
  if (!this->Enabled || !this->Place.Upstream || !this->ClockLead || !level ||
      isCountedElsewhere || (!this->IsGathered(now) && !this->IsUrgent(now))) {
    return std::nullopt;
  }
  this->AskedAt.reset();
  this->UrgentAt = now;
  const Sum sum = this->AddUp(*level, now);
  this->ReportedTo = this->Place.Upstream;
  this->CountedUntil = std::max(this->CountedUntil,
                                now + this->Interval + kReportSlack +
                                  (*level - 1) * kLongestReportHolds);
  ++this->Counters.ReportsSent;
  LoadReport report;
  report.replyTo = this->Self;
  report.sentAtUs = static_cast<std::uint64_t>(now.count() + *this->ClockLead);
  report.nextMs = ToMs(this->Interval);
  report.ageMs = ToMs(now - sum.AsOf);
  report.level = *level;
  report.daemons = sum.Loads.CountDaemons();
  report.loads = this->GetTold(sum.Loads);
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
  if (std::exchange(this->HasQuestion, false)) {
    summaries.push_back(this->MakeSummary(*level, now));
    summaries.back().asks = true;
  }
  if (this->Place.IsRoot && this->IsGathered(now)) {
    this->AskedAt.reset();
    this->KnowOwnTree(now);
    this->HasNews = true;
  }
  if (std::exchange(this->HasNews, false) && this->KnownAsOf) {
    LoadSummary summary = this->MakeSummary(*level, now);
    summary.ageMs = ToMs(now - *this->KnownAsOf);
    summary.daemons = this->Known.CountDaemons();
    summary.loads = this->GetTold(this->Known);
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

std::optional<Duration> FleetLoad::GetAge(Time now) const
{
  return this->KnownAsOf ? std::optional<Duration>(now - *this->KnownAsOf)
                         : std::nullopt;
}

bool FleetLoad::IsUsable(Time now) const
{
  const std::optional<Duration> age = this->GetAge(now);
  return this->Enabled && age && *age <= kLoadFor &&
    this->Known.CountDaemons() * kDaemonsPerCounted >= this->Place.Daemons;
}

std::optional<ZoneRoom> FleetLoad::GetRoom(ServiceId service,
                                           ZoneId zone,
                                           Time now) const
{
  if (!this->IsUsable(now)) {
    return std::nullopt;
  }
  const LoadKey key{ service, zone };
  const auto slots = this->Slots.find(key);
  const ZoneLoad load = this->Known.Get(key);
  ZoneRoom room;
  room.Utilization =
    this->GetUtilization(key, slots == this->Slots.end() ? 0 : slots->second);
  room.RejectedShare = load.OpeningsInSecond == 0
    ? 0
    : std::min(1.0,
               static_cast<double>(load.RejectedInSecond) /
                 load.OpeningsInSecond);
  room.Age = this->GetAge(now).value_or(Duration{});
  return room;
}

} // namespace cobaltgauge::core
