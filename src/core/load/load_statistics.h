/// @file
/// Load statistics that daemons exchange.  See docs/design/008-scarce-room.md.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// Outcome of an opening that this daemon forwarded, determined from the
/// packets of the client.
enum class OpeningOutcome : std::uint8_t
{
  kServed,     ///< A response of typical length arrived.
  kRejected,   ///< The response was much shorter than is typical.
  kReset,      ///< No response and no retransmission: the flow was reset.
  kUnanswered, ///< Retransmitted by the client without a response.
};
inline constexpr std::size_t kOpeningOutcomes = 4;

const char* ToString(OpeningOutcome outcome);

/// Outcome of one opening.
struct OpeningResult
{
  BackendId Backend = kNoBackend;
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  std::uint32_t Priority = 0; ///< Zero is the highest priority.
  OpeningOutcome Outcome = OpeningOutcome::kServed;
  Duration Elapsed{}; ///< Time from the opening to the outcome.
};

/// Receives the outcomes of openings.
class OpeningListener
{
public:
  virtual ~OpeningListener() = default;
  virtual void OnOpeningEnded(const OpeningResult& result, Time now) = 0;
};

/// Load on the backends of one service in one zone.
struct ZoneLoad
{
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  std::uint32_t InFlight = 0; ///< Requests without a response.
  std::uint32_t OpeningsInSecond = 0;
  std::uint32_t RejectedInSecond = 0; ///< Rejected or reset.

  bool operator==(const ZoneLoad&) const = default;
};

/// Load measured by a daemon and the daemons below it in the relay tree; sent
/// upstream towards the root, which reads the store.
struct LoadReport
{
  Endpoint replyTo; ///< Address of the sender, as in its subscription.
  std::uint64_t sentAtUs = 0;  ///< By the receiver's clock, or earlier.
  std::uint32_t nextMs = 0;    ///< Time until the next report.
  std::uint32_t ageMs = 0;     ///< Age of the oldest part.
  std::uint32_t level = 0;     ///< Level of the sender below the root.
  std::uint32_t daemons = 0;   ///< Number of daemons covered.
  std::vector<ZoneLoad> loads; ///< The largest loads.
};

/// Load measured by all daemons of the tree; sent downstream by the root.
struct LoadSummary
{
  Endpoint sender;
  std::uint64_t sentAtUs = 0;   ///< By the sender's clock.
  bool isReportRequest = false; ///< Requests reports and holds no load.
  std::uint32_t nextMs = 0;     ///< Time until the next summary.
  std::uint32_t ageMs = 0;      ///< Age of the oldest part.
  std::uint32_t level = 0;      ///< Level of the sender below the root.
  std::uint32_t daemons = 0;
  std::vector<ZoneLoad> loads;
};

/// Used capacity of a zone for one service.
struct ZoneCapacity
{
  double Utilization = 0;   ///< Requests in flight per slot; 1: no idle slot.
  double RejectedShare = 0; ///< Share of openings, 0 to 1.
  Duration Age{};           ///< Age of these statistics; zero if unknown.
};

/** \class CapacityView
 * \brief Provides the used capacity of zones to placement and admission.
 *
 * A slot is one request that a backend handles concurrently.  Slots are
 * counted from this daemon's view of the backends that accept flows; requests
 * in flight are those of the whole fleet.
 */
class CapacityView
{
public:
  virtual ~CapacityView() = default;
  /// \return nothing if statistics are missing, too old or incomplete.
  virtual std::optional<ZoneCapacity> GetZoneCapacity(ServiceId service,
                                                      ZoneId zone,
                                                      Time now) const = 0;
};

} // namespace cobaltgauge::core
