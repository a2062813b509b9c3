/// @file
/// Lets a few daemons read the store and propagate its changes to the others.
/// See docs/design/005-view-relay.md.
///
/// A deterministic state machine that performs no I/O.  Invariants:
///  - The age of a view has a known upper bound regardless of network delay,
///    as it is measured by a round trip on the local clock.
///  - A daemon whose view may be older than its limit reads the store itself.
///  - Only a response of the store makes a view fresher; receiving one's own
///    view back from a peer does not.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/load/load_statistics.h"
#include "core/outlier/outlier_detector.h"
#include "core/random.h"
#include "core/relay/change_log.h"
#include "core/relay/fleet_size_estimator.h"
#include "core/relay/follower_leases.h"
#include "core/relay/peer_clocks.h"
#include "core/relay/relay_timing.h"
#include "core/relay/seed_group.h"
#include "core/relay/view_difference.h"
#include "core/store_reader.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

class FleetLoad;

struct OutgoingRelayMessage
{
  std::vector<Endpoint> Destinations;
  std::variant<ViewSubscription,
               ViewUpdate,
               OutlierReport,
               LoadReport,
               LoadSummary>
    Message;
};

/// Result of processing an update.
enum class UpdateOutcome : std::uint8_t
{
  kApplied,   ///< It changed the view.
  kConfirmed, ///< The view was up to date and is confirmed.
  kGap,       ///< The view lacks the base of the update.
  kUnusable,  ///< No view data, or of unknown age.
};

/// Counters of a ViewRelay; see docs/METRICS.md.
struct ViewRelayCounters
{
  std::uint64_t UpdatesSent = 0;
  std::uint64_t UpdatesApplied = 0;
  std::uint64_t Gaps = 0;
  std::uint64_t SubscriptionsSent = 0;
  std::uint64_t ReadsStarted = 0;
};

/** \class ViewRelay
 * \brief Elect the daemons that read the store, and propagate changes.
 *
 * Readers are ranked.  A reader that receives a fresh view of a reader with
 * higher priority, or whose own reads fail, stops reading and follows the
 * sender.  Seeds have priority over all other daemons, so that every daemon
 * can find the readers.  A follower subscribes to one daemon for the time of a
 * lease and receives each change, and a keepalive with each response of the
 * store.
 */
class ViewRelay
{
public:
  /// \param self where this daemon receives peer messages.
  /// All references outlive the relay.
  ViewRelay(const Endpoint& self,
            StoreReader& reader,
            StoreSink& sink,
            ChangeLog& log,
            OutlierDetector& outliers,
            Random& random);

  /// Set the view ages at which queries and reads begin.
  void SetTiming(const RelayTiming& timing);

  void SetSeeds(const std::vector<Endpoint>& seeds);

  /// \param peers other daemons that may be queried.
  void OnTick(const std::vector<Endpoint>& peers, Time now);

  /// Call after the reader processed a response of the store.
  void OnStoreReply(Time now);

  void OnSubscription(const ViewSubscription& subscription, Time now);
  UpdateOutcome OnUpdate(const ViewUpdate& update, Time now);

  /// Process the observations of another daemon; only seeds detect outliers.
  void OnOutlierReport(const OutlierReport& report, Time now);

  /// \param load receives load messages and provides those to send; outlives
  /// the relay.  May be null.
  void SetLoad(FleetLoad* load) { this->Load = load; }

  /// \param difference provides changes where the log does not reach back, and
  /// the size of the view; outlives the relay.
  void SetDifference(ViewDifference* difference)
  {
    this->Difference = difference;
  }
  void OnLoadReport(const LoadReport& report, Time now);
  void OnLoadSummary(const LoadSummary& summary, Time now);

  /// Take the backends that this daemon has detected as outliers, for logging.
  std::vector<BackendId> TakeDetectedOutliers();

  /// Call after the process was suspended, as the view may be stale.
  void OnResume();

  /// Notify the followers that this daemon stops.
  void Leave();

  std::vector<OutgoingRelayMessage> TakeMessages();

  /// Tell whether this daemon reads the store instead of following a peer.
  bool IsReading() const { return this->Reading; }
  bool IsSeed() const { return this->Seeds.IsSelfSeed(); }
  /// Get the seeds other than this daemon.
  const std::vector<Endpoint>& GetSeeds() const
  {
    return this->Seeds.GetOthers();
  }
  /// Get the daemon that this one follows, if any.
  const std::optional<Endpoint>& GetUpstream() const { return this->Upstream; }
  /// Get the estimated number of daemons; may be too high.
  std::uint32_t GetFleetSize(Time now) const
  {
    return this->Fleet.GetEstimate(now);
  }
  /// Get the followers and the upstream daemon.
  std::vector<Endpoint> GetNeighbors() const;
  std::size_t CountFollowers() const { return this->Followers.Count(); }
  const ViewRelayCounters& GetCounters() const { return this->Counters; }

private:
  bool ApplyUpdate(const ViewUpdate& update, Time now);
  void FollowSender(const ViewUpdate& update, Time now);
  void StopFollowing();
  void UpdateReaderActivity();
  /// Get the changes that a view complete up to `have` lacks, from the log or
  /// the view.
  std::optional<ChangeRange> GetChangesSince(Revision have) const;
  /// Adjust the reader's back-off to the state of the seeds and the store.
  void UpdateReaderBackoff(std::size_t peers, Time now);
  /// Get how long a view without history may wait for a peer's changes.
  Duration GetRelistDelay(Time now) const;
  /// Get the retry interval for use while the seeds fail to read the store.
  Duration GetRetryInterval(std::size_t peers) const;
  Duration GetReadThreshold() const;
  /// Start reading the store, since no peer provides a fresh view.
  void StartReading(std::size_t peers, Time now);
  /// Tell whether a stale first listing can be updated by a seed.
  bool CanCatchUpFromPeers() const;
  void QueryPeers(const std::vector<Endpoint>& peers, Time now);
  void QuerySeed(Time now);
  /// Select the closest of a few random daemons.
  const Endpoint& SelectNearbyPeer(const std::vector<Endpoint>& daemons);
  /// Request the changes that an update lacked, once for each revision.  A
  /// daemon without a complete view reads them from the store.
  void RequestMissingChanges(const Endpoint& sender, Time now);
  void SendSubscription(const Endpoint& destination, Time now);
  ViewUpdate MakeUpdate(Revision have, Time now) const;
  /// Push an update if there are changes or a keepalive is due.
  void PushIfChanged(Time now);
  void PushUpdate(Time now);
  void ReportOutliers(Time now);
  bool IsOutlierAuthority(const Endpoint& sender) const;
  /// Send due load messages to the upstream daemon and the followers.
  void ShareLoad(const std::vector<Endpoint>& peers, Time now);
  void SendLoad(Time now);

  Endpoint Self;
  StoreReader& Reader;
  StoreSink& Sink;
  ChangeLog& Log;
  OutlierDetector& Outliers;
  Random& RandomSource;
  SeedGroup Seeds;
  std::vector<Endpoint> Referrals;
  RelayTiming Timing;
  std::uint64_t OwnRank = 0;
  std::uint64_t ViewRank = 0; ///< Of the reader that last confirmed the view.
  bool Reading = true;
  bool ReadRequested = false; ///< One read, even while following a peer.
  bool Leaving = false;
  std::optional<Endpoint> Upstream;
  FollowerLeases Followers;
  FleetSizeEstimator Fleet;
  PeerClocks Clocks;
  FleetLoad* Load = nullptr;
  ViewDifference* Difference = nullptr;
  Time NextQueryAt{};
  Time MissingRequestedAt{};
  Revision MissingRequestedFrom = 0;
  Time LastConfirmedAt{};
  Time LastPushConfirmedAt{};
  Revision LastPushedRevision = 0;
  std::vector<BackendId> DetectedOutliers;
  std::vector<OutgoingRelayMessage> Outgoing;
  ViewRelayCounters Counters;
};

} // namespace cobaltgauge::core
