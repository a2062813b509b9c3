/// @file
/// Simulation of network, fabric, platform, daemons, backends and clients in virtual time. Runs the
/// core of the daemon and records a history for the history checker.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/peer_codec.h"
#include "sim/caching_compiler.h"
#include "sim/event_queue.h"
#include "sim/history_checker.h"
#include "sim/scenario.h"
#include "sim/seeded_random.h"
#include "sim/simulated_backend.h"
#include "sim/simulated_client.h"
#include "sim/simulated_daemon.h"
#include "sim/simulated_platform.h"

namespace cobaltgauge::sim {

/// Statistics of one run.
struct RunResult {
  CheckerReport report;
  std::vector<Event> history;
  /// Maximum over mean sessions per backend at the end, by service. Draining backends are excluded.
  std::map<std::string, double> finalImbalance;
  double queueDelayP99Ms = 0;
  double controlBytesPerSecond = 0;                  ///< Sent, mean per daemon.
  double controlMessagesPerSecond = 0;               ///< Sent, mean per daemon.
  std::map<std::string, double> controlBytesByKind;  ///< Sent, per second, mean per daemon.
  double cpuUsage = 0;        ///< CPU seconds per second and daemon, including the simulator's own.
  double flowStateBytes = 0;  ///< Mean per daemon at the end.
  std::map<std::string, std::uint64_t> drops;
  std::vector<std::string> trace;  ///< One line per routing decision of the traced session.
  std::uint64_t events = 0;
  std::uint64_t packetsToPeers = 0;
  std::uint64_t packetsToBackends = 0;
};

class Simulation {
 public:
  explicit Simulation(const Scenario& scenario);

  /// Runs the scenario and checks its history.
  RunResult run();

 private:
  using DaemonPtr = std::shared_ptr<SimulatedDaemon>;

  // Setup (simulation.cc).
  void buildServices();
  void buildClients();
  DaemonPtr startDaemon(const std::string& zone);
  SimulatedBackend& startBackend(ListedService& service, const ListedBackend& backend);

  // Traffic (simulation_traffic.cc).
  void tickDaemon(const DaemonPtr& daemon);
  void readPlatform(const DaemonPtr& daemon);
  void onClientPacket(const WorkRequest& request);
  void executeVerdict(const DaemonPtr& daemon, const core::Verdict& verdict,
                      const WorkRequest& request, core::MemberId ingress);
  void flush(const DaemonPtr& daemon);
  void transmit(const std::string& fromZone, const std::string& toZone,
                const std::function<void()>& arrive);
  void sendResponse(std::size_t client, const std::string& fromZone, const WorkResponse& response);
  DaemonPtr findByControl(const core::Endpoint& control) const;
  bool isPartitioned(const std::string& a, const std::string& b) const;
  core::Duration delayBetween(const std::string& a, const std::string& b) const;

  // Tracing (simulation_trace.cc).
  void trace(const SimulatedDaemon& daemon, const core::Verdict& verdict,
             const WorkRequest& request);
  std::string describe(const core::Verdict& verdict) const;
  std::string backendName(const core::Balancer& balancer, core::BackendId id) const;

  // Faults and operator actions (simulation_faults.cc).
  void applyFault(const FaultSpec& fault);
  void applyDaemonFault(const FaultSpec& fault);
  void applyOperatorAction(const FaultSpec& fault);
  void drainBackend(const std::string& name);
  void addBackend(const std::string& serviceName);
  void removeBackend(const std::string& name);
  void reuseAddress(const std::string& name);
  void publish();
  DaemonPtr findDaemon(const std::string& name) const;

  void beginMeasurement();
  void summarizeControl(RunResult& result) const;
  void record(EventKind kind, const std::string& actor, const std::string& detail);
  void record(Event event) { history_.push_back(std::move(event)); }
  RunResult summarize();

  Scenario scenario_;
  EventQueue queue_;
  SeededRandom random_;
  CachingCompiler compiler_;
  net::PeerCodec codec_;
  SimulatedPlatform platform_;
  std::vector<DaemonPtr> daemons_;
  std::map<core::Endpoint, DaemonPtr> daemonsByControl_;
  std::vector<std::unique_ptr<SimulatedBackend>> backends_;
  std::map<core::Endpoint, SimulatedBackend*> backendsByEndpoint_;
  std::vector<std::unique_ptr<SimulatedClient>> clients_;
  std::map<std::string, std::string> regions_;
  std::set<std::string> partitionedZones_;
  std::vector<Event> history_;
  std::map<std::string, std::uint64_t> drops_;
  std::vector<std::string> trace_;
  core::Time measurementStart_{};
  double cpuSecondsAtStart_ = 0;
  std::uint64_t packetsToPeers_ = 0;
  std::uint64_t packetsToBackends_ = 0;
  std::uint32_t nextDaemonNumber_ = 1;
  std::uint32_t nextBackendNumber_ = 1;
};

}  // namespace cobaltgauge::sim
