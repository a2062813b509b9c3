/// @file
/// Backfills a sampled view with the missing backends.  See
/// docs/design/012-whole-fleet.md.
///
/// A daemon that starts in a large fleet begins with a sample of the backends
/// and places flows by it.  The others arrive in pages from peers that have
/// full views.  A daemon that received the last page serves pages itself, and
/// peers that cannot serve name others that can, as in a gossip protocol: the
/// time to fill all views grows with the logarithm of the fleet size, and few
/// daemons read the store.
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
  /// Requests of peers that were not served.
  std::uint64_t RequestsRefused = 0;
  std::uint64_t StalePages = 0; ///< Pages older than the base of this view.
};

/// Peers that a ViewBackfill may query.
struct BackfillPeers
{
  std::vector<Endpoint> Known; ///< All known peers.
  std::vector<Endpoint> Near;  ///< The upstream daemon, if any.
  std::vector<Endpoint> Seeds; ///< Seeds other than this daemon.
  bool IsSeed = false;         ///< This daemon is a seed.
  /// Estimated number of daemons; may be too high.
  std::uint32_t FleetSize = 1;
};

/** \class ViewBackfill
 * \brief Get the missing backends from peers, or else from the store.
 */
class ViewBackfill
{
public:
  /// \param self where this daemon receives peer messages.
  /// All references outlive the object.
  ViewBackfill(const Endpoint& self,
               StoreReader& reader,
               StoreSink& sink,
               const BackendRegistry& backends,
               Random& random);

  /// Tell whether the view is usable but lacks backends.  Otherwise ticks have
  /// no effect.
  bool IsNeeded() const
  {
    return this->Reader.isSynchronized() && !this->Reader.hasAllBackends();
  }

  void OnTick(const BackfillPeers& peers, Time now);
  void OnRequest(const ViewPageRequest& request, Time now);
  /// \return whether backends were added to the view.
  bool OnPage(const ViewPage& page, Time now);

  std::vector<OutgoingBackfillMessage> TakeMessages();
  const ViewBackfillCounters& GetCounters() const { return this->Counters; }

private:
  /// Tell whether a page may be sent now.
  bool CanServe(const ViewPageRequest& request, Time now);
  /// Tell whether a peer with a full view is closer to `peer` than this
  /// daemon.
  bool KnowsCloserPeer(const Endpoint& peer) const;
  /// Select a peer that is known to have a full view; there has to be one.
  const Endpoint& SelectFullViewPeer();
  void ServePage(const ViewPageRequest& request, ViewPage& page, Time now);
  void ScheduleStoreRead(const BackfillPeers& peers, Time now);
  void SendRequest(const Endpoint& peer, Time now);
  /// Select a daemon to query; this daemon if no peer is known.
  Endpoint SelectPeer(const BackfillPeers& peers);
  void ApplyPage(const ViewPage& page, Time now);
  void AddFullViewPeer(const Endpoint& peer);

  Endpoint Self;
  StoreReader& Reader;
  StoreSink& Sink;
  const BackendRegistry& Backends;
  Random& RandomSource;
  AdmissionTokenBucket PageRateLimiter;
  /// Peers that are being sent pages, with the time of the last page.
  std::map<Endpoint, Time> Recipients;
  /// Daemons that have full views, newest last.
  std::deque<Endpoint> FullViewPeers;
  std::string LastKey; ///< Pages up to this key were applied.
  Time RequestedAt{};
  bool MayRetry = false; ///< Allows one immediate retry per tick.
  /// When to read pages from the store; zero: not scheduled.
  Time StoreReadAt{};
  std::vector<OutgoingBackfillMessage> Outgoing;
  ViewBackfillCounters Counters;
};

} // namespace cobaltgauge::core
