#include "core/load/opening_outcomes.h"

#include <utility>

#include "core/constants.h"
#include "core/load/load_limits.h"

namespace cobaltgauge::core {

void OpeningOutcomes::OnOpening(FlowFingerprint flow,
                                const PlacedOpening& opening,
                                Time now)
{
  if (this->Listeners.empty()) {
    return;
  }
  const auto known = this->Watched.find(flow);
  if (known == this->Watched.end() &&
      this->Watched.size() >= kMostOpeningsWatched) {
    ++this->Counters.Forgotten;
    return;
  }
  if (known != this->Watched.end() && !known->second.IsTold) {
    ++this->Counters.Forgotten;
  }
  Watch watch;
  watch.Opening = opening;
  watch.OpenedAt = now;
  watch.LastAt = now;
  this->Watched.insert_or_assign(flow, watch);
  this->Opened.push_back({ now + kResetSeenAfter, now, flow });
}

void OpeningOutcomes::OnCopy(FlowFingerprint flow, Time now)
{
  const auto watch = this->Watched.find(flow);
  if (watch == this->Watched.end() || watch->second.IsOpen) {
    return;
  }
  this->Tell(watch->second, OpeningOutcome::kSilent, now);
  this->Watched.erase(watch);
}

bool OpeningOutcomes::IsNextRequest(const Watch& watch,
                                    const PacketSummary& packet)
{
  const std::uint32_t end = packet.sequence + packet.dataLength;
  return watch.AnsweredAt != Time{} && packet.dataLength != 0 &&
    static_cast<std::int32_t>(end - watch.DataEnd) > 0;
}

void OpeningOutcomes::OnPacket(FlowFingerprint flow,
                               const PacketSummary& packet,
                               Time now)
{
  const auto found = this->Watched.find(flow);
  if (found == this->Watched.end()) {
    return;
  }
  Watch& watch = found->second;
  watch.LastAt = now;
  watch.IsOpen = true;
  const bool hasAsked = watch.AskedAt != Time{};
  if (!hasAsked) {
    watch.Before = packet.acknowledgement;
  }
  const std::uint32_t length = packet.acknowledgement - watch.Before;
  const bool isNewer = static_cast<std::int32_t>(length - watch.Length) > 0;
  if (hasAsked && isNewer) {
    watch.Length = length;
    this->OnAnswer(flow, watch, now);
  }
  if (packet.kind == PacketKind::kClosing || IsNextRequest(watch, packet)) {
    this->Finish(found, now);
    return;
  }
  if (packet.dataLength != 0) {
    if (!hasAsked) {
      watch.AskedAt = now;
      this->Asked.push_back(
        { now + kLateResponseThreshold, watch.OpenedAt, flow });
    }
    const std::uint32_t end = packet.sequence + packet.dataLength;
    const bool isFurther =
      !hasAsked || static_cast<std::int32_t>(end - watch.DataEnd) > 0;
    watch.DataEnd = isFurther ? end : watch.DataEnd;
  }
}

void OpeningOutcomes::OnAnswer(FlowFingerprint flow, Watch& watch, Time now)
{
  RouteAnswers& usual = this->GetAnswers(watch.Opening.Route);
  if (watch.AnsweredAt == Time{}) {
    watch.AnsweredAt = now;
    usual.Time.OnAnswer(now - watch.AskedAt);
  }
  if (usual.Lengths.IsShort(watch.Length)) {
    this->Short.push_back({ now + kAnswerWholeAfter, watch.OpenedAt, flow });
  } else {
    this->Tell(watch, OpeningOutcome::kServed, watch.AnsweredAt);
  }
}

void OpeningOutcomes::Finish(Watches::iterator watch, Time now)
{
  Watch& ended = watch->second;
  if (ended.AnsweredAt != Time{}) {
    AnswerLengths& lengths = this->GetAnswers(ended.Opening.Route).Lengths;
    this->Tell(ended,
               lengths.IsShort(ended.Length) ? OpeningOutcome::kTurnedAway
                                             : OpeningOutcome::kServed,
               ended.AnsweredAt);
    lengths.OnAnswer(ended.Length);
  } else {
    // A caller that asked nothing was served; one that left was not.
    this->Tell(ended,
               ended.AskedAt != Time{} ? OpeningOutcome::kSilent
                                       : OpeningOutcome::kServed,
               now);
  }
  this->Watched.erase(watch);
}

void OpeningOutcomes::Forget(FlowFingerprint flow)
{
  const auto watch = this->Watched.find(flow);
  if (watch != this->Watched.end()) {
    this->Counters.Forgotten += watch->second.IsTold ? 0U : 1U;
    this->Watched.erase(watch);
  }
}

void OpeningOutcomes::Tell(Watch& watch, OpeningOutcome outcome, Time now)
{
  if (std::exchange(watch.IsTold, true)) {
    return;
  }
  ++this->Counters.Ended.at(static_cast<std::size_t>(outcome));
  const PlacedOpening& opening = watch.Opening;
  const OpeningResult result{ opening.Backend, opening.Service,
                              opening.Zone,    opening.Rank,
                              outcome,         now - watch.OpenedAt };
  for (OpeningListener* listener : this->Listeners) {
    listener->OnOpeningEnded(result, now);
  }
}

OpeningOutcomes::RouteAnswers& OpeningOutcomes::GetAnswers(
  const Endpoint& route)
{
  if (this->Answers.size() >= kMostRoutesMeasured &&
      this->Answers.count(route) == 0) {
    this->Answers.clear();
  }
  return this->Answers[route];
}

std::optional<OpeningOutcomes::Watches::iterator> OpeningOutcomes::TakeDue(
  std::deque<Look>& looks,
  Time now)
{
  while (!looks.empty() && looks.front().Due <= now) {
    const Look look = looks.front();
    looks.pop_front();
    const auto found = this->Watched.find(look.Flow);
    if (found != this->Watched.end() &&
        found->second.OpenedAt == look.OpenedAt) {
      return found;
    }
  }
  return std::nullopt;
}

void OpeningOutcomes::EndReset(Time now)
{
  while (const auto due = this->TakeDue(this->Opened, now)) {
    const Watches::iterator watch = *due;
    if (!watch->second.IsOpen) {
      this->Tell(watch->second, OpeningOutcome::kReset, now);
      this->Watched.erase(watch);
    }
  }
}

void OpeningOutcomes::EndUnanswered(Time now)
{
  while (const auto due = this->TakeDue(this->Asked, now)) {
    const Watches::iterator watch = *due;
    Watch& asked = watch->second;
    if (asked.AnsweredAt != Time{} || asked.IsTold) {
      continue;
    }
    const AnswerTime& usual = this->GetAnswers(asked.Opening.Route).Time;
    const bool isLate = usual.IsKnown() &&
      now - asked.AskedAt >= usual.Get() * kAnswerTimesPerReset;
    if (!isLate) {
      this->Asked.push_back(
        { now + kLateResponseThreshold, asked.OpenedAt, watch->first });
      continue;
    }
    // It is watched on, since a late answer tells what is usual.
    const bool wasSentAgain = asked.LastAt - asked.AskedAt >= kFirstCopyAfter;
    this->Tell(asked,
               wasSentAgain ? OpeningOutcome::kSilent : OpeningOutcome::kReset,
               now);
  }
}

void OpeningOutcomes::EndShort(Time now)
{
  while (const auto due = this->TakeDue(this->Short, now)) {
    const Watches::iterator watch = *due;
    if (now - watch->second.LastAt >= kAnswerWholeAfter) {
      this->Finish(watch, now);
    } else {
      this->Short.push_back(
        { now + kAnswerWholeAfter, watch->second.OpenedAt, watch->first });
    }
  }
}

void OpeningOutcomes::OnTick(Time now)
{
  this->EndReset(now);
  this->EndUnanswered(now);
  this->EndShort(now);
  if (now >= this->NextSweep) {
    this->NextSweep = now + kIdleSweepEvery;
    this->ForgetIdle(now);
  }
}

void OpeningOutcomes::ForgetIdle(Time now)
{
  std::erase_if(this->Watched, [this, now](const auto& item) {
    const Watch& watch = item.second;
    const bool isIdle = now - watch.LastAt > kWatchForgottenAfter;
    this->Counters.Forgotten += isIdle && !watch.IsTold ? 1U : 0U;
    return isIdle;
  });
}

void OpeningOutcomes::Clear()
{
  for (const auto& [flow, watch] : this->Watched) {
    this->Counters.Forgotten += watch.IsTold ? 0U : 1U;
  }
  this->Watched.clear();
  this->Opened.clear();
  this->Asked.clear();
  this->Short.clear();
}

} // namespace cobaltgauge::core
