/// @file
/// Callers with three tries, daemons with an admission each, and back ends
/// with slots and a bounded queue; in virtual time.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <vector>

#include "core/admission/rank_admission.h"
#include "core/hashing.h"
#include "sim/seeded_random.h"

namespace cobaltgauge::tests {

using namespace std::chrono_literals;

struct RankTally
{
  int Callers = 0;
  int Served = 0;
  int Refused = 0; ///< Tries.
};

class FullBackends : public core::CapacityView
{
public:
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kPlaces = 10; ///< Slots and queue.
  static constexpr core::Duration kWork = 30ms;
  static constexpr core::Duration kRejects = 120ms;
  static constexpr int kTries = 3;
  static constexpr core::Duration kFiguresEvery = 100ms;

  core::Time Now = 100s;
  std::size_t Sick = 0;        ///< Back ends that reject everything.
  double LostResults = 0;      ///< Of results, never heard of.
  core::Duration LateBy = 0ms; ///< All results.
  core::Duration FiguresAge = 500ms;
  int Rejections = 0;
  std::map<std::uint32_t, RankTally> Tally;
  std::vector<core::RankAdmission> Daemons;

  FullBackends(std::size_t daemons,
               std::size_t backends,
               std::uint64_t seed = 1,
               const core::RankAdmissionOptions& options = {})
    : Daemons(daemons, core::RankAdmission(options))
    , Finishes(backends)
    , Random(seed)
  {
  }

  /// Tell every daemon the fleet's figures, FiguresAge old.
  void TellRoom()
  {
    for (core::RankAdmission& daemon : this->Daemons) {
      daemon.SetRoom(this, [](core::ServiceId) {
        return std::vector<core::ZoneId>{ core::ZoneId{ 1 } };
      });
    }
  }
  std::optional<core::ZoneCapacity> GetZoneCapacity(core::ServiceId,
                                                    core::ZoneId,
                                                    core::Time) const override
  {
    for (auto told = this->Told.rbegin(); told != this->Told.rend(); ++told) {
      if (told->first + this->FiguresAge <= this->Now) {
        return told->second;
      }
    }
    return std::nullopt;
  }

  void SetBackends(std::size_t count) { this->Finishes.resize(count); }

  /// What back ends can serve in a second.
  double GetCapacity() const
  {
    return static_cast<double>((this->Finishes.size() - this->Sick) * kSlots) /
      std::chrono::duration<double>(kWork).count();
  }

  /// Let callers come, so many a second of each rank; tallies begin anew.
  void Run(core::Duration span, const std::map<std::uint32_t, double>& rates)
  {
    this->Tally.clear();
    this->Rejections = 0;
    this->ToldRejections = 0;
    this->Sent = 0;
    this->ToldSent = 0;
    const core::Time end = this->Now + span;
    for (; this->Now < end; this->Now += 1ms) {
      for (const auto& [rank, rate] : rates) {
        const double perStep = rate / 1000;
        const int whole = static_cast<int>(perStep);
        const int callers = whole + (this->Chance(perStep - whole) ? 1 : 0);
        for (int caller = 0; caller < callers; ++caller) {
          ++this->Tally[rank].Callers;
          this->Try(rank, 1);
        }
      }
      while (!this->Events.empty() && this->Events.top().At <= this->Now) {
        const Event event = this->Events.top();
        this->Events.pop();
        this->Carry(event);
      }
      if (this->Now % kFiguresEvery == 0ms) {
        this->CountRoom();
      }
    }
  }

  double ServedShare(std::uint32_t rank)
  {
    const RankTally& tally = this->Tally[rank];
    return static_cast<double>(tally.Served) / std::max(tally.Callers, 1);
  }
  int CountServed() { return this->Sum(&RankTally::Served); }
  int CountRefused() { return this->Sum(&RankTally::Refused); }

  static core::Route MakeRoute(std::uint32_t rank)
  {
    core::Route route;
    route.targets = { { "web", 1 } };
    route.priority = rank;
    return route;
  }

private:
  struct Event
  {
    core::Time At{};
    std::uint32_t Rank = 0;
    int Try = 0; ///< That ended; zero: only the daemon hears of it.
    std::size_t Daemon = 0;
    core::OpeningResult Result;
    bool Told = false; ///< Sent on, so that the daemon hears of it.

    bool operator<(const Event& other) const { return this->At > other.At; }
  };

  void CountRoom()
  {
    std::size_t inFlight = 0;
    for (const std::deque<core::Time>& finishes : this->Finishes) {
      inFlight += static_cast<std::size_t>(
        std::count_if(finishes.begin(), finishes.end(), [this](core::Time at) {
          return at > this->Now;
        }));
    }
    const std::size_t slots = this->Finishes.size() * kSlots;
    const double rejected = (this->Rejections - this->ToldRejections) /
      std::max<double>(this->Sent - this->ToldSent, 1);
    this->Told.emplace_back(this->Now,
                            core::ZoneCapacity{ static_cast<double>(inFlight) /
                                                  static_cast<double>(slots),
                                                rejected });
    this->ToldRejections = this->Rejections;
    this->ToldSent = this->Sent;
  }

  int Sum(int RankTally::*count)
  {
    int sum = 0;
    for (const auto& [rank, tally] : this->Tally) {
      sum += tally.*count;
    }
    return sum;
  }

  bool Chance(double share)
  {
    constexpr std::uint64_t kParts = 1'000'000;
    return static_cast<double>(this->Random.below(kParts)) < share * kParts;
  }

  void Try(std::uint32_t rank, int number)
  {
    Event event{ this->Now + 2ms, rank, number, 0, {}, false };
    event.Daemon = this->Random.below(this->Daemons.size());
    if (!this->Daemons[event.Daemon].Admit(MakeRoute(rank), this->Now)) {
      ++this->Tally[rank].Refused;
      event.Result.Outcome = core::OpeningOutcome::kRejected;
      this->Events.push(event);
      return;
    }
    event.Told = true;
    event.Result =
      this->Serve(this->Random.below(this->Finishes.size()), rank);
    event.At = this->Now + event.Result.Elapsed;
    this->Events.push(event);
  }

  core::OpeningResult Serve(std::size_t backend, std::uint32_t rank)
  {
    core::OpeningResult result{ core::BackendId{ backend + 1 },
                                core::serviceIdOf("web"),
                                core::kNoZone,
                                rank,
                                core::OpeningOutcome::kRejected,
                                kRejects };
    ++this->Sent;
    std::deque<core::Time>& finishes = this->Finishes[backend];
    while (!finishes.empty() && finishes.front() <= this->Now) {
      finishes.pop_front();
    }
    if (finishes.size() >= kPlaces || backend < this->Sick) {
      ++this->Rejections;
      return result;
    }
    const core::Time start = finishes.size() < kSlots
      ? this->Now
      : finishes[finishes.size() - kSlots];
    finishes.push_back(start + kWork);
    result.Outcome = core::OpeningOutcome::kServed;
    result.Elapsed = start + kWork - this->Now;
    return result;
  }

  void Carry(const Event& event)
  {
    if (event.Told && !this->Chance(this->LostResults)) {
      this->Tell(event);
    }
    if (event.Result.Outcome == core::OpeningOutcome::kServed) {
      this->Tally[event.Rank].Served += event.Try != 0 ? 1 : 0;
    } else if (event.Try != 0 && event.Try < kTries) {
      this->Try(event.Rank, event.Try + 1);
    }
  }

  void Tell(Event event)
  {
    const bool isLate = event.Try != 0 && this->LateBy != 0ms;
    if (!isLate) {
      this->Daemons[event.Daemon].OnOpeningEnded(event.Result, this->Now);
      return;
    }
    event.At = this->Now + this->LateBy;
    event.Try = 0;
    this->Events.push(event);
  }

  std::vector<std::deque<core::Time>> Finishes; ///< By back end, in order.
  int Sent = 0;
  int ToldSent = 0;
  int ToldRejections = 0;
  std::deque<std::pair<core::Time, core::ZoneCapacity>> Told;
  std::priority_queue<Event> Events;
  sim::SeededRandom Random;
};

} // namespace cobaltgauge::tests
