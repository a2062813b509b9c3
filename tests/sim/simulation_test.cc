/// @file
/// Guards the invariants of the core under simulated faults, and checks that baselines violate
/// them.
#include "sim/simulation.h"

#include <boost/test/unit_test.hpp>

#include "sim/fault_generator.h"
#include "sim/scenario_loader.h"
#include "sim/sweep.h"

using namespace cobaltgauge;
using namespace cobaltgauge::sim;
using namespace std::chrono_literals;

namespace {

/// A small scenario with short runs.
Scenario smallScenario(std::uint64_t seed, Variant variant) {
  Scenario scenario = cascadiaScenario();
  scenario.seed = seed;
  scenario.variant = variant;
  scenario.duration = 25s;
  scenario.services[0].sessions = 120;
  scenario.services[0].backends = 6;
  scenario.services[0].sessionLifetime = 8s;
  scenario.services[1].sessions = 20;
  return scenario;
}

RunResult runWith(std::uint64_t seed, Variant variant, std::vector<FaultSpec> faults) {
  Scenario scenario = smallScenario(seed, variant);
  scenario.faults = std::move(faults);
  return Simulation(scenario).run();
}

std::string historyText(const RunResult& result) {
  std::string text;
  for (const Event& event : result.history) {
    text += toLine(event) + "\n";
  }
  return text;
}

/// A named schedule of one kind of change or fault.
struct FaultCase {
  const char* name;
  std::vector<FaultSpec> faults;
};

const std::vector<FaultCase>& faultCases() {
  static const std::vector<FaultCase> kCases{
      {"drain", {{12s, FaultKind::kDrainBackend, "rate-watch-2"}}},
      {"drain and remove",
       {{12s, FaultKind::kDrainBackend, "rate-watch-2"},
        {18s, FaultKind::kRemoveBackend, "rate-watch-2"}}},
      {"add", {{12s, FaultKind::kAddBackend, "rate-watch"}}},
      {"policy", {{12s, FaultKind::kReplacePolicy, "rate-watch"}}},
      {"graceful shutdown of a daemon during a drain",
       {{12s, FaultKind::kDrainBackend, "rate-watch-2"},
        {12500ms, FaultKind::kStopDaemon, "hall-2-lb-3"}}},
      {"two daemons join at once",
       {{12s, FaultKind::kDrainBackend, "rate-watch-2"},
        {16s, FaultKind::kJoinDaemon, "hall-2"},
        {16400ms, FaultKind::kJoinDaemon, "hall-2"}}},
      {"kill of a daemon after a drain",
       {{12s, FaultKind::kDrainBackend, "rate-watch-2"},
        {15s, FaultKind::kKillDaemon, "hall-1-lb-1"},
        {19s, FaultKind::kJoinDaemon, "hall-1"}}},
      {"suspension over a drain and a late resume",
       {{12s, FaultKind::kSuspendDaemon, "hall-2-lb-3"},
        {13s, FaultKind::kDrainBackend, "rate-watch-2"},
        {19s, FaultKind::kResumeDaemon, "hall-2-lb-3"}}},
      {"suspension over two versions that revert each other",
       {{12s, FaultKind::kSuspendDaemon, "hall-2-lb-3"},
        {13s, FaultKind::kReplacePolicy, "rate-watch"},
        {16s, FaultKind::kReplacePolicy, "rate-watch"},
        {19s, FaultKind::kResumeDaemon, "hall-2-lb-3"}}},
      {"partition and recovery around an added backend",
       {{12s, FaultKind::kPartitionZone, "hall-2"},
        {14s, FaultKind::kAddBackend, "rate-watch"},
        {19s, FaultKind::kRecoverZone, "hall-2"}}},
      {"platform down and stale, a daemon joins",
       {{12s, FaultKind::kDrainBackend, "rate-watch-2"},
        {15s, FaultKind::kPlatformDown, ""},
        {16s, FaultKind::kJoinDaemon, "hall-3"},
        {18s, FaultKind::kPlatformStale, ""},
        {22s, FaultKind::kPlatformUp, ""}}},
      {"two contents for one version, then the next",
       {{12s, FaultKind::kPlatformRace, ""}, {16s, FaultKind::kAddBackend, "rate-watch"}}}};
  return kCases;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SimulationTest)

BOOST_AUTO_TEST_CASE(SameSeedGivesTheSameHistory) {
  const auto once = runWith(5, Variant::kCobaltgauge, faultCases()[0].faults);
  const auto again = runWith(5, Variant::kCobaltgauge, faultCases()[0].faults);
  BOOST_TEST((historyText(once) == historyText(again)));
  const auto other = runWith(6, Variant::kCobaltgauge, faultCases()[0].faults);
  BOOST_TEST((historyText(once) != historyText(other)));
}

BOOST_AUTO_TEST_CASE(SingleFaultsKeepInvariants) {
  for (const FaultCase& faultCase : faultCases()) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      const RunResult result = runWith(seed, Variant::kCobaltgauge, faultCase.faults);
      BOOST_TEST(
          result.report.ok(),
          faultCase.name << " seed " << seed << ": "
                         << (result.report.ok() ? "" : result.report.violations.front().evidence));
      BOOST_TEST(result.report.sessions > 140U);
      BOOST_TEST(result.report.executions > 500U);
    }
  }
}

BOOST_AUTO_TEST_CASE(StatelessTableBreaksSessionsOnDrain) {
  const RunResult result = runWith(1, Variant::kTable, faultCases()[0].faults);
  BOOST_TEST(result.report.brokenSessions > 0U);
}

BOOST_AUTO_TEST_CASE(LocalFlowCacheBreaksSessionsOnDaemonJoin) {
  const std::vector<FaultSpec> faults{{12s, FaultKind::kAddBackend, "rate-watch"},
                                      {14s, FaultKind::kJoinDaemon, "hall-1"}};
  BOOST_TEST(runWith(1, Variant::kCachedTable, faults).report.brokenSessions > 0U);
  BOOST_TEST(runWith(1, Variant::kCobaltgauge, faults).report.brokenSessions == 0U);
}

BOOST_AUTO_TEST_CASE(RandomFaultsKeepInvariants) {
  SweepOptions options;
  options.lastSeed = 40;
  options.variants = {Variant::kCobaltgauge};
  options.randomFaults = true;
  options.threads = 4;
  const auto summaries = sweep(smallScenario(1, Variant::kCobaltgauge), options);
  const VariantSummary& summary = summaries.front();
  BOOST_TEST(summary.runs == 40U);
  BOOST_TEST(summary.totals.brokenSessions == 0U);
  BOOST_TEST(summary.totals.doubleExecutions == 0U);
  BOOST_TEST(summary.totals.misdelivered == 0U);
  BOOST_TEST(summary.totals.falseRefusals == 0U);
  BOOST_TEST(summary.totals.lateNewSessions == 0U);
  BOOST_TEST(summary.totals.configurationViolations == 0U);
}

BOOST_AUTO_TEST_CASE(SweepResultIsIndependentOfThreadCount) {
  SweepOptions options;
  options.lastSeed = 3;
  options.variants = {Variant::kCobaltgauge, Variant::kTable};
  const Scenario scenario = smallScenario(1, Variant::kCobaltgauge);
  const std::string one = summariesToJson(scenario, sweep(scenario, options));
  options.threads = 3;
  BOOST_TEST(one == summariesToJson(scenario, sweep(scenario, options)));
}

BOOST_AUTO_TEST_CASE(ScenarioFilesLoadAndInvalidOnesAreRejected) {
  ScenarioLoader loader;
  for (const char* name : {"cascadia", "pohjatiib", "full_house"}) {
    const std::string path = std::string(COBALTGAUGE_SOURCE_DIR) + "/scenarios/" + name + ".toml";
    const auto scenario = loader.loadFile(path);
    BOOST_TEST_REQUIRE(scenario.has_value(), loader.lastReason());
    BOOST_TEST(scenario->name == name);
  }
  const auto reason = [&loader](const std::string& text) {
    return loader.loadText(text, "T") ? std::string() : loader.lastReason();
  };
  const std::string valid = "[[zone]]\nname = \"z\"\n[[service]]\nname = \"s\"\n";
  BOOST_TEST(reason(valid).empty());
  BOOST_TEST(reason("x = 1\n" + valid) == "T: line 1: x: unknown field");
  BOOST_TEST(reason(valid + "sessions = -1\n") ==
             "T: line 5: service.sessions: must be an integer from 0 to 1000000");
  BOOST_TEST(reason(valid + "[[fault]]\nkind = \"x\"\n") ==
             "T: line 5: fault.kind: \"x\" is not a fault kind; see docs/SIMULATOR.md");
}

BOOST_AUTO_TEST_SUITE_END()
