/// @file
/// Parameters of a simulated run: daemons, workload, network, faults, design and seed.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/types.h"
#include "sim/packet_router.h"

namespace cobaltgauge::sim {

struct ZoneSpec {
  std::string name;
  std::string region = "default";
  std::size_t daemons = 2;
};

/// A service with its backends and client sessions.
struct ServiceSpec {
  std::string name;
  core::Protocol protocol = core::Protocol::kUdp;
  std::size_t backends = 15;
  std::size_t sessions = 300;
  std::size_t slots = 2;           ///< Concurrent executions per backend.
  std::size_t maxSessions = 2000;  ///< Per backend.
  core::Duration serviceTime = std::chrono::milliseconds(2);
  core::Duration warmUpTime = std::chrono::seconds(2);  ///< Executions take four times as long.
  core::Duration requestInterval = std::chrono::milliseconds(1000);  ///< Mean, per session.
  core::Duration sessionLifetime{0};  ///< Mean; zero means until the end of the run.
  std::size_t fetchPercent = 20;      ///< Share of requests that fetch a large response.
  std::string policy;                 ///< Lua source; empty means equal weights.
};

/// One-way network delays, and rates of packet loss and duplication.
struct NetworkSpec {
  core::Duration sameZone = std::chrono::microseconds(200);
  core::Duration crossZone = std::chrono::microseconds(1500);
  core::Duration crossRegion = std::chrono::milliseconds(30);
  core::Duration client = std::chrono::milliseconds(1);  ///< Clients to fabric, one way.
  core::Duration jitter = std::chrono::microseconds(500);
  std::uint64_t lossPermille = 1;
  std::uint64_t duplicatePermille = 1;
};

enum class FaultKind : std::uint8_t {
  kKillDaemon,     ///< target: daemon
  kStopDaemon,     ///< graceful shutdown; target: daemon
  kJoinDaemon,     ///< target: zone
  kSuspendDaemon,  ///< target: daemon
  kResumeDaemon,   ///< target: daemon
  kPartitionZone,  ///< target: zone; drops all its traffic to and from other zones
  kRecoverZone,    ///< target: zone
  kDrainBackend,   ///< target: backend
  kRemoveBackend,  ///< target: drained backend
  kAddBackend,     ///< target: service
  kReuseAddress,   ///< target: drained backend; another service reuses its address
  kReplacePolicy,  ///< target: service
  kPlatformDown,
  kPlatformUp,
  kPlatformStale,  ///< Serves the first published version.
  kPlatformRace,   ///< Publishes two contents of one version, each read by half of the daemons.
};

/// @return the name used in scenario files, e.g. "kill_daemon".
const char* toString(FaultKind kind);
std::optional<FaultKind> faultKindFromName(const std::string& name);

struct FaultSpec {
  core::Time at{};
  FaultKind kind = FaultKind::kKillDaemon;
  std::string target;
};

struct Scenario {
  std::string name = "unnamed";
  std::uint64_t seed = 1;
  Variant variant = Variant::kCobaltgauge;
  core::Duration duration = std::chrono::seconds(60);
  std::vector<ZoneSpec> zones;
  std::vector<ServiceSpec> services;
  NetworkSpec network;
  std::vector<FaultSpec> faults;
  core::Duration platformLag{0};  ///< Until a published version can be read.
  core::Duration platformPoll = std::chrono::milliseconds(500);
  core::Duration fabricLag = std::chrono::milliseconds(500);  ///< Until it detects a failed daemon.
  core::Duration measurementStart{0};  ///< Start of the control traffic and CPU time measurement.
  std::size_t flowTableEntries = 1U << 16U;  ///< Per daemon.
  std::string traceSession;                  ///< Session whose routing decisions are traced.
  core::Duration shutdownDelay = std::chrono::milliseconds(1500);  ///< Minimum for a stop.
};

/// Three zones in one region with 1 ms between clients and the fabric.
Scenario cascadiaScenario();

/// Three zones in one region with 3 ms between clients and the fabric.
Scenario pohjatiibScenario();

}  // namespace cobaltgauge::sim
