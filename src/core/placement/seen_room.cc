#include "core/placement/seen_room.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "core/placement/placement_limits.h"
#include "core/placement/waiting.h"

namespace cobaltgauge::core {
namespace {

double GetWeight(Duration age, Duration memory)
{
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(memory));
}

} // namespace

void SeenRoom::Seen::Fade(Time now)
{
  const double weight = GetWeight(now - this->At, kSeenMemory);
  for (double* sum :
       { &this->Ended, &this->Rejected, &this->Served, &this->Seconds }) {
    *sum *= weight;
  }
  this->At = now;
}

double SeenRoom::Seen::GetLonger() const
{
  const bool tells =
    this->Served >= kSeenAtLeast && this->CalmAnswers >= kSeenAtLeast;
  return tells ? this->Seconds / this->Served / this->CalmSeconds : 1;
}

void SeenRoom::Seen::Learn(double took, Duration since)
{
  this->CalmAnswers += 1;
  // Each answer counts for the time since the one before, and the first ones
  // alike.  While answers are long, their length becomes usual but slowly.
  const double part = this->GetLonger() < kLongerThanCalm
    ? std::max(1 - GetWeight(since, kCalmMemory),
               1 / std::min(this->CalmAnswers, kCalmAnswers))
    : 1 - GetWeight(since, kCalmMemoryUnderLoad);
  this->CalmSeconds += part * (took - this->CalmSeconds);
}

void SeenRoom::OnOpeningEnded(const OpeningResult& result, Time now)
{
  Seen& seen = this->Services[result.Service][result.Zone];
  const Duration since = seen.At == Time{} ? Duration{} : now - seen.At;
  seen.Fade(now);
  seen.Ended += 1;
  if (result.Outcome != OpeningOutcome::kServed) {
    const bool isRejected = result.Outcome != OpeningOutcome::kSilent;
    seen.Rejected += isRejected ? 1 : 0;
    return;
  }
  const double took = std::chrono::duration<double>(result.Took).count();
  seen.Served += 1;
  seen.Seconds += took;
  seen.Learn(took, since);
}

std::optional<ZoneRoom> SeenRoom::GetRoom(ServiceId service,
                                          ZoneId zone,
                                          Time now) const
{
  const auto zones = this->Services.find(service);
  if (zones == this->Services.end()) {
    return std::nullopt;
  }
  const auto found = zones->second.find(zone);
  Seen seen = found == zones->second.end() ? Seen{} : found->second;
  seen.Fade(now);
  if (seen.Ended < kSeenAtLeast) {
    return ZoneRoom{ GetInFlight(kUntriedUse), 0, kSeenMemory };
  }
  ZoneRoom room;
  room.RejectedShare = seen.Rejected / seen.Ended;
  room.Age = kSeenMemory;
  const double longer = seen.GetLonger();
  if (longer >= kLongerThanCalm) {
    // The time in the queue M/M/2 is the work's over 1 - r^2.
    const double use = std::min(std::sqrt(1 - 1 / longer), kMostUse);
    room.Utilization = GetInFlight(use);
  } else if (room.RejectedShare >= kRejectsWhenFull) {
    // Too few were served to tell by their times; who rejects is not empty.
    room.Utilization = GetInFlight(kMostUse);
  }
  return room;
}

} // namespace cobaltgauge::core
