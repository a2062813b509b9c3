/// @file
/// Fills a view that is in use with the back ends that it lacks.  See
/// docs/design/012-whole-fleet.md.
///
/// A daemon that starts in a large fleet knows a sample of the back ends and
/// takes flows by it.  The rest comes in pages, from daemons whose views are
/// whole.  A daemon that has got the last page gives pages itself, and those
/// who have none to give name some who got theirs, so that whole views spread
/// like a rumour: the time they take grows with the logarithm of the fleet,
/// and the store is read by few.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/admission.h"
#include "core/backend_registry.h"
#include "core/random.h"
#include "core/store_reader.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/// One message on its way to a peer.
struct OutgoingFill
{
  Endpoint Destination;
  std::variant<ViewPageRequest, ViewPage> Message;
};

/// Counters of a ViewFill; see docs/METRICS.md.
struct ViewFillCounters
{
  std::uint64_t RequestsSent = 0;
  std::uint64_t PagesGiven = 0;
  std::uint64_t PagesTaken = 0;
  std::uint64_t Refused = 0; ///< Requests of others with nothing to give.
  std::uint64_t TooOld = 0;  ///< Pages older than what this view began with.
};

/// What a ViewFill is told of other daemons.
struct FillPeers
{
  std::vector<Endpoint> Known; ///< Any that may exist.
  std::vector<Endpoint> Near;  ///< Its upstream, where it follows one.
  std::vector<Endpoint> Seeds; ///< Other daemons that everyone knows of.
  bool IsSeed = false;         ///< This daemon is one that everyone knows of.
  std::uint32_t Fleet = 1;     ///< Daemons that there are; errs high.
};

/** \class ViewFill
 * \brief Get the missing back ends from peers, else from the store.
 */
class ViewFill
{
public:
  /// \param self where this daemon takes peer messages.
  /// All references outlive the object.
  ViewFill(const Endpoint& self,
           StoreReader& reader,
           StoreSink& sink,
           const BackendRegistry& backends,
           Random& random);

  /// Tell whether a view in use lacks back ends; ticks do nothing else.
  bool IsNeeded() const
  {
    return this->Reader.isComplete() && !this->Reader.isWhole();
  }

  void OnTick(const FillPeers& peers, Time now);
  void OnRequest(const ViewPageRequest& request, Time now);
  /// \return whether it added back ends to this daemon's view.
  bool OnPage(const ViewPage& page, Time now);

  std::vector<OutgoingFill> TakeMessages();
  const ViewFillCounters& GetCounters() const { return this->Counters; }

private:
  /// Tell whether a page may be given now.
  bool MayGive(const ViewPageRequest& request, Time now);
  /// Tell whether another daemon with a whole view is nearer to this one.
  bool KnowsNearer(const Endpoint& peer) const;
  /// Draw one that is said to have a whole view; there has to be one.
  const Endpoint& DrawNear();
  void Give(const ViewPageRequest& request, ViewPage& page, Time now);
  void Begin(const FillPeers& peers, Time now);
  void Ask(const Endpoint& peer, Time now);
  /// Draw a daemon to ask; this one where nobody is known.
  Endpoint Draw(const FillPeers& peers);
  void Take(const ViewPage& page, Time now);
  void NoteWhole(const Endpoint& peer);

  Endpoint Self;
  StoreReader& Reader;
  StoreSink& Sink;
  const BackendRegistry& Backends;
  Random& RandomSource;
  AdmissionTokenBucket Allowance;
  /// Daemons that are given pages, with the time of the last one.
  std::map<Endpoint, Time> Served;
  std::deque<Endpoint> Whole; ///< Daemons that have whole views, newest last.
  std::string NextAfter;      ///< Pages up to here were taken.
  Time AskedAt{};
  bool MayAskAgain = false; ///< Once for each question at a tick.
  Time StoreAt{}; ///< When pages are read from the store; zero: not begun.
  std::vector<OutgoingFill> Outgoing;
  ViewFillCounters Counters;
};

} // namespace cobaltgauge::core
