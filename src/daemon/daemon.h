/// @file
/// The daemon of recorded steering: connects the balancer core to the data and peer sockets, the
/// platform client and the admin server.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "configuration/configuration_json.h"
#include "core/balancer.h"
#include "daemon/admin_server.h"
#include "daemon/data_plane.h"
#include "daemon/metrics.h"
#include "daemon/platform_reader.h"
#include "daemon/settings.h"
#include "daemon/system_random.h"
#include "net/peer_transport.h"

namespace cobaltgauge::daemon {

class Daemon {
 public:
  explicit Daemon(Settings settings);

  /// Opens all sockets and starts the admin server and the platform reader.
  /// @return false on failure; see lastReason().
  bool open();
  /// Runs the event loop until a graceful shutdown is complete.
  void run();
  const std::string& lastReason() const { return lastReason_; }

 private:
  core::BalancerOptions balancerOptions() const;
  MetricSources sources() const { return {*balancer_, *data_, peers_}; }
  void onFrame(const net::ReceivedFrame& received);
  void onTick();
  void scheduleTick();
  void sendPendingMessages();
  void readPlatformIfDue(core::Time now);
  void onPlatformReadResult(PlatformReadResult readResult);
  void onSignal();
  void stopIfDone(core::Time now);
  void logChanges();
  AdminResponse handleAdminRequest(const AdminRequest& request);

  Settings settings_;
  asio::io_context context_;
  SystemRandom random_;
  configuration::JsonConfigurationCompiler compiler_;
  net::PeerTransport peers_;
  std::unique_ptr<core::Balancer> balancer_;
  std::unique_ptr<DataPlane> data_;
  std::unique_ptr<PlatformReader> reader_;
  std::unique_ptr<AdminServer> admin_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  core::Time nextRead_{};
  core::Time leavingSince_{};
  bool leaving_ = false;
  bool wasFenced_ = true;
  core::ConfigurationVersion loggedVersion_ = 0;
  std::string lastReason_;
  std::string loggedFailure_;
};

}  // namespace cobaltgauge::daemon
