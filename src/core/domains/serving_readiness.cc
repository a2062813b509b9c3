#include "core/domains/serving_readiness.h"

#include <algorithm>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

const char* ToString(ServingReason reason)
{
  switch (reason) {
    case ServingReason::kNothingKnown:
      return "nothing_known";
    case ServingReason::kUnreached:
      return "unreached";
    case ServingReason::kConnected:
      return "connected";
    case ServingReason::kAnswered:
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
  this->Services[service] = now;
  if (this->Unanswered.size() < kMaxUnansweredTracked) {
    this->Unanswered.try_emplace(backend, now);
  }
}

void ServingReadiness::OnAnswer(Time now)
{
  this->Change(true, ServingReason::kAnswered, now);
  this->Forget();
}

void ServingReadiness::OnTick(Time now)
{
  const Duration gap = now - std::exchange(this->LastTickAt, now);
  // Answers and connections may wait behind timers that have run out.
  if (gap > kReadinessStallGap) {
    this->Forget();
  }
  std::erase_if(this->Services, [this, now](const auto& item) {
    return this->Serving && now - item.second > kActiveServiceWindow;
  });
}

void ServingReadiness::OnResume()
{
  this->Change(true, ServingReason::kResumed, this->LastTickAt);
  this->Forget();
}

std::size_t ServingReadiness::CountSilent(Time now) const
{
  return static_cast<std::size_t>(std::count_if(
    this->Unanswered.begin(), this->Unanswered.end(), [now](const auto& item) {
      return now - item.second > kResponseTimeout;
    }));
}

bool ServingReadiness::IsAsking(Time now) const
{
  return !this->Serving || this->CountSilent(now) != 0;
}

std::vector<ServiceId> ServingReadiness::TakeProbes(Time now)
{
  std::vector<ServiceId> due;
  if (!this->Required || now < this->NextProbeAt || this->Services.empty() ||
      !this->IsAsking(now)) {
    return due;
  }
  this->NextProbeAt = now + kReadinessProbeInterval;
  const std::size_t wanted = this->Serving ? kMinFailedProbesForNotReady : 1;
  auto next = this->Services.upper_bound(this->LastAsked);
  while (due.size() < wanted) {
    next = next == this->Services.end() ? this->Services.begin() : next;
    due.push_back(next->first);
    ++next;
  }
  this->LastAsked = due.back();
  this->Counters.Probes += due.size();
  return due;
}

void ServingReadiness::OnNoBackends(ServiceId service, Time now)
{
  this->Services.erase(service);
  if (this->Services.empty()) {
    this->Change(true, ServingReason::kNoBackends, now);
    this->Forget();
  }
}

void ServingReadiness::OnProbe(BackendId backend, ProbeResult result, Time now)
{
  if (result == ProbeResult::kConnected) {
    this->Change(true, ServingReason::kConnected, now);
    this->Forget();
  } else if (result != ProbeResult::kRefused &&
             this->TimedOut.size() < kMaxUnansweredTracked) {
    this->TimedOut.insert(backend);
    this->Judge(now);
  }
}

void ServingReadiness::Judge(Time now)
{
  const bool stays =
    this->ReturnedAt != Time{} && now - this->ReturnedAt < kMinReadyTime;
  if (!stays && this->CountSilent(now) >= kMinUnresponsiveForNotReady &&
      this->TimedOut.size() >= kMinFailedProbesForNotReady) {
    this->Change(false, ServingReason::kUnreached, now);
  }
}

void ServingReadiness::Change(bool serving, ServingReason reason, Time now)
{
  if (serving == this->Serving) {
    return;
  }
  Time first = now;
  for (const auto& [backend, since] : this->Unanswered) {
    first = std::min(first, since);
  }
  this->Serving = serving;
  this->Reason = reason;
  this->ReturnedAt = serving ? now : this->ReturnedAt;
  ++(serving ? this->Counters.Returned : this->Counters.Left);
  this->Changes.push_back({ serving,
                            reason,
                            this->CountSilent(now),
                            this->TimedOut.size(),
                            now - first });
}

void ServingReadiness::Forget()
{
  this->Unanswered.clear();
  this->TimedOut.clear();
}

std::vector<ServingChange> ServingReadiness::TakeChanges()
{
  return std::exchange(this->Changes, {});
}

} // namespace cobaltgauge::core
