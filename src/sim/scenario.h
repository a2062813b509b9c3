/// @file
/// Description of one simulated run: fleet, workload, network, faults, design and seed.
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

/// One service with its back ends and the sessions that use it.
struct ServiceSpec {
  std::string name;
  core::Protocol protocol = core::Protocol::kUdp;
  std::size_t backends = 15;
  std::size_t sessions = 300;
  std::size_t slots = 2;
  std::size_t maxSessions = 2000;
  core::Duration serviceTime = std::chrono::milliseconds(2);
  core::Duration warmUpTime = std::chrono::seconds(2);  ///< Executions take four times as long.
  core::Duration requestInterval = std::chrono::milliseconds(1000);  ///< Mean, per session.
  core::Duration sessionLifetime{0};  ///< Mean; zero: sessions stay open for the whole run.
  std::size_t fetchPercent = 20;      ///< Share of requests that fetch a large answer.
  std::string policy;                 ///< Lua; empty means "equal weights".
};

struct NetworkSpec {
  core::Duration sameZone = std::chrono::microseconds(200);
  core::Duration crossZone = std::chrono::microseconds(1500);
  core::Duration crossRegion = std::chrono::milliseconds(30);
  core::Duration client = std::chrono::milliseconds(1);  ///< Between clients and the fabric.
  core::Duration jitter = std::chrono::microseconds(500);
  std::uint64_t lossPermille = 1;
  std::uint64_t duplicatePermille = 1;
};

enum class FaultKind : std::uint8_t {
  kKillDaemon,     ///< target: daemon
  kStopDaemon,     ///< planned stop; target: daemon
  kJoinDaemon,     ///< target: zone
  kSuspendDaemon,  ///< target: daemon
  kResumeDaemon,   ///< target: daemon
  kPartitionZone,  ///< target: zone; nothing crosses its border
  kRecoverZone,    ///< target: zone
  kDrainBackend,   ///< target: back end
  kRemoveBackend,  ///< target: back end; only after it was drained
  kAddBackend,     ///< target: service
  kReuseAddress,   ///< target: back end, drained; its address goes to the next service
  kReplacePolicy,  ///< target: service
  kPlatformDown,
  kPlatformUp,
  kPlatformStale,  ///< Serves the first version again.
  kPlatformRace,   ///< Two contents under the next version, each to half of the readers.
};

/// @return the name used in scenario files, for instance "kill_daemon".
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
  core::Duration platformLag{0};
  core::Duration platformPoll = std::chrono::milliseconds(500);
  core::Duration fabricLag = std::chrono::milliseconds(500);  ///< Until it notices a dead daemon.
  core::Duration measurementStart{0};  ///< Control traffic and processor time count from here.
  std::size_t flowTableEntries = 1U << 16U;  ///< Of each daemon.
  std::string traceSession;  ///< Every decision about this session's packets is explained.
  core::Duration shutdownDelay = std::chrono::milliseconds(1500);  ///< Of a planned stop.
};

/// Cascadia Quote Desk: three halls in one region, rate-watch and packets.
Scenario cascadiaScenario();

/// Põhjatiib: three Tallinn sites, desk and manifests.
Scenario pohjatiibScenario();

}  // namespace cobaltgauge::sim
