/// @file
/// Zones with back ends of two slots as queues, and the daemons that fill
/// them, as far as tests of placement by room need it.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "core/placement/placement_limits.h"
#include "core/placement/waiting.h"
#include "core/placement/zone_spill.h"

namespace cobaltgauge::tests {

using namespace std::chrono_literals;

/// Figures that a test gives.
struct GivenRoom : core::RoomView
{
  std::vector<std::optional<core::ZoneRoom>> Zones;

  std::optional<core::ZoneRoom> GetRoom(core::ServiceId,
                                        core::ZoneId zone,
                                        core::Time) const override
  {
    return this->Zones.at(static_cast<std::size_t>(zone) - 1);
  }
};

inline core::ZoneId ZoneOf(std::size_t index)
{
  return core::ZoneId{ static_cast<std::uint32_t>(index + 1) };
}

/// The daemons of each zone all see the same figures at the same time, which
/// is where herds come from; they prefer their own zone.
struct ZoneQueues
{
  static constexpr core::Duration kStep = 50ms;
  static constexpr double kQueueMemory = 0.1; ///< Seconds a queue takes.
  static constexpr double kFull = 5; ///< Eight wait and two run, of two.

  explicit ZoneQueues(std::size_t zones)
    : Demand(zones, 0.2)
    , Rooms(zones)
    , Use(zones)
    , Spills(zones)
  {
    this->Reported.Zones.resize(zones);
    for (std::size_t zone = 0; zone < zones; ++zone) {
      this->Candidates.push_back({ core::BackendId{ zone + 1 },
                                   core::ServiceId{ 1 },
                                   2,
                                   100,
                                   {},
                                   core::kNoRegion,
                                   ZoneOf(zone) });
      this->Spills[zone].AddSource(this->Reported);
    }
  }

  double Kept(std::size_t zone) const
  {
    return this->Spills[zone].GetKept(core::ServiceId{ 1 }, ZoneOf(zone));
  }

  void Step()
  {
    const std::size_t zones = this->Demand.size();
    std::vector<double> offered(zones);
    for (std::size_t from = 0; from < zones; ++from) {
      offered[from] += this->Demand[from] * this->Kept(from);
      const double leaves = this->Demand[from] * (1 - this->Kept(from));
      for (std::size_t to = 0; to < zones; ++to) {
        offered[to] +=
          to == from ? 0 : leaves / static_cast<double>(zones - 1);
      }
    }
    const double part =
      std::chrono::duration<double>(kStep).count() / kQueueMemory;
    for (std::size_t zone = 0; zone < zones; ++zone) {
      this->Use[zone] = offered[zone];
      const double settled = offered[zone] < core::kMostUse
        ? core::GetInFlight(offered[zone])
        : kFull;
      core::ZoneRoom& room = this->Rooms[zone];
      room.Utilization += part * (std::min(settled, kFull) - room.Utilization);
      room.RejectedShare = room.Utilization < kFull * 0.9 || offered[zone] <= 1
        ? 0
        : 1 - 1 / offered[zone];
    }
    this->Now += kStep;
    this->Report();
    for (core::ZoneSpill& spill : this->Spills) {
      spill.Update(this->Candidates, this->Now);
    }
  }

  void Run(core::Duration time)
  {
    for (core::Duration passed{}; passed < time; passed += kStep) {
      this->Step();
    }
  }

  std::vector<double> Demand; ///< By zone, in slots of one zone.
  core::Duration Delay = 300ms;
  core::Duration Period = 200ms;
  /// Changes reports on their way; false: the report is lost.
  std::function<bool(std::vector<core::ZoneRoom>&)> OnReport;
  std::vector<core::ZoneRoom> Rooms;
  std::vector<double> Use; ///< Asked of each zone in the last step.
  std::vector<core::ZoneSpill> Spills;
  core::Time Now = 100s;

private:
  struct Sent
  {
    core::Time At{};
    std::vector<core::ZoneRoom> Rooms;
  };

  void Report()
  {
    if (this->Now >= this->NextReport) {
      this->NextReport = this->Now + this->Period;
      this->OnTheWay.push_back({ this->Now, this->Rooms });
    }
    while (!this->OnTheWay.empty() &&
           this->OnTheWay.front().At + this->Delay <= this->Now) {
      Sent sent = this->OnTheWay.front();
      this->OnTheWay.pop_front();
      if (!this->OnReport || this->OnReport(sent.Rooms)) {
        this->Latest = sent;
      }
    }
    for (std::size_t zone = 0; zone < this->Latest.Rooms.size(); ++zone) {
      core::ZoneRoom room = this->Latest.Rooms[zone];
      room.Age = this->Now - this->Latest.At;
      this->Reported.Zones[zone] =
        room.Age > core::kKeptMemory ? std::nullopt : std::optional(room);
    }
  }

  GivenRoom Reported;
  std::vector<core::PlacementCandidate> Candidates;
  std::deque<Sent> OnTheWay;
  Sent Latest;
  core::Time NextReport{};
};

} // namespace cobaltgauge::tests
