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
struct OutgoingBackfillMessage
{
  Endpoint Destination;
  std::variant<ViewPageRequest, ViewPage> Message;
};

/// Counters of a ViewBackfill; see docs/METRICS.md.
struct ViewBackfillCounters
{
  std::uint64_t RequestsSent = 0;
  std::uint64_t PagesSent = 0;
  std::uint64_t PagesApplied = 0;
  std::uint64_t RequestsRefused =
    0; ///< Requests of others with nothing to give.
  std::uint64_t StalePages =
    0; ///< Pages older than what this view began with.
};

/// What a ViewBackfill is told of other daemons.
struct BackfillPeers
{
  std::vector<Endpoint> Known; ///< Any that may exist.
  std::vector<Endpoint> Near;  ///< Its upstream, where it follows one.
  std::vector<Endpoint> Seeds; ///< Other daemons that everyone knows of.
  bool IsSeed = false;         ///< This daemon is one that everyone knows of.
  std::uint32_t FleetSize = 1; ///< Daemons that there are; errs high.
};

/** \class ViewBackfill
 * \brief Get the missing back ends from peers, else from the store.
 */
class ViewBackfill
{
public:
  /// \param self where this daemon takes peer messages.
  /// All references outlive the object.
  ViewBackfill(const Endpoint& self,
               StoreReader& reader,
               StoreSink& sink,
               const BackendRegistry& backends,
               Random& random);

  /// Tell whether a view in use lacks back ends; ticks do nothing else.
  bool IsNeeded() const
  {
    return this->Reader.isComplete() && !this->Reader.isWhole();
  }

  void OnTick(const BackfillPeers& peers, Time now);
  void OnRequest(const ViewPageRequest& request, Time now);
  /// \return whether it added back ends to this daemon's view.
  bool OnPage(const ViewPage& page, Time now);

  std::vector<OutgoingBackfillMessage> TakeMessages();
  const ViewBackfillCounters& GetCounters() const { return this->Counters; }

private:
  /// Tell whether a page may be given now.
  bool CanServe(const ViewPageRequest& request, Time now);
  /// Tell whether another daemon with a whole view is nearer to this one.
  bool KnowsCloserPeer(const Endpoint& peer) const;
  /// SelectPeer one that is said to have a whole view; there has to be one.
  const Endpoint& SelectFullViewPeer();
  void ServePage(const ViewPageRequest& request, ViewPage& page, Time now);
  void ScheduleStoreRead(const BackfillPeers& peers, Time now);
  void SendRequest(const Endpoint& peer, Time now);
  /// SelectPeer a daemon to ask; this one where nobody is known.
  Endpoint SelectPeer(const BackfillPeers& peers);
  void ApplyPage(const ViewPage& page, Time now);
  void AddFullViewPeer(const Endpoint& peer);

  Endpoint Self;
  StoreReader& Reader;
  StoreSink& Sink;
  const BackendRegistry& Backends;
  Random& RandomSource;
  RankedTokenBucket Allowance;
  /// Daemons that are given pages, with the time of the last one.
  std::map<Endpoint, Time> Recipients;
  std::deque<Endpoint>
    FullViewPeers;     ///< Daemons that have whole views, newest last.
  std::string LastKey; ///< Pages up to here were taken.
  Time RequestedAt{};
  bool MayRetry = false; ///< Once for each question at a tick.
  Time StoreReadAt{}; ///< When pages are read from the store; zero: not begun.
  std::vector<OutgoingBackfillMessage> Outgoing;
  ViewBackfillCounters Counters;
};

} // namespace cobaltgauge::core
