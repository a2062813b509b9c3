#include "core/load/opening_tracker.h"

#include <utility>

#include "core/constants.h"
#include "core/load/load_limits.h"

namespace cobaltgauge::core {

void OpeningTracker::OnOpening(FlowFingerprint flow,
                               const PlacedOpening& opening,
                               Time now)
{
  if (this->Listeners.empty()) {
    return;
  }
  const auto known = this->Tracked.find(flow);
  if (known == this->Tracked.end() &&
      this->Tracked.size() >= kMaxTrackedOpenings) {
    ++this->Counters.Discarded;
    return;
  }
  if (known != this->Tracked.end() && !known->second.IsReported) {
    ++this->Counters.Discarded;
  }
  Entry entry;
  entry.Opening = opening;
  entry.OpenedAt = now;
  entry.LastPacketAt = now;
  this->Tracked.insert_or_assign(flow, entry);
  this->OpeningDeadlines.push_back(
    { now + kResetDetectionTimeout, now, flow });
}

void OpeningTracker::OnRetransmission(FlowFingerprint flow, Time now)
{
  const auto entry = this->Tracked.find(flow);
  if (entry == this->Tracked.end() || entry->second.IsAccepted) {
    return;
  }
  this->Report(entry->second, OpeningOutcome::kUnanswered, now);
  this->Tracked.erase(entry);
}

bool OpeningTracker::IsNextRequest(const Entry& entry,
                                   const PacketSummary& packet)
{
  const std::uint32_t end = packet.sequence + packet.dataLength;
  return entry.ResponseAt != Time{} && packet.dataLength != 0 &&
    static_cast<std::int32_t>(end - entry.RequestEnd) > 0;
}

void OpeningTracker::OnPacket(FlowFingerprint flow,
                              const PacketSummary& packet,
                              Time now)
{
  const auto found = this->Tracked.find(flow);
  if (found == this->Tracked.end()) {
    return;
  }
  Entry& entry = found->second;
  entry.LastPacketAt = now;
  entry.IsAccepted = true;
  const bool hasRequest = entry.RequestAt != Time{};
  if (!hasRequest) {
    entry.AckBeforeResponse = packet.acknowledgement;
  }
  const std::uint32_t length =
    packet.acknowledgement - entry.AckBeforeResponse;
  const bool isNewer =
    static_cast<std::int32_t>(length - entry.ResponseLength) > 0;
  if (hasRequest && isNewer) {
    entry.ResponseLength = length;
    this->OnResponse(flow, entry, now);
  }
  if (packet.kind == PacketKind::kClosing || IsNextRequest(entry, packet)) {
    this->Finish(found, now);
    return;
  }
  if (packet.dataLength != 0) {
    if (!hasRequest) {
      entry.RequestAt = now;
      this->ResponseDeadlines.push_back(
        { now + kLateResponseThreshold, entry.OpenedAt, flow });
    }
    const std::uint32_t end = packet.sequence + packet.dataLength;
    const bool isFurther =
      !hasRequest || static_cast<std::int32_t>(end - entry.RequestEnd) > 0;
    entry.RequestEnd = isFurther ? end : entry.RequestEnd;
  }
}

void OpeningTracker::OnResponse(FlowFingerprint flow, Entry& entry, Time now)
{
  RouteResponses& typical = this->GetRouteResponses(entry.Opening.Route);
  if (entry.ResponseAt == Time{}) {
    entry.ResponseAt = now;
    typical.Time.Add(now - entry.RequestAt);
  }
  if (typical.Lengths.IsShort(entry.ResponseLength)) {
    this->ShortResponseDeadlines.push_back(
      { now + kResponseCompleteTimeout, entry.OpenedAt, flow });
  } else {
    this->Report(entry, OpeningOutcome::kServed, entry.ResponseAt);
  }
}

void OpeningTracker::Finish(EntryMap::iterator entry, Time now)
{
  Entry& ended = entry->second;
  if (ended.ResponseAt != Time{}) {
    ResponseLengths& lengths =
      this->GetRouteResponses(ended.Opening.Route).Lengths;
    this->Report(ended,
                 lengths.IsShort(ended.ResponseLength)
                   ? OpeningOutcome::kRejected
                   : OpeningOutcome::kServed,
                 ended.ResponseAt);
    lengths.Add(ended.ResponseLength);
  } else {
    // A client that closes without a request counts as served.
    this->Report(ended,
                 ended.RequestAt != Time{} ? OpeningOutcome::kUnanswered
                                           : OpeningOutcome::kServed,
                 now);
  }
  this->Tracked.erase(entry);
}

void OpeningTracker::Discard(FlowFingerprint flow)
{
  const auto entry = this->Tracked.find(flow);
  if (entry != this->Tracked.end()) {
    this->Counters.Discarded += entry->second.IsReported ? 0U : 1U;
    this->Tracked.erase(entry);
  }
}

void OpeningTracker::Report(Entry& entry, OpeningOutcome outcome, Time now)
{
  if (std::exchange(entry.IsReported, true)) {
    return;
  }
  ++this->Counters.Ended.at(static_cast<std::size_t>(outcome));
  const PlacedOpening& opening = entry.Opening;
  const OpeningResult result{ opening.Backend, opening.Service,
                              opening.Zone,    opening.Priority,
                              outcome,         now - entry.OpenedAt };
  for (OpeningListener* listener : this->Listeners) {
    listener->OnOpeningEnded(result, now);
  }
}

OpeningTracker::RouteResponses& OpeningTracker::GetRouteResponses(
  const Endpoint& route)
{
  if (this->Responses.size() >= kMaxTrackedRoutes &&
      this->Responses.count(route) == 0) {
    this->Responses.clear();
  }
  return this->Responses[route];
}

std::optional<OpeningTracker::EntryMap::iterator> OpeningTracker::PopDue(
  std::deque<Deadline>& deadlines,
  Time now)
{
  while (!deadlines.empty() && deadlines.front().Due <= now) {
    const Deadline deadline = deadlines.front();
    deadlines.pop_front();
    const auto found = this->Tracked.find(deadline.Flow);
    if (found != this->Tracked.end() &&
        found->second.OpenedAt == deadline.OpenedAt) {
      return found;
    }
  }
  return std::nullopt;
}

void OpeningTracker::ReportResets(Time now)
{
  while (const auto due = this->PopDue(this->OpeningDeadlines, now)) {
    const EntryMap::iterator entry = *due;
    if (!entry->second.IsAccepted) {
      this->Report(entry->second, OpeningOutcome::kReset, now);
      this->Tracked.erase(entry);
    }
  }
}

void OpeningTracker::ReportUnanswered(Time now)
{
  while (const auto due = this->PopDue(this->ResponseDeadlines, now)) {
    const EntryMap::iterator found = *due;
    Entry& entry = found->second;
    if (entry.ResponseAt != Time{} || entry.IsReported) {
      continue;
    }
    const ResponseTimeAverage& typical =
      this->GetRouteResponses(entry.Opening.Route).Time;
    const bool isLate = typical.HasEnoughSamples() &&
      now - entry.RequestAt >= typical.Get() * kResetTimeoutFactor;
    if (!isLate) {
      this->ResponseDeadlines.push_back(
        { now + kLateResponseThreshold, entry.OpenedAt, found->first });
      continue;
    }
    // Keep tracking: a late response still updates the typical response time.
    const bool wasRetransmitted =
      entry.LastPacketAt - entry.RequestAt >= kInitialRetransmissionTimeout;
    this->Report(entry,
                 wasRetransmitted ? OpeningOutcome::kUnanswered
                                  : OpeningOutcome::kReset,
                 now);
  }
}

void OpeningTracker::FinishShortResponses(Time now)
{
  while (const auto due = this->PopDue(this->ShortResponseDeadlines, now)) {
    const EntryMap::iterator entry = *due;
    if (now - entry->second.LastPacketAt >= kResponseCompleteTimeout) {
      this->Finish(entry, now);
    } else {
      this->ShortResponseDeadlines.push_back({ now + kResponseCompleteTimeout,
                                               entry->second.OpenedAt,
                                               entry->first });
    }
  }
}

void OpeningTracker::OnTick(Time now)
{
  this->ReportResets(now);
  this->ReportUnanswered(now);
  this->FinishShortResponses(now);
  if (now >= this->NextSweep) {
    this->NextSweep = now + kIdleSweepInterval;
    this->DiscardIdle(now);
  }
}

void OpeningTracker::DiscardIdle(Time now)
{
  std::erase_if(this->Tracked, [this, now](const auto& item) {
    const Entry& entry = item.second;
    const bool isIdle = now - entry.LastPacketAt > kTrackingIdleTimeout;
    this->Counters.Discarded += isIdle && !entry.IsReported ? 1U : 0U;
    return isIdle;
  });
}

void OpeningTracker::Clear()
{
  for (const auto& [flow, entry] : this->Tracked) {
    this->Counters.Discarded += entry.IsReported ? 0U : 1U;
  }
  this->Tracked.clear();
  this->OpeningDeadlines.clear();
  this->ResponseDeadlines.clear();
  this->ShortResponseDeadlines.clear();
}

} // namespace cobaltgauge::core
