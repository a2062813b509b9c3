#include "core/domains/serving_readiness.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

const char* ToString(ServingReason reason)
{
  switch (reason) {
    case ServingReason::kInitial:
      return "nothing_known";
    case ServingReason::kUnreachable:
      return "unreached";
    case ServingReason::kConnected:
      return "connected";
    case ServingReason::kResponseReceived:
      return "answered";
    case ServingReason::kNoBackends:
      return "no_backends";
    case ServingReason::kResumed:
      return "resumed";
  }
  return "invalid";
}

void ServingReadiness::OnOpening(BackendId backend,
                                 ServiceId service,
                                 Time now)
{
  this->RecentServices[service] = now;
  if (this->Unanswered.size() < kMaxUnansweredTracked) {
    this->Unanswered.try_emplace(backend, now);
  }
}

void ServingReadiness::OnResponse(Time now)
{
  this->SetServing(true, ServingReason::kResponseReceived, now);
  this->ClearEvidence();
}

void ServingReadiness::OnTick(Time now)
{
  const Duration gap = now - std::exchange(this->LastTickAt, now);
  // After a stall, expired timers may run before pending responses.
  if (gap > kReadinessStallGap) {
    this->ClearEvidence();
  }
  std::erase_if(this->RecentServices, [this, now](const auto& item) {
    return this->Serving && now - item.second > kActiveServiceWindow;
  });
}

void ServingReadiness::OnResume()
{
  this->SetServing(true, ServingReason::kResumed, this->LastTickAt);
  this->ClearEvidence();
}

std::size_t ServingReadiness::CountUnanswered(Time now) const
{
  return static_cast<std::size_t>(std::count_if(
    this->Unanswered.begin(), this->Unanswered.end(), [now](const auto& item) {
      return now - item.second > kResponseTimeout;
    }));
}

bool ServingReadiness::IsProbing(Time now) const
{
  return !this->Serving || this->CountUnanswered(now) != 0;
}

std::vector<ServiceId> ServingReadiness::TakeProbes(Time now)
{
  std::vector<ServiceId> due;
  if (!this->Required || now < this->NextProbeAt ||
      this->RecentServices.empty() || !this->IsProbing(now)) {
    return due;
  }
  this->NextProbeAt = now + kReadinessProbeInterval;
  const std::size_t probeCount =
    this->Serving ? kMinFailedProbesForNotReady : 1;
  auto next = this->RecentServices.upper_bound(this->LastProbedService);
  while (due.size() < probeCount) {
    next =
      next == this->RecentServices.end() ? this->RecentServices.begin() : next;
    due.push_back(next->first);
    ++next;
  }
  this->LastProbedService = due.back();
  this->Counters.Probes += due.size();
  return due;
}

void ServingReadiness::OnNoBackends(ServiceId service, Time now)
{
  this->RecentServices.erase(service);
  if (this->RecentServices.empty()) {
    this->SetServing(true, ServingReason::kNoBackends, now);
    this->ClearEvidence();
  }
}

void ServingReadiness::OnProbe(BackendId backend, ProbeResult result, Time now)
{
  if (result == ProbeResult::kConnected) {
    this->SetServing(true, ServingReason::kConnected, now);
    this->ClearEvidence();
  } else if (result != ProbeResult::kRefused &&
             this->TimedOut.size() < kMaxUnansweredTracked) {
    this->TimedOut.insert(backend);
    this->UpdateServing(now);
  }
}

void ServingReadiness::UpdateServing(Time now)
{
  const bool isHeld =
    this->ResumedAt != Time{} && now - this->ResumedAt < kMinReadyTime;
  if (!isHeld && this->CountUnanswered(now) >= kMinUnresponsiveForNotReady &&
      this->TimedOut.size() >= kMinFailedProbesForNotReady) {
    this->SetServing(false, ServingReason::kUnreachable, now);
  }
}

void ServingReadiness::SetServing(bool serving, ServingReason reason, Time now)
{
  if (serving == this->Serving) {
    return;
  }
  Time firstUnanswered = now;
  for (const auto& [backend, since] : this->Unanswered) {
    firstUnanswered = std::min(firstUnanswered, since);
  }
  this->Serving = serving;
  this->Reason = reason;
  this->ResumedAt = serving ? now : this->ResumedAt;
  ++(serving ? this->Counters.ResumedServing : this->Counters.StoppedServing);
  this->Changes.push_back({ serving,
                            reason,
                            this->CountUnanswered(now),
                            this->TimedOut.size(),
                            now - firstUnanswered });
}

void ServingReadiness::ClearEvidence()
{
  this->Unanswered.clear();
  this->TimedOut.clear();
}

std::vector<ServingChange> ServingReadiness::TakeChanges()
{
  return std::exchange(this->Changes, {});
}

} // namespace cobaltgauge::core
