/// @file
/// Queueing model of zones and of the daemons that send openings to them, for
/// tests of zone spillover.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "core/placement/placement_limits.h"
#include "core/placement/queueing_model.h"
#include "core/placement/zone_spillover.h"

namespace cobaltgauge::tests {

using namespace std::chrono_literals;

/// Capacities that are set by a test.
struct FixedCapacity : core::CapacityView
{
  std::vector<std::optional<core::ZoneCapacity>> Zones;

  std::optional<core::ZoneCapacity> GetZoneCapacity(core::ServiceId,
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

/// All daemons receive the same statistics at the same time, which can
/// cause oscillation.  Each prefers its own zone.
struct ZoneQueueModel
{
  static constexpr core::Duration kStep = 50ms;
  static constexpr double kQueueTimeConstant = 0.1; ///< In seconds.
  /// Eight queued and two running requests for two slots.
  static constexpr double kMaxLoadPerSlot = 5;

  explicit ZoneQueueModel(std::size_t zones)
    : Demand(zones, 0.2)
    , Capacities(zones)
    , Utilization(zones)
    , Spillovers(zones)
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
      this->Spillovers[zone].AddSource(this->Reported);
    }
  }

  double LocalShare(std::size_t zone) const
  {
    return this->Spillovers[zone].GetLocalShare(core::ServiceId{ 1 },
                                                ZoneOf(zone));
  }

  void Step()
  {
    const std::size_t zones = this->Demand.size();
    std::vector<double> offered(zones);
    for (std::size_t from = 0; from < zones; ++from) {
      offered[from] += this->Demand[from] * this->LocalShare(from);
      const double spilled = this->Demand[from] * (1 - this->LocalShare(from));
      for (std::size_t to = 0; to < zones; ++to) {
        offered[to] +=
          to == from ? 0 : spilled / static_cast<double>(zones - 1);
      }
    }
    const double fraction =
      std::chrono::duration<double>(kStep).count() / kQueueTimeConstant;
    for (std::size_t zone = 0; zone < zones; ++zone) {
      this->Utilization[zone] = offered[zone];
      const double steadyState = offered[zone] < core::kMaxSlotUtilization
        ? core::GetRequestsPerSlot(offered[zone])
        : kMaxLoadPerSlot;
      core::ZoneCapacity& capacity = this->Capacities[zone];
      capacity.Utilization += fraction *
        (std::min(steadyState, kMaxLoadPerSlot) - capacity.Utilization);
      capacity.RejectedShare =
        capacity.Utilization < kMaxLoadPerSlot * 0.9 || offered[zone] <= 1
        ? 0
        : 1 - 1 / offered[zone];
    }
    this->Now += kStep;
    this->Report();
    for (core::ZoneSpillover& spillover : this->Spillovers) {
      spillover.Update(this->Candidates, this->Now);
    }
  }

  void Run(core::Duration time)
  {
    for (core::Duration passed{}; passed < time; passed += kStep) {
      this->Step();
    }
  }

  std::vector<double> Demand; ///< By zone, relative to the slots of one zone.
  core::Duration Delay = 300ms;
  core::Duration Period = 200ms;
  /// May modify a report in transit; returns false to drop it.
  std::function<bool(std::vector<core::ZoneCapacity>&)> OnReport;
  std::vector<core::ZoneCapacity> Capacities;
  std::vector<double> Utilization; ///< Offered load by zone in the last step.
  std::vector<core::ZoneSpillover> Spillovers;
  core::Time Now = 100s;

private:
  struct Sent
  {
    core::Time At{};
    std::vector<core::ZoneCapacity> Capacities;
  };

  void Report()
  {
    if (this->Now >= this->NextReport) {
      this->NextReport = this->Now + this->Period;
      this->InTransit.push_back({ this->Now, this->Capacities });
    }
    while (!this->InTransit.empty() &&
           this->InTransit.front().At + this->Delay <= this->Now) {
      Sent sent = this->InTransit.front();
      this->InTransit.pop_front();
      if (!this->OnReport || this->OnReport(sent.Capacities)) {
        this->Latest = sent;
      }
    }
    for (std::size_t zone = 0; zone < this->Latest.Capacities.size(); ++zone) {
      core::ZoneCapacity capacity = this->Latest.Capacities[zone];
      capacity.Age = this->Now - this->Latest.At;
      this->Reported.Zones[zone] = capacity.Age > core::kShareHistoryRetention
        ? std::nullopt
        : std::optional(capacity);
    }
  }

  FixedCapacity Reported;
  std::vector<core::PlacementCandidate> Candidates;
  std::deque<Sent> InTransit;
  Sent Latest;
  core::Time NextReport{};
};

} // namespace cobaltgauge::tests
