/// @file
/// Determines the outcome of openings that this daemon placed.  Only packets
/// from clients are visible, as backends respond to clients directly.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/load/load_statistics.h"
#include "core/load/response_lengths.h"
#include "core/load/response_time_average.h"
#include "core/route_table.h"
#include "core/types.h"

namespace cobaltgauge::core {

/// An opening that was forwarded to a backend.
struct PlacedOpening
{
  Endpoint Route;
  BackendId Backend = kNoBackend;
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  std::uint32_t Priority = 0; ///< Zero is the highest priority.
};

/// Counters of OpeningTracker; see docs/METRICS.md.
struct OutcomeCounters
{
  std::array<std::uint64_t, kOpeningOutcomes> Ended{};
  std::uint64_t Discarded = 0; ///< Openings whose outcome is unknown.
};

/** \class OpeningTracker
 * \brief Tracks each opening until the end of its first response.
 *
 * Each outcome is reported once, at the latest on the tick after it can be
 * determined.  Openings are discarded without a report after a suspension,
 * when the client's packets pass another daemon, when the backend is gone, and
 * when too many openings are tracked.
 */
class OpeningTracker
{
public:
  /// \param listener outlives this object.
  void AddListener(OpeningListener* listener)
  {
    this->Listeners.push_back(listener);
  }

  void OnOpening(FlowFingerprint flow, const PlacedOpening& opening, Time now);

  /// The client retransmitted its opening.
  void OnRetransmission(FlowFingerprint flow, Time now);

  /// The client sent a packet after its opening.
  void OnPacket(FlowFingerprint flow, const PacketSummary& packet, Time now);

  /// Discard a flow that was reset because its backend is gone.
  void Discard(FlowFingerprint flow);

  void OnTick(Time now);

  /// Discard all tracked openings after the process was suspended.
  void Clear();

  std::size_t CountTracked() const { return this->Tracked.size(); }
  const OutcomeCounters& GetCounters() const { return this->Counters; }

private:
  /// Typical responses on a route.
  struct RouteResponses
  {
    ResponseLengths Lengths;
    ResponseTimeAverage Time;
  };

  struct Entry
  {
    PlacedOpening Opening;
    Time OpenedAt{};
    Time RequestAt{};  ///< Start of the request; zero if none yet.
    Time ResponseAt{}; ///< Start of the response; zero if none yet.
    Time LastPacketAt{};
    /// Acknowledgment number before the response.
    std::uint32_t AckBeforeResponse = 0;
    std::uint32_t ResponseLength = 0; ///< In bytes, as acknowledged so far.
    std::uint32_t RequestEnd = 0;     ///< Sequence number after the request.
    bool IsAccepted = false;          ///< The backend accepted the opening.
    bool IsReported = false;
  };
  using EntryMap = std::unordered_map<FlowFingerprint, Entry>;

  /// When to check an entry again; sorted by time in each queue.
  struct Deadline
  {
    Time Due{};
    Time OpenedAt{}; ///< Distinguishes flows with the same fingerprint.
    FlowFingerprint Flow{ 0 };
  };

  static bool IsNextRequest(const Entry& entry, const PacketSummary& packet);
  void OnResponse(FlowFingerprint flow, Entry& entry, Time now);
  /// The response is complete, or the client closed the flow.
  void Finish(EntryMap::iterator entry, Time now);
  void Report(Entry& entry, OpeningOutcome outcome, Time now);
  RouteResponses& GetRouteResponses(const Endpoint& route);
  /// Remove and return the next entry that is due.
  std::optional<EntryMap::iterator> PopDue(std::deque<Deadline>& deadlines,
                                           Time now);
  void ReportResets(Time now);
  void ReportUnanswered(Time now);
  void FinishShortResponses(Time now);
  void DiscardIdle(Time now);

  EntryMap Tracked;
  std::deque<Deadline> OpeningDeadlines;
  std::deque<Deadline> ResponseDeadlines;
  std::deque<Deadline> ShortResponseDeadlines;
  std::unordered_map<Endpoint, RouteResponses, EndpointHash> Responses;
  std::vector<OpeningListener*> Listeners;
  OutcomeCounters Counters;
  Time NextSweep{};
};

} // namespace cobaltgauge::core
