/// @file
/// What daemons tell each other of the load on back ends.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// What became of an opening that this daemon sent on, as far as its caller's
/// packets show it.
enum class OpeningOutcome : std::uint8_t
{
  kServed,     ///< An answer of a usual length arrived.
  kRejected,   ///< Answered at once by much less than is usual: not run.
  kReset,      ///< Neither answered nor sent again: its caller was reset.
  kUnanswered, ///< Sent again by its caller without an answer.
};
inline constexpr std::size_t kOpeningOutcomes = 4;

const char* ToString(OpeningOutcome outcome);

/// The end of one opening.
struct OpeningResult
{
  BackendId Backend = kNoBackend;
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  std::uint32_t Rank = 0; ///< Zero goes first.
  OpeningOutcome Outcome = OpeningOutcome::kServed;
  Duration Took{}; ///< From the opening on.
};

/// Takes ends of openings; admission, placement and failure domains do.
class OpeningListener
{
public:
  virtual ~OpeningListener() = default;
  virtual void OnOpeningEnded(const OpeningResult& result, Time now) = 0;
};

/// Requests at the back ends of one service in one zone.
struct ZoneLoad
{
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  std::uint32_t InFlight = 0; ///< Sent on and not answered yet.
  std::uint32_t OpeningsInSecond = 0;
  std::uint32_t RejectedInSecond = 0; ///< Turned away or reset.

  bool operator==(const ZoneLoad&) const = default;
};

/// Load that a daemon and all that follow it have seen; on its way up the
/// tree of followers to the daemon that reads the store.
struct LoadReport
{
  Endpoint replyTo;            ///< The sender, as in its subscription.
  std::uint64_t sentAtUs = 0;  ///< By the receiver's clock; errs early.
  std::uint32_t nextMs = 0;    ///< When to expect the next one.
  std::uint32_t ageMs = 0;     ///< Of the oldest part.
  std::uint32_t level = 0;     ///< Of the sender below the root.
  std::uint32_t daemons = 0;   ///< Whose load this is.
  std::vector<ZoneLoad> loads; ///< The largest ones.
};

/// Load that the whole tree has seen; on its way down.
struct LoadSummary
{
  Endpoint sender;
  std::uint64_t sentAtUs = 0;   ///< By the sender's clock.
  bool isReportRequest = false; ///< It holds no load and asks for reports.
  std::uint32_t nextMs = 0;     ///< When to expect the next one.
  std::uint32_t ageMs = 0;      ///< Of the oldest part.
  std::uint32_t level = 0;      ///< Of the sender below the root.
  std::uint32_t daemons = 0;
  std::vector<ZoneLoad> loads;
};

/// How much room there is in a zone for one service.
struct ZoneCapacity
{
  double Utilization = 0;   ///< In flight for each slot; 1: no idle slot.
  double RejectedShare = 0; ///< Of openings, 0 to 1.
  Duration Age{};           ///< Of these figures; zero: not told.
};

/** \class CapacityView
 * \brief What placement and admission ask of the fleet's load.
 *
 * Slots come from this daemon's own view of the back ends that take flows;
 * requests in flight from the fleet.
 */
class CapacityView
{
public:
  virtual ~CapacityView() = default;
  /// \return nothing where too little or only old figures are known: decide
  /// as if there were none.
  virtual std::optional<ZoneCapacity> GetZoneCapacity(ServiceId service,
                                                      ZoneId zone,
                                                      Time now) const = 0;
};

} // namespace cobaltgauge::core
