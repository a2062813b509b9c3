/// @file
/// Simulation of clients that retry, daemons with admission control, and
/// backends with slots and a bounded queue, in virtual time.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <vector>

#include "core/admission/priority_admission.h"
#include "core/hashing.h"
#include "sim/seeded_random.h"

namespace cobaltgauge::tests {

using namespace std::chrono_literals;

struct ClientTally
{
  int Clients = 0;
  int Served = 0;
  int Refused = 0; ///< Attempts.
};

class OverloadSimulation : public core::CapacityView
{
public:
  static constexpr std::size_t kSlots = 2;
  /// Per backend, including its queue.
  static constexpr std::size_t kMaxInFlight = 10;
  static constexpr core::Duration kServiceTime = 30ms;
  static constexpr core::Duration kRejectionDelay = 120ms;
  static constexpr int kMaxAttempts = 3;
  static constexpr core::Duration kStatisticsInterval = 100ms;

  core::Time Now = 100s;
  std::size_t FaultyBackends = 0;   ///< The first ones; reject all attempts.
  double LostResultShare = 0;       ///< 0 to 1.
  core::Duration ResultDelay = 0ms; ///< Of every result.
  core::Duration StatisticsAge = 500ms;
  int Rejections = 0;
  std::map<std::uint32_t, ClientTally> Tally;
  std::vector<core::PriorityAdmission> Daemons;

  OverloadSimulation(std::size_t daemons,
                     std::size_t backends,
                     std::uint64_t seed = 1,
                     const core::PriorityAdmissionOptions& options = {})
    : Daemons(daemons, core::PriorityAdmission(options))
    , FinishTimes(backends)
    , Random(seed)
  {
  }

  /// Gives every daemon fleet statistics of age StatisticsAge.
  void UseFleetStatistics()
  {
    for (core::PriorityAdmission& daemon : this->Daemons) {
      daemon.SetCapacityView(this, [](core::ServiceId) {
        return std::vector<core::ZoneId>{ core::ZoneId{ 1 } };
      });
    }
  }
  std::optional<core::ZoneCapacity> GetZoneCapacity(core::ServiceId,
                                                    core::ZoneId,
                                                    core::Time) const override
  {
    for (auto published = this->PublishedStatistics.rbegin();
         published != this->PublishedStatistics.rend();
         ++published) {
      if (published->first + this->StatisticsAge <= this->Now) {
        return published->second;
      }
    }
    return std::nullopt;
  }

  void SetBackends(std::size_t count) { this->FinishTimes.resize(count); }

  /// Returns the attempts per second that the backends can serve.
  double GetCapacity() const
  {
    return static_cast<double>(
             (this->FinishTimes.size() - this->FaultyBackends) * kSlots) /
      std::chrono::duration<double>(kServiceTime).count();
  }

  /// Resets the tallies and simulates clients.
  /// \param rates new clients per second, by priority.
  void Run(core::Duration span, const std::map<std::uint32_t, double>& rates)
  {
    this->Tally.clear();
    this->Rejections = 0;
    this->PublishedRejections = 0;
    this->Sent = 0;
    this->PublishedSent = 0;
    const core::Time end = this->Now + span;
    for (; this->Now < end; this->Now += 1ms) {
      for (const auto& [priority, rate] : rates) {
        const double perStep = rate / 1000;
        const int wholeClients = static_cast<int>(perStep);
        const int clients =
          wholeClients + (this->Chance(perStep - wholeClients) ? 1 : 0);
        for (int client = 0; client < clients; ++client) {
          ++this->Tally[priority].Clients;
          this->StartAttempt(priority, 1);
        }
      }
      while (!this->Events.empty() && this->Events.top().At <= this->Now) {
        const Event event = this->Events.top();
        this->Events.pop();
        this->HandleEvent(event);
      }
      if (this->Now % kStatisticsInterval == 0ms) {
        this->PublishStatistics();
      }
    }
  }

  double ServedShare(std::uint32_t priority)
  {
    const ClientTally& tally = this->Tally[priority];
    return static_cast<double>(tally.Served) / std::max(tally.Clients, 1);
  }
  int CountServed() { return this->Sum(&ClientTally::Served); }
  int CountRefused() { return this->Sum(&ClientTally::Refused); }

  static core::Route MakeRoute(std::uint32_t priority)
  {
    core::Route route;
    route.targets = { { "web", 1 } };
    route.priority = priority;
    return route;
  }

private:
  struct Event
  {
    core::Time At{};
    std::uint32_t Priority = 0;
    int Attempt = 0; ///< From 1; zero: delayed result only.
    std::size_t Daemon = 0;
    core::OpeningResult Result;
    bool SentToBackend = false; ///< Not refused by the daemon.

    bool operator<(const Event& other) const { return this->At > other.At; }
  };

  void PublishStatistics()
  {
    std::size_t inFlight = 0;
    for (const std::deque<core::Time>& finishTimes : this->FinishTimes) {
      inFlight += static_cast<std::size_t>(std::count_if(
        finishTimes.begin(), finishTimes.end(), [this](core::Time at) {
          return at > this->Now;
        }));
    }
    const std::size_t slots = this->FinishTimes.size() * kSlots;
    const double rejected = (this->Rejections - this->PublishedRejections) /
      std::max<double>(this->Sent - this->PublishedSent, 1);
    this->PublishedStatistics.emplace_back(
      this->Now,
      core::ZoneCapacity{ static_cast<double>(inFlight) /
                            static_cast<double>(slots),
                          rejected });
    this->PublishedRejections = this->Rejections;
    this->PublishedSent = this->Sent;
  }

  int Sum(int ClientTally::*count)
  {
    int sum = 0;
    for (const auto& [priority, tally] : this->Tally) {
      sum += tally.*count;
    }
    return sum;
  }

  bool Chance(double share)
  {
    constexpr std::uint64_t kParts = 1'000'000;
    return static_cast<double>(this->Random.below(kParts)) < share * kParts;
  }

  void StartAttempt(std::uint32_t priority, int number)
  {
    Event event{ this->Now + 2ms, priority, number, 0, {}, false };
    event.Daemon = this->Random.below(this->Daemons.size());
    if (!this->Daemons[event.Daemon].Admit(MakeRoute(priority), this->Now)) {
      ++this->Tally[priority].Refused;
      event.Result.Outcome = core::OpeningOutcome::kRejected;
      this->Events.push(event);
      return;
    }
    event.SentToBackend = true;
    event.Result =
      this->Serve(this->Random.below(this->FinishTimes.size()), priority);
    event.At = this->Now + event.Result.Elapsed;
    this->Events.push(event);
  }

  core::OpeningResult Serve(std::size_t backend, std::uint32_t priority)
  {
    core::OpeningResult result{ core::BackendId{ backend + 1 },
                                core::serviceIdOf("web"),
                                core::kNoZone,
                                priority,
                                core::OpeningOutcome::kRejected,
                                kRejectionDelay };
    ++this->Sent;
    std::deque<core::Time>& finishTimes = this->FinishTimes[backend];
    while (!finishTimes.empty() && finishTimes.front() <= this->Now) {
      finishTimes.pop_front();
    }
    if (finishTimes.size() >= kMaxInFlight || backend < this->FaultyBackends) {
      ++this->Rejections;
      return result;
    }
    const core::Time start = finishTimes.size() < kSlots
      ? this->Now
      : finishTimes[finishTimes.size() - kSlots];
    finishTimes.push_back(start + kServiceTime);
    result.Outcome = core::OpeningOutcome::kServed;
    result.Elapsed = start + kServiceTime - this->Now;
    return result;
  }

  void HandleEvent(const Event& event)
  {
    if (event.SentToBackend && !this->Chance(this->LostResultShare)) {
      this->DeliverResult(event);
    }
    if (event.Result.Outcome == core::OpeningOutcome::kServed) {
      this->Tally[event.Priority].Served += event.Attempt != 0 ? 1 : 0;
    } else if (event.Attempt != 0 && event.Attempt < kMaxAttempts) {
      this->StartAttempt(event.Priority, event.Attempt + 1);
    }
  }

  void DeliverResult(Event event)
  {
    const bool isDelayed = event.Attempt != 0 && this->ResultDelay != 0ms;
    if (!isDelayed) {
      this->Daemons[event.Daemon].OnOpeningEnded(event.Result, this->Now);
      return;
    }
    event.At = this->Now + this->ResultDelay;
    event.Attempt = 0;
    this->Events.push(event);
  }

  std::vector<std::deque<core::Time>> FinishTimes; ///< By backend, ascending.
  int Sent = 0;
  int PublishedSent = 0;
  int PublishedRejections = 0;
  std::deque<std::pair<core::Time, core::ZoneCapacity>> PublishedStatistics;
  std::priority_queue<Event> Events;
  sim::SeededRandom Random;
};

} // namespace cobaltgauge::tests
