#include "sim/fault_generator.h"

#include <algorithm>

#include "sim/seeded_random.h"

namespace cobaltgauge::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Time kFirstFaultTime = seconds(10);
constexpr core::Duration kFaultFreeEnd = seconds(5);

class Generator {
 public:
  Generator(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
    std::uint32_t number = 1;
    for (const ZoneSpec& zone : scenario.zones) {
      for (std::size_t i = 0; i < zone.daemons; ++i) {
        daemons_.push_back(zone.name + "-lb-" + std::to_string(number++));
      }
    }
  }

  std::vector<FaultSpec> run() {
    core::Time at = kFirstFaultTime;
    while (at < scenario_.duration - kFaultFreeEnd) {
      addRandomFault(at);
      at += random_.between(milliseconds(500), milliseconds(5000));
    }
    std::stable_sort(faults_.begin(), faults_.end(),
                     [](const FaultSpec& a, const FaultSpec& b) { return a.at < b.at; });
    return std::move(faults_);
  }

 private:
  void add(core::Time at, FaultKind kind, const std::string& target = {}) {
    faults_.push_back({at, kind, target});
  }

  const std::string& pick(const std::vector<std::string>& items) {
    return items[random_.below(items.size())];
  }

  std::string pickZone() { return scenario_.zones[random_.below(scenario_.zones.size())].name; }

  std::string pickBackend() {
    const ServiceSpec& service = scenario_.services[random_.below(scenario_.services.size())];
    return service.name + "-" + std::to_string(1 + random_.below(service.backends));
  }

  core::Time recoveryTime(core::Time at) { return at + random_.between(seconds(1), seconds(8)); }

  void addDaemonLoss(core::Time at, FaultKind kind) {
    constexpr std::size_t kMinDaemons = 3;
    if (daemons_.size() <= kMinDaemons) {
      return;
    }
    const std::string daemon = pick(daemons_);
    std::erase(daemons_, daemon);
    add(at, kind, daemon);
    // The replacement joins a random zone; the simulation assigns its name.
    add(recoveryTime(at), FaultKind::kJoinDaemon, pickZone());
  }

  void addRandomFault(core::Time at) {
    constexpr std::uint64_t kChoices = 12;
    switch (random_.below(kChoices)) {
      case 0:
        addDaemonLoss(at, FaultKind::kKillDaemon);
        break;
      case 1:
        addDaemonLoss(at, FaultKind::kStopDaemon);
        break;
      case 2: {
        const std::string daemon = pick(daemons_);
        add(at, FaultKind::kSuspendDaemon, daemon);
        add(recoveryTime(at), FaultKind::kResumeDaemon, daemon);
        break;
      }
      case 3:
        if (!zonePartitioned_) {
          zonePartitioned_ = true;
          const std::string zone = pickZone();
          add(at, FaultKind::kPartitionZone, zone);
          add(recoveryTime(at), FaultKind::kRecoverZone, zone);
        }
        break;
      case 4:
      case 5: {
        const std::string backend = pickBackend();
        add(at, FaultKind::kDrainBackend, backend);
        add(at + seconds(12), FaultKind::kRemoveBackend, backend);
        break;
      }
      case 6: {
        const std::string backend = pickBackend();
        add(at, FaultKind::kDrainBackend, backend);
        add(at + seconds(28), FaultKind::kReuseAddress, backend);
        break;
      }
      case 7:
      case 8:
        add(at, FaultKind::kAddBackend,
            scenario_.services[random_.below(scenario_.services.size())].name);
        break;
      case 9:
        add(at, FaultKind::kReplacePolicy,
            scenario_.services[random_.below(scenario_.services.size())].name);
        break;
      case 10:
        add(at, FaultKind::kPlatformDown);
        add(recoveryTime(at), FaultKind::kPlatformUp);
        break;
      default:
        add(at, FaultKind::kPlatformStale);
        add(recoveryTime(at), FaultKind::kPlatformUp);
        break;
    }
  }

  const Scenario& scenario_;
  SeededRandom random_;
  std::vector<std::string> daemons_;
  std::vector<FaultSpec> faults_;
  bool zonePartitioned_ = false;
};

}  // namespace

std::vector<FaultSpec> generateFaults(const Scenario& scenario, std::uint64_t seed) {
  return Generator(scenario, seed).run();
}

}  // namespace cobaltgauge::sim
