/// @file
/// Lets few daemons read the store and the others follow them.  See
/// docs/design/005-view-relay.md.
///
/// A deterministic state machine without input or output.  Invariants:
///  - A daemon knows how old its view can be at most, whatever was delayed:
///    the age is bounded by a round trip on its own clock.
///  - A daemon whose view may be older than its limit reads the store itself.
///  - A view that came from a daemon never counts as fresher because it came
///    back to it: only an answer of the store makes a view fresh.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/load/load_statistics.h"
#include "core/outlier/outlier_detector.h"
#include "core/random.h"
#include "core/relay/change_log.h"
#include "core/relay/fleet_count.h"
#include "core/relay/follower_leases.h"
#include "core/relay/peer_clocks.h"
#include "core/relay/relay_timing.h"
#include "core/relay/seed_group.h"
#include "core/relay/view_difference.h"
#include "core/store_reader.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

class FleetLoad;

/// One message on its way to some peers.
struct OutgoingRelay
{
  std::vector<Endpoint> Destinations;
  std::variant<ViewSubscription,
               ViewUpdate,
               OutlierReport,
               LoadReport,
               LoadSummary>
    Message;
};

/// What became of an update.
enum class UpdateOutcome : std::uint8_t
{
  kTaken,     ///< It changed the view.
  kConfirmed, ///< The view was up to date; its age is known anew.
  kGap,       ///< The view lacks what the update builds on.
  kUnusable,  ///< It says nothing about the view, or its age is unknown.
};

/// Counters of a ViewRelay; see docs/METRICS.md.
struct ViewRelayCounters
{
  std::uint64_t UpdatesSent = 0;
  std::uint64_t UpdatesTaken = 0;
  std::uint64_t Gaps = 0;
  std::uint64_t SubscriptionsSent = 0;
  std::uint64_t ReadingBegan = 0;
};

/** \class ViewRelay
 * \brief Decide who reads the store, and pass changes on.
 *
 * Readers are ranked; a reader that hears a fresh view of one that ranks
 * before it, or that the store fails, stops reading and follows.  Seeds rank
 * before all others, so that everyone can find the readers.  A follower
 * subscribes to one daemon for a lease and gets each change, and a sign of
 * life with each answer of the store.
 */
class ViewRelay
{
public:
  /// \param self where this daemon takes peer messages.
  /// All references outlive the relay.
  ViewRelay(const Endpoint& self,
            StoreReader& reader,
            StoreSink& sink,
            ChangeLog& log,
            OutlierDetector& outliers,
            Random& random);

  /// Set how old a view may get before each step is taken.
  void SetTiming(const RelayTiming& timing);

  /// Name the daemons that everyone knows of.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  /// \param peers other daemons that may be asked.
  void OnTick(const std::vector<Endpoint>& peers, Time now);

  /// Call after the reader took an answer of the store.
  void OnStoreAnswer(Time now);

  void OnSubscription(const ViewSubscription& subscription, Time now);
  UpdateOutcome OnUpdate(const ViewUpdate& update, Time now);

  /// Take what another daemon has observed; seeds decide by it.
  void OnReport(const OutlierReport& report, Time now);

  /// \param load told of the tree of followers, and what it tells is passed
  /// on; outlives the relay.  Null: none.
  void SetLoad(FleetLoad* load) { this->Load = load; }

  /// \param difference tells what followers lack where the log does not
  /// reach back, and of a view of how many back ends; outlives the relay.
  void SetDifference(ViewDifference* difference)
  {
    this->Difference = difference;
  }
  void OnLoadReport(const LoadReport& report, Time now);
  void OnLoadSummary(const LoadSummary& summary, Time now);

  /// Take the back ends that this daemon has found to be outliers, for logs.
  std::vector<BackendId> TakeFoundOutliers();

  /// Call after the process was suspended: its view may be old.
  void OnResume();

  /// Tell the followers to look for another daemon; this one stops.
  void Leave();

  std::vector<OutgoingRelay> TakeMessages();

  /// Tell whether this daemon reads the store rather than follow a peer.
  bool IsReading() const { return this->Reading; }
  /// Tell whether this daemon is one that everyone knows of.
  bool IsSeed() const { return this->Seeds.IsSelfSeed(); }
  /// Get the others that everyone knows of.
  const std::vector<Endpoint>& GetSeeds() const
  {
    return this->Seeds.GetOthers();
  }
  /// Get the daemon that is followed, if any.
  const std::optional<Endpoint>& GetUpstream() const { return this->Upstream; }
  /// Get how many daemons there are; errs high.
  std::uint32_t CountFleet(Time now) const { return this->Fleet.Get(now); }
  /// Get the daemons that follow this one, and the one that it follows.
  std::vector<Endpoint> GetNeighbours() const;
  std::size_t CountFollowers() const { return this->Followers.Count(); }
  const ViewRelayCounters& GetCounters() const { return this->Counters; }

private:
  bool Apply(const ViewUpdate& update, Time now);
  void Follow(const ViewUpdate& update, Time now);
  void StopFollowing();
  void ActivateReader();
  /// Tell what a view complete up to `have` lacks, by the log or by the view.
  std::optional<ChangeExcerpt> GetChangesSince(Revision have) const;
  /// Let the reader rest while seeds try a store that fails.
  void CoverReader(std::size_t peers, Time now);
  /// Get how long a view without history waits at most for a peer's changes.
  Duration GetListPause(Time now) const;
  /// Get how long to leave between tries while seeds read in vain.
  Duration GetTrySpan(std::size_t peers) const;
  Duration GetReadLimit() const;
  /// Read the store from now on, since no peer's view is fresh.
  void BeginReading(std::size_t peers, Time now);
  /// Tell whether a stale first listing can wait for a seed.
  bool MayCatchUpByPeers() const;
  void Ask(const std::vector<Endpoint>& peers, Time now);
  void AskSeed(Time now);
  /// Draw a daemon that is near, as far as a few draws give one.
  const Endpoint& DrawNear(const std::vector<Endpoint>& daemons);
  /// Ask for what an update left out, once for each revision; a daemon that
  /// has no whole view yet reads it from the store.
  void AskForMissing(const Endpoint& sender, Time now);
  void Subscribe(const Endpoint& destination, Time now);
  ViewUpdate Describe(Revision have, Time now) const;
  /// Tell the followers, where there is something to tell.
  void PushNews(Time now);
  void Push(Time now);
  void ReportOutliers(Time now);
  bool IsDecider(const Endpoint& sender) const;
  /// Tell the daemon that is followed, and the followers, what is due.
  void ShareLoad(const std::vector<Endpoint>& peers, Time now);
  void SendLoad(Time now);

  Endpoint Self;
  StoreReader& Reader;
  StoreSink& Sink;
  ChangeLog& Log;
  OutlierDetector& Outliers;
  Random& RandomSource;
  SeedGroup Seeds;
  std::vector<Endpoint> Referred;
  RelayTiming Timing;
  std::uint64_t OwnRank = 0;
  std::uint64_t ViewRank = 0; ///< Of the reader that confirmed the view last.
  bool Reading = true;
  bool ReadWanted = false; ///< Once, though a peer is followed.
  bool Leaving = false;
  std::optional<Endpoint> Upstream;
  FollowerLeases Followers;
  FleetCount Fleet;
  PeerClocks Clocks;
  FleetLoad* Load = nullptr;
  ViewDifference* Difference = nullptr;
  Time NextAskAt{};
  Time MissingAskedAt{};
  Revision MissingAskedFrom = 0;
  Time LastConfirmed{};
  Time LastPushConfirmed{};
  Revision LastPushed = 0;
  std::vector<BackendId> FoundOutliers;
  std::vector<OutgoingRelay> Outgoing;
  ViewRelayCounters Counters;
};

} // namespace cobaltgauge::core
