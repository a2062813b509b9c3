/// @file
/// Admission control by priority while backends are overloaded.  See
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
#include "core/load/load_statistics.h"
#include "core/registration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// Default share of admitted attempts reserved for lower priorities.
inline constexpr double kDefaultReservedShare = 0.05;

struct PriorityAdmissionOptions
{
  bool Enabled = true;
  /// Share of admitted attempts reserved for all priorities but the highest,
  /// 0 to 1.
  double ReservedShare = kDefaultReservedShare;
};

/// Capacity of a service's backends according to the fleet's load statistics.
/// The zone with the most spare capacity decides.
enum class FleetCapacity : std::uint8_t
{
  kUnknown,
  kSpareCapacity, ///< Ends a limit.
  kIdleSlots,     ///< No limit begins; one in effect remains.
  kFewRejected,   ///< No idle slot, few rejections.
  kOverloaded,    ///< No idle slot, many rejections.
};

/// State of a service's limit, for logs and metrics.
struct AdmissionState
{
  std::string Service;
  bool IsLimited = false;
  double AdmittedShare = 1; ///< Of the offered attempts, 0 to 1.
  double AdmittedRate = 0;  ///< Attempts per second.
  double GrowthFactor = 1;  ///< Multiplies the limit; at least 1.
  OpeningStatistics Inputs; ///< Statistics the limit is based on.
  OpeningStatistics Recent; ///< The most recent part of them.
  RejectionDistribution Distribution;
  FleetCapacity Capacity = FleetCapacity::kUnknown;
};

/// Connection attempts of one service and priority since the start.
struct PriorityCounters
{
  std::uint64_t Offered = 0;
  std::uint64_t Refused = 0;
};

/** \class PriorityAdmission
 * \brief Limits a service's connection attempts to what its backends accept.
 *
 * Backends that reject attempts are overloaded.  Attempts are then limited to
 * the rate served recently plus some headroom, and admitted by priority; the
 * others are refused before they reach a backend.  Each daemon decides on its
 * own results; the fleet's load statistics can prevent or end a limit, and
 * reduce the rejections needed to begin one.
 */
class PriorityAdmission : public OpeningListener
{
public:
  /// Returns the zones of a service's backends that accept new flows.
  using ZoneLookup = std::function<std::vector<ZoneId>(ServiceId)>;

  explicit PriorityAdmission(const PriorityAdmissionOptions& options)
    : Options(options)
  {
  }

  /// Replaces the options; takes effect immediately.
  void SetOptions(const PriorityAdmissionOptions& options);

  /// Sets the source of fleet load statistics, which has to outlive this
  /// object; null for none.
  void SetCapacityView(const CapacityView* view, ZoneLookup zoneLookup);

  /// Decides on a connection attempt that has not been forwarded yet.
  /// \param mayRefuse false if the view may lack backends.
  /// \return false if the attempt has to be refused.
  bool Admit(const Route& route, Time now, bool mayRefuse = true);

  /// Returns whether a limit on a service is in effect.
  bool IsLimited(ServiceId service) const;

  void OnOpeningEnded(const OpeningResult& result, Time now) override;

  /// Removes services and limits without recent connection attempts.
  void Expire(Time now);

  /// Returns the limits that began, changed considerably or ended since the
  /// last call.
  std::vector<AdmissionState> TakeChanges(Time now);

  std::vector<AdmissionState> GetStates() const;
  /// Returns counters by service, then by priority.
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
    std::set<std::uint32_t> Priorities; ///< Ever seen.
    PriorityTokenBucket Bucket;
    std::uint32_t LowRejectionUpdates = 0;
    std::uint64_t ResultsAtLastGrowth = 0;
    Time NextUpdate{};
    Time LastOpeningAt{};
    bool ReportedLimited = false;
    double ReportedShare = 1;
    Time ReportedAt{};
  };

  /// Updates the limit once per interval.
  void Update(ServiceId id, Service& service, Time now) const;
  /// Raises the growth factor while few attempts are rejected.
  /// \param expectedShare rejected share expected due to the headroom, 0 to 1.
  static void GrowLimit(Service& service, double expectedShare);
  /// Returns whether rejections indicate overloaded backends.
  bool IsOverloaded(ServiceId id, Service& service, Time now) const;
  FleetCapacity GetFleetCapacity(ServiceId id, Time now) const;
  void ApplyLimit(Service& service, double budget, Time now) const;
  static void RemoveLimit(Service& service);

  PriorityAdmissionOptions Options;
  const CapacityView* View = nullptr;
  ZoneLookup LookUpZones;
  std::unordered_map<ServiceId, Service> Services;
  std::map<std::string, std::map<std::uint32_t, PriorityCounters>> Counters;
};

const char* ToString(FleetCapacity capacity);

} // namespace cobaltgauge::core
