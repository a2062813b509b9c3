#include "sim/scenario.h"

#include <array>

namespace cobaltgauge::sim {
namespace {

constexpr std::array<const char*, 16> kFaultNames{
    "kill_daemon",    "stop_daemon", "join_daemon",    "freeze_daemon",
    "wake_daemon",    "cut_zone",    "heal_zone",      "drain_backend",
    "remove_backend", "add_backend", "reuse_address",  "replace_policy",
    "platform_down",  "platform_up", "platform_stale", "platform_race"};

ServiceSpec makeService(const char* name, std::size_t backends, std::size_t sessions) {
  ServiceSpec service;
  service.name = name;
  service.backends = backends;
  service.sessions = sessions;
  return service;
}

/// Five daemons in three zones of one region; 15 backends for the first service, 4 for the second.
Scenario makeDeployment(const char* name, const char* region, const std::string& zonePrefix,
                        std::array<const char*, 2> services, core::Duration clientDelay) {
  Scenario scenario;
  scenario.name = name;
  scenario.zones = {
      {zonePrefix + "1", region, 2}, {zonePrefix + "2", region, 2}, {zonePrefix + "3", region, 1}};
  scenario.services = {makeService(services[0], 15, 300), makeService(services[1], 4, 40)};
  scenario.network.client = clientDelay;
  return scenario;
}

}  // namespace

const char* toString(FaultKind kind) { return kFaultNames[static_cast<std::size_t>(kind)]; }

std::optional<FaultKind> faultKindFromName(const std::string& name) {
  for (std::size_t i = 0; i < kFaultNames.size(); ++i) {
    if (name == kFaultNames[i]) {
      return static_cast<FaultKind>(i);
    }
  }
  return std::nullopt;
}

Scenario cascadiaScenario() {
  return makeDeployment("cascadia", "west", "hall-", {"rate-watch", "packet"},
                        std::chrono::milliseconds(1));
}

Scenario pohjatiibScenario() {
  return makeDeployment("pohjatiib", "tallinn", "site-", {"desk", "manifest"},
                        std::chrono::milliseconds(3));
}

}  // namespace cobaltgauge::sim
