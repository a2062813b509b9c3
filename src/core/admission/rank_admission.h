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
#include "core/admission/ranked_bucket.h"
#include "core/load/load_statistics.h"
#include "core/registration.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// The share of the openings that the lowest ranks are left, unless set.
inline constexpr double kDefaultLeastShare = 0.05;

struct RankAdmissionOptions
{
  bool Enabled = true;
  /// Of what is let in, for all ranks below each; 0 to 1.
  double LeastShare = kDefaultLeastShare;
};

/// What the fleet's figures say of a service's back ends.
enum class FleetRoom : std::uint8_t
{
  kUnknown,
  kMuchRoom,    ///< In one zone at least, also while a limit holds.
  kIdleSlots,   ///< In one zone at least: no limit begins.
  kFewRejected, ///< No idle slot, yet a zone that hardly rejects.
  kFull,        ///< In every zone no idle slot, and rejections.
};

/// The state of a service's limit, for logs and metrics.
struct AdmissionState
{
  std::string Service;
  bool IsLimited = false;
  double Share = 1;      ///< Of the wanted openings that are let in.
  double PerSecond = 0;  ///< Openings that are let in.
  double Probe = 1;      ///< By how much the limit has grown.
  OpeningFigures Inputs; ///< By which it was decided.
  OpeningFigures Recent; ///< The latest of them.
  RejectionSpread Spread;
  FleetRoom Room = FleetRoom::kUnknown;
};

/// Openings of one service and rank since the start.
struct RankCounters
{
  std::uint64_t Wanted = 0;
  std::uint64_t Refused = 0;
};

/** \class RankAdmission
 * \brief Limit a service's openings to what its back ends accept.
 *
 * Back ends that turn openings away are full.  What they served of late, and
 * some headroom to find more, is given to the ranks in their order; what is
 * wanted beyond is refused before it costs a back end's time and its caller
 * a wait.  Each daemon decides by what it saw itself; the fleet's figures can
 * only lift a limit.
 */
class RankAdmission : public OpeningListener
{
public:
  /// Get the zones of a service's back ends that take flows.
  using ZonesOf = std::function<std::vector<ZoneId>(ServiceId)>;

  explicit RankAdmission(const RankAdmissionOptions& options)
    : Options(options)
  {
  }

  /// Take effect from now on.
  void SetOptions(const RankAdmissionOptions& options);

  /// Set the fleet's figures, which outlive this; null for none.
  void SetRoom(const CapacityView* room, ZonesOf zonesOf);

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
  const std::map<std::string, std::map<std::uint32_t, RankCounters>>&
  GetCounters() const
  {
    return this->Counters;
  }

private:
  struct Service
  {
    AdmissionState State;
    OpeningCounts Counts;
    std::set<std::uint32_t> Ranks; ///< That ever asked.
    RankedBucket Bucket;
    std::uint32_t CalmSteps = 0; ///< On end, with few rejections.
    std::uint64_t CountedAt = 0; ///< Results when the limit last grew.
    Time NextUpdate{};
    Time LastAsked{};
    bool ToldLimited = false;
    double ToldShare = 1;
    Time ToldAt{};
  };

  /// Decide on the limit again, where a step has passed.
  void Update(ServiceId id, Service& service, Time now) const;
  /// Let the limit grow while few are rejected.
  /// \param expected rejected share that the headroom costs.
  static void Probe(Service& service, double expected);
  /// Tell whether rejections show that the back ends are full.
  bool IsFull(ServiceId id, Service& service, Time now) const;
  FleetRoom GetFleetRoom(ServiceId id, Time now) const;
  void Limit(Service& service, double budget, Time now) const;
  static void Lift(Service& service);

  RankAdmissionOptions Options;
  const CapacityView* Room = nullptr;
  ZonesOf Zones;
  std::unordered_map<ServiceId, Service> Services;
  std::map<std::string, std::map<std::uint32_t, RankCounters>> Counters;
};

const char* ToString(FleetRoom room);

} // namespace cobaltgauge::core
