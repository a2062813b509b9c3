/// @file
/// Peer communication of a token daemon: sends and receives the messages of
/// the view exchange, relay and backfill, and logs the resulting changes.
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

/// The view that peers update, and the objects that apply and read it.
struct SharedView
{
  core::TokenSteering& Steering;
  core::ViewUpdater& Updater;
  core::StoreReader& Reader;
  core::ChangeLog& Changes;
};

/** \class PeerLink
 * \brief Connects the peer protocols of the core to the cluster sockets.
 */
class PeerLink
{
public:
  /// Called after each received frame and at each tick, when the reader may
  /// have become active. `changed` is true if the view has changed.
  using Listener = std::function<void(core::Time now, bool changed)>;

  /// The objects in `view` and `random` must outlive the link.
  PeerLink(asio::io_context& context,
           const Settings& settings,
           const SharedView& view,
           core::Random& random,
           Listener listener);

  /// Opens the cluster sockets.
  /// \return false on failure; see GetLastReason().
  bool Open();
  const std::string& GetLastReason() const { return this->Peers.lastReason(); }

  /// Applies the seeds after the settings were loaded or reloaded.
  void SetSeeds(const Settings& settings);

  /// Applies the setting after it was loaded or reloaded.
  void SetLoadReports(bool enabled) { this->Load.SetEnabled(enabled); }

  void Start(core::Time now) { this->Exchange.start(now); }
  void OnTick(core::Time now);
  /// Must be called after the reader has processed a reply of the store.
  void OnStoreReply(core::Time now);
  /// Notifies the neighbors in the relay tree that groups are unreachable. A
  /// neighbor that confirms this notifies its own neighbors.
  void SendNotice(const core::UnreachableGroupsNotice& notice);
  /// Must be called after the process was suspended.
  void OnResume() { this->Relay.OnResume(); }
  /// Notifies the peers that this daemon is shutting down.
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
