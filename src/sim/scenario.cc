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
  Scenario scenario;
  scenario.name = "cascadia";
  scenario.zones = {{"hall-1", "west", 2}, {"hall-2", "west", 2}, {"hall-3", "west", 1}};
  scenario.services = {makeService("rate-watch", 15, 300), makeService("packet", 4, 40)};
  scenario.network.caller = std::chrono::milliseconds(1);
  return scenario;
}

Scenario pohjatiibScenario() {
  Scenario scenario;
  scenario.name = "pohjatiib";
  scenario.zones = {{"site-1", "tallinn", 2}, {"site-2", "tallinn", 2}, {"site-3", "tallinn", 1}};
  scenario.services = {makeService("desk", 15, 300), makeService("manifest", 4, 40)};
  scenario.network.caller = std::chrono::milliseconds(3);
  return scenario;
}

}  // namespace cobaltgauge::sim
