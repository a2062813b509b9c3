/// @file
/// Entry point of cobaltgauge-sim.
#include <iostream>
#include <string>
#include <vector>

#include "sim/fault_generator.h"
#include "sim/history_checker.h"
#include "sim/world.h"

namespace {

using namespace cobaltgauge::sim;

constexpr int kUsageError = 2;

int checkFiles(const std::vector<std::string>& paths) {
  HistoryReader reader;
  std::vector<Event> events;
  for (const std::string& path : paths) {
    const auto read = reader.readFile(path);
    if (!read) {
      std::cerr << "cobaltgauge-sim: " << reader.lastReason() << "\n";
      return kUsageError;
    }
    events.insert(events.end(), read->begin(), read->end());
  }
  const CheckerReport report = checkHistory(std::move(events), CheckerBounds{});
  std::cout << formatReport(report);
  return report.ok() ? 0 : 1;
}

int trial(std::uint64_t first, std::uint64_t last, Variant variant) {
  std::size_t broken = 0;
  std::size_t bad = 0;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    Scenario scenario = cascadiaScenario();
    scenario.seed = seed;
    scenario.variant = variant;
    scenario.services[0].sessionLifetime = std::chrono::seconds(15);
    if (const char* t = getenv("TRACE")) scenario.traceSession = t;
    scenario.faults = generateFaults(scenario, seed);
    const RunResult result = World(scenario).run();
    broken += result.report.brokenSessions;
    bad += result.report.ok() ? 0 : 1;
    if (!result.report.ok()) {
      std::cout << "seed " << seed << " sessions " << result.report.sessions << " violations "
                << result.report.violations.size() << " broken " << result.report.brokenSessions
                << " late " << result.report.lateNewWork << " config "
                << result.report.configurationFaults << " " << result.report.slowestConfigurationMs
                << " stray " << result.report.strays << " unknown " << result.report.unknownOutcomes
                << " double " << result.report.doubleExecutions << " lost "
                << result.report.lostRequests << "\n";
      for (const auto& v : result.report.violations) {
        std::cout << "   " << v.rule << ": " << v.evidence << "\n";
        break;
      }
    }
    if (first == last) {
      for (const auto& line : result.trace) std::cerr << line << "\n";
      std::cout << formatReport(result.report);
      for (const auto& [k, v] : result.drops) std::cout << k << " " << v << "\n";
      std::cout << "events " << result.events << " ctl B/s " << result.controlBytesPerSecond
                << " peers " << result.packetsToPeers << " backends " << result.packetsToBackends
                << " p99 " << result.queueingP99Ms << "\n";
      for (const auto& e : result.history)
        if (e.kind == EventKind::kFault || e.kind == EventKind::kConfigurationPublished)
          std::cout << toLine(e) << "\n";
    }
  }
  std::cout << "seeds with violations " << bad << ", broken sessions " << broken << "\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() >= 2 && arguments[0] == "check") {
    return checkFiles({arguments.begin() + 1, arguments.end()});
  }
  if (arguments.size() >= 3 && arguments[0] == "trial") {
    const Variant v = arguments.size() > 3 ? static_cast<Variant>(std::stoi(arguments[3]))
                                           : Variant::kCobaltgauge;
    return trial(std::stoull(arguments[1]), std::stoull(arguments[2]), v);
  }
  std::cerr << "usage: cobaltgauge-sim check HISTORY...\n";
  return kUsageError;
}
