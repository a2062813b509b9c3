/// @file
/// The daemon of token steering: connects the steering of the core to the data socket, the
/// configuration store, the peers and the admin interface. Single-threaded.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "core/placement/local_capacity_estimator.h"
#include "core/store_reader.h"
#include "core/token_steering.h"
#include "core/view_updater.h"
#include "daemon/backend_probes.h"
#include "daemon/packet_port.h"
#include "daemon/peers/peer_link.h"
#include "daemon/planned_stop.h"
#include "daemon/policy_weights.h"
#include "daemon/settings.h"
#include "daemon/settings_watch.h"
#include "daemon/store_link.h"
#include "daemon/system_random.h"
#include "daemon/token_metrics.h"
#include "daemon/view_log.h"
#include "net/http_server.h"
#include "net/store_protocol.h"

namespace cobaltgauge::daemon {

class TokenDaemon {
 public:
  /// @param commandLine contains the path of the settings file, which is reloaded when it changes.
  TokenDaemon(Settings settings, CommandLine commandLine);

  /// Opens all sockets. @return false on failure; see lastReason().
  bool open();
  /// Runs until a graceful shutdown is complete.
  void run();
  const std::string& lastReason() const { return lastReason_; }

 private:
  bool loadPolicy();
  /// Applies the settings that can change at run time, except the policy and the store address.
  void applySettings();
  bool isReady() const;
  net::HttpResponse readinessResponse(const std::string& path) const;
  net::HttpResponse adminResponse(const std::string& path) const;
  void onBatch(core::Time now);
  void onVerdict(const core::PacketSummary& packet, const core::Verdict& verdict, core::Time now);
  void onDrained(core::Time now);
  void onTick();
  void scheduleTick();
  void detectSuspension(core::Time now);
  void onStoreReply(const core::StoreRead& read, const core::StoreReply& reply,
                    core::Duration latency);
  void waitForSignal();
  /// Handles the effects of a peer message or tick on the view and the reader.
  void onPeerEvent(core::Time now, bool changed);
  /// Reprocesses packets that waited for the view, and resets flows whose backends are gone.
  void onViewChanged(core::Time now);
  void updateViewState(core::Time now);
  void onViewChange(const core::ViewChange& change);
  void onSignal(int signal);
  void beginStop();
  void reloadSettings(const char* cause);
  void connectStore();
  void stopIfDone(core::Time now);

  Settings settings_;
  SettingsWatch settingsWatch_;
  asio::io_context context_;
  SystemRandom random_;
  net::PlatformFormats formats_;
  PolicyWeights weights_;
  core::PriorityAdmission admission_;
  core::TokenSteering steering_;
  core::LocalCapacityEstimator localCapacity_;
  core::ChangeLog changes_;
  ViewLog viewLog_;
  core::ViewUpdater updater_;
  core::StoreReader reader_;
  PeerLink peers_;
  LatencyHistograms latencies_;
  PacketPort packets_;
  BackendProbes probes_;
  std::unique_ptr<StoreLink> store_;
  net::HttpServer readiness_;
  net::HttpServer admin_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  core::Time lastActive_{};
  core::Time nextSettingsCheck_{};
  PlannedStop stop_;
  bool storeReachable_ = true;
  std::string lastReason_;
};

}  // namespace cobaltgauge::daemon
