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

#include "core/load/answer_lengths.h"
#include "core/load/answer_time.h"
#include "core/load/load_figures.h"
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

/// Counters of OpeningOutcomes; see docs/METRICS.md.
struct OutcomeCounters
{
  std::array<std::uint64_t, kOpeningOutcomes> Ended{};
  std::uint64_t Forgotten = 0; ///< Their end could not be seen.
};

/** \class OpeningOutcomes
 * \brief Watch each opening up to the end of its first answer.
 *
 * Each end is told once, at the latest on the tick after it shows.  Openings
 * are forgotten where it cannot be seen: after a suspension, where a caller's
 * packets go to another daemon, where its back end has ended, or where too
 * many are watched.
 */
class OpeningOutcomes
{
public:
  /// \param listener outlives this object.
  void AddListener(OpeningListener* listener)
  {
    this->Listeners.push_back(listener);
  }

  void OnOpening(FlowFingerprint flow, const PlacedOpening& opening, Time now);

  /// The caller sent its opening again and has shown no answer.
  void OnCopy(FlowFingerprint flow, Time now);

  /// A later packet of a flow passed.
  void OnPacket(FlowFingerprint flow, const PacketSummary& packet, Time now);

  /// Forget a flow that was given up here, since its back end is gone.
  void Forget(FlowFingerprint flow);

  void OnTick(Time now);

  /// Forget what is pending; for a process that was suspended.
  void Clear();

  std::size_t CountWatched() const { return this->Watched.size(); }
  const OutcomeCounters& GetCounters() const { return this->Counters; }

private:
  /// What is usual on a route.
  struct RouteAnswers
  {
    AnswerLengths Lengths;
    AnswerTime Time;
  };

  struct Watch
  {
    PlacedOpening Opening;
    Time OpenedAt{};
    Time AskedAt{};            ///< When the request began; zero: not yet.
    Time AnsweredAt{};         ///< Zero: no answer to the request yet.
    Time LastAt{};             ///< When the last packet passed.
    std::uint32_t Before = 0;  ///< Acknowledged before the answer.
    std::uint32_t Length = 0;  ///< Of the answer so far.
    std::uint32_t DataEnd = 0; ///< Sequence number after the request.
    bool IsOpen = false;       ///< The back end took the opening.
    bool IsTold = false;
  };
  using Watches = std::unordered_map<FlowFingerprint, Watch>;

  /// When to look at a watch again; of each kind the earliest first.
  struct Look
  {
    Time Due{};
    Time OpenedAt{}; ///< Tells a flow from a later one of the same name.
    FlowFingerprint Flow{ 0 };
  };

  static bool IsNextRequest(const Watch& watch, const PacketSummary& packet);
  void OnAnswer(FlowFingerprint flow, Watch& watch, Time now);
  /// The whole answer is known, or the caller has gone.
  void Finish(Watches::iterator watch, Time now);
  void Tell(Watch& watch, OpeningOutcome outcome, Time now);
  RouteAnswers& GetAnswers(const Endpoint& route);
  /// Take the next look that is due.
  std::optional<Watches::iterator> TakeDue(std::deque<Look>& looks, Time now);
  void EndReset(Time now);
  void EndUnanswered(Time now);
  void EndShort(Time now);
  void ForgetIdle(Time now);

  Watches Watched;
  std::deque<Look> Opened;
  std::deque<Look> Asked;
  std::deque<Look> Short;
  std::unordered_map<Endpoint, RouteAnswers, EndpointHash> Answers;
  std::vector<OpeningListener*> Listeners;
  OutcomeCounters Counters;
  Time NextSweep{};
};

} // namespace cobaltgauge::core
