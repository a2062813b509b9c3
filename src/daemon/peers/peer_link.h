/// @file
/// A token daemon's conversation with its peers: carries the messages of the
/// view exchange and the view relay, and logs what they change.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "core/load/fleet_load.h"
#include "core/outlier/outlier_detector.h"
#include "core/relay/view_backfill.h"
#include "core/relay/view_relay.h"
#include "core/token_steering.h"
#include "core/view_exchange.h"
#include "core/view_updater.h"
#include "daemon/settings.h"
#include "net/peer_transport.h"

namespace cobaltgauge::daemon {

/// The view that peers bring up to date, and what it is read by.
struct SharedView
{
  core::TokenSteering& Steering;
  core::ViewUpdater& Updater;
  core::StoreReader& Reader;
  core::ChangeLog& Changes;
};

/** \class PeerLink
 * \brief Connect the core's peer protocols to the cluster's sockets.
 */
class PeerLink
{
public:
  /// Called after a peer was heard and at each tick: the reader may have
  /// become active, and with `changed` the view is another.
  using Listener = std::function<void(core::Time now, bool changed)>;

  /// \param view and `random` outlive the link.
  PeerLink(asio::io_context& context,
           const Settings& settings,
           const SharedView& view,
           core::Random& random,
           Listener listener);

  /// Open the cluster's sockets.
  /// \return false on failure; see GetLastReason().
  bool Open();
  const std::string& GetLastReason() const { return this->Peers.lastReason(); }

  /// Take the seeds of the settings, which may have changed.
  void SetSeeds(const Settings& settings);

  /// Take the setting, which may have changed.
  void SetLoadReports(bool enabled) { this->Load.SetEnabled(enabled); }

  void Start(core::Time now) { this->Exchange.start(now); }
  void OnTick(core::Time now);
  /// Call after the reader took an answer of the store.
  void OnStoreReply(core::Time now);
  /// Tell the daemons next to this one that groups were found silent; each
  /// that finds the same passes it on.
  void SendNotice(const core::UnreachableGroupsNotice& notice);
  /// Call after the process was suspended.
  void OnResume() { this->Relay.OnResume(); }
  /// Tell the peers that this daemon stops.
  void Leave();

  const core::ViewExchange& GetExchange() const { return this->Exchange; }
  const core::ViewRelay& GetRelay() const { return this->Relay; }
  const core::ViewBackfill& GetBackfill() const { return this->Backfill; }
  const net::PeerTransportCounters& GetTransportCounters() const
  {
    return this->Peers.counters();
  }
  core::LoadMeter& GetLoadMeter() { return this->Meter; }
  const core::FleetLoad& GetLoad() const { return this->Load; }
  core::OutlierDetector& GetOutliers() { return this->Outliers; }
  const core::OutlierDetector& GetOutliers() const { return this->Outliers; }

private:
  void OnFrame(const net::ReceivedFrame& received);
  bool ApplyTransfer(const core::ViewTransfer& transfer, core::Time now);
  bool ApplyUpdate(const core::ViewUpdate& update, core::Time now);
  void BackfillView(core::Time now);
  void LogUpstream(core::Time now);
  void LogOutliers();
  void LogLoad();
  void Send();

  core::Endpoint Self;
  SharedView View;
  Listener OnPeerEvent;
  core::ViewExchange Exchange;
  core::OutlierDetector Outliers;
  core::LoadMeter Meter;
  core::FleetLoad Load;
  core::ViewDifference Difference;
  core::ViewRelay Relay;
  core::ViewBackfill Backfill;
  net::PeerTransport Peers;
  std::optional<core::Endpoint> LoggedUpstream;
};

} // namespace cobaltgauge::daemon
