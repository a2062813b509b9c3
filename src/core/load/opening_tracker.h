/// @file
/// Tells what became of openings that this daemon placed, from their callers'
/// packets alone: answers go straight to the caller.  See
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

/// An opening that was sent on.
struct PlacedOpening
{
  Endpoint Route;
  BackendId Backend = kNoBackend;
  ServiceId Service{ 0 };
  ZoneId Zone = kNoZone;
  std::uint32_t Rank = 0; ///< Zero goes first.
};

/// Counters of OpeningTracker; see docs/METRICS.md.
struct OutcomeCounters
{
  std::array<std::uint64_t, kOpeningOutcomes> Ended{};
  std::uint64_t Discarded = 0; ///< Their end could not be seen.
};

/** \class OpeningTracker
 * \brief Entry each opening up to the end of its first answer.
 *
 * Each end is told once, at the latest on the tick after it shows.  Openings
 * are forgotten where it cannot be seen: after a suspension, where a caller's
 * packets go to another daemon, where its back end has ended, or where too
 * many are watched.
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

  /// The caller sent its opening again and has shown no answer.
  void OnRetransmission(FlowFingerprint flow, Time now);

  /// A later packet of a flow passed.
  void OnPacket(FlowFingerprint flow, const PacketSummary& packet, Time now);

  /// Discard a flow that was given up here, since its back end is gone.
  void Discard(FlowFingerprint flow);

  void OnTick(Time now);

  /// Discard what is pending; for a process that was suspended.
  void Clear();

  std::size_t CountTracked() const { return this->Tracked.size(); }
  const OutcomeCounters& GetCounters() const { return this->Counters; }

private:
  /// What is typical on a route.
  struct RouteResponses
  {
    ResponseLengths Lengths;
    ResponseTimeAverage Time;
  };

  struct Entry
  {
    PlacedOpening Opening;
    Time OpenedAt{};
    Time RequestAt{};    ///< When the request began; zero: not yet.
    Time ResponseAt{};   ///< Zero: no answer to the request yet.
    Time LastPacketAt{}; ///< When the last packet passed.
    std::uint32_t AckBeforeResponse = 0; ///< Acknowledged before the answer.
    std::uint32_t ResponseLength = 0;    ///< Of the answer so far.
    std::uint32_t RequestEnd = 0; ///< Sequence number after the request.
    bool IsAccepted = false;      ///< The back end took the opening.
    bool IsReported = false;
  };
  using EntryMap = std::unordered_map<FlowFingerprint, Entry>;

  /// When to deadline at a entry again; of each kind the earliest first.
  struct Deadline
  {
    Time Due{};
    Time OpenedAt{}; ///< Tells a flow from a later one of the same name.
    FlowFingerprint Flow{ 0 };
  };

  static bool IsNextRequest(const Entry& entry, const PacketSummary& packet);
  void OnResponse(FlowFingerprint flow, Entry& entry, Time now);
  /// The whole answer is known, or the caller has gone.
  void Finish(EntryMap::iterator entry, Time now);
  void Report(Entry& entry, OpeningOutcome outcome, Time now);
  RouteResponses& GetRouteResponses(const Endpoint& route);
  /// Take the next deadline that is due.
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
