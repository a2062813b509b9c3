/// @file
/// Who opens while back ends are full: the highest rank first.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admission/opening_counts.h"
#include "core/admission/priority_token_bucket.h"
#include "core/load/load_figures.h"
#include "core/registration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// The share of the openings that the lowest ranks are left, unless set.
inline constexpr double kDefaultReservedShare = 0.05;

struct PriorityAdmissionOptions
{
  bool Enabled = true;
  /// Of what is let in, for all ranks below each; 0 to 1.
  double ReservedShare = kDefaultReservedShare;
};

/// What the fleet's figures say of a service's back ends.
enum class FleetCapacity : std::uint8_t
{
  kUnknown,
  kSpareCapacity, ///< In one zone at least, also while a limit holds.
  kIdleSlots,     ///< In one zone at least: no limit begins.
  kFewRejected,   ///< No idle slot, yet a zone that hardly rejects.
  kOverloaded,    ///< In every zone no idle slot, and rejections.
};

/// The state of a service's limit, for logs and metrics.
struct AdmissionState
{
  std::string Service;
  bool IsLimited = false;
  double AdmittedShare = 1; ///< Of the offered openings that are let in.
  double AdmittedRate = 0;  ///< Openings that are let in.
  double GrowthFactor = 1;  ///< By how much the limit has grown.
  OpeningStatistics Inputs; ///< By which it was decided.
  OpeningStatistics Recent; ///< The latest of them.
  RejectionDistribution Distribution;
  FleetCapacity Capacity = FleetCapacity::kUnknown;
};

/// Openings of one service and rank since the start.
struct PriorityCounters
{
  std::uint64_t Offered = 0;
  std::uint64_t Refused = 0;
};

/** \class PriorityAdmission
 * \brief ApplyLimit a service's openings to what its back ends accept.
 *
 * Back ends that turn openings away are full.  What they served of late, and
 * some headroom to find more, is given to the ranks in their order; what is
 * offered beyond is refused before it costs a back end's time and its caller
 * a wait.  Each daemon decides by what it saw itself; the fleet's figures can
 * only lift a limit.
 */
class PriorityAdmission : public OpeningListener
{
public:
  /// Get the zones of a service's back ends that visit flows.
  using ZoneLookup = std::function<std::vector<ZoneId>(ServiceId)>;

  explicit PriorityAdmission(const PriorityAdmissionOptions& options)
    : Options(options)
  {
  }

  /// Take effect from now on.
  void SetOptions(const PriorityAdmissionOptions& options);

  /// Set the fleet's figures, which outlive this; null for none.
  void SetCapacityView(const RoomView* view, ZoneLookup zoneLookup);

  /// Decide on an opening of which no copy was sent on.
  /// \param mayRefuse false where the view may lack back ends.
  /// \return false where it is to be refused.
  bool Admit(const Route& route, Time now, bool mayRefuse = true);

  /// Tell whether openings of a service are limited now.
  bool IsLimited(ServiceId service) const;

  void OnOpeningEnded(const OpeningResult& result, Time now) override;

  /// Forget services that are no longer asked for.
  void Expire(Time now);

  /// Take the limits that began, changed by much or ended since.
  std::vector<AdmissionState> TakeChanges(Time now);

  /// Get the state of every service.
  std::vector<AdmissionState> GetStates() const;
  /// Get counters by service, then by rank.
  const std::map<std::string, std::map<std::uint32_t, PriorityCounters>>&
  GetCounters() const
  {
    return this->Counters;
  }

private:
  struct Service
  {
    AdmissionState State;
    OpeningCounts Counts;
    std::set<std::uint32_t> Priorities; ///< That ever asked.
    PriorityTokenBucket Bucket;
    std::uint32_t LowRejectionUpdates = 0; ///< On end, with few rejections.
    std::uint64_t ResultsAtLastGrowth =
      0; ///< Results when the limit last grew.
    Time NextUpdate{};
    Time LastOpeningAt{};
    bool ReportedLimited = false;
    double ReportedShare = 1;
    Time ReportedAt{};
  };

  /// Decide on the limit again, where a step has passed.
  void Update(ServiceId id, Service& service, Time now) const;
  /// Let the limit grow while few are rejected.
  /// \param expectedShare rejected share that the headroom costs.
  static void GrowLimit(Service& service, double expectedShare);
  /// Tell whether rejections show that the back ends are full.
  bool IsOverloaded(ServiceId id, Service& service, Time now) const;
  FleetCapacity GetFleetCapacity(ServiceId id, Time now) const;
  void ApplyLimit(Service& service, double budget, Time now) const;
  static void RemoveLimit(Service& service);

  PriorityAdmissionOptions Options;
  const RoomView* View = nullptr;
  ZoneLookup LookUpZones;
  std::unordered_map<ServiceId, Service> Services;
  std::map<std::string, std::map<std::uint32_t, PriorityCounters>> Counters;
};

const char* ToString(FleetCapacity room);

} // namespace cobaltgauge::core
