/// @file
/// Entry point of cobaltgauge-sim.
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "ctl/command_options.h"
#include "sim/fault_generator.h"
#include "sim/history_checker.h"
#include "sim/scenario_loader.h"
#include "sim/simulation.h"
#include "sim/sweep.h"

namespace {

using namespace cobaltgauge::sim;
using cobaltgauge::ctl::CommandOptions;
using cobaltgauge::ctl::kNone;

constexpr int kUsageError = 2;
constexpr const char* kUsage =
    "usage: cobaltgauge-sim COMMAND\n"
    "  run SCENARIO       simulates one run and prints the history check\n"
    "  sweep SCENARIO     compares designs over many seeds; prints JSON or a table\n"
    "  check HISTORY...   checks recorded history files\n"
    "Run COMMAND --help for its options.\n";

int fail(const std::string& reason) {
  std::cerr << "cobaltgauge-sim: " << reason << "\n";
  return kUsageError;
}

std::optional<Scenario> loadOnly(const CommandOptions& options) {
  if (options.arguments().size() != 1) {
    fail("expected exactly one scenario file");
    return std::nullopt;
  }
  ScenarioLoader loader;
  std::optional<Scenario> scenario = loader.loadFile(options.arguments().front());
  if (!scenario) {
    fail(loader.lastReason());
  }
  return scenario;
}

int runCommand(int argc, const char* const* argv) {
  const auto options = CommandOptions::parse(
      "cobaltgauge-sim run",
      {{"seed", "overrides the scenario's seed", kNone},
       {"variant", "overrides the scenario's design", kNone},
       {"random-faults", "yes: generate faults from the seed, ignoring the scenario's", "no"},
       {"history", "history output file", kNone},
       {"trace", "session whose routing decisions are traced to standard error", kNone}},
      argc, argv);
  auto scenario = options ? loadOnly(*options) : std::nullopt;
  if (!scenario) {
    return kUsageError;
  }
  if (options->has("seed")) {
    scenario->seed = options->number("seed");
  }
  if (options->has("variant")) {
    const auto variant = variantFromName(options->text("variant"));
    if (!variant) {
      return fail("--variant: must be modulo, table, cached_table or cobaltgauge");
    }
    scenario->variant = *variant;
  }
  if (options->has("trace")) {
    scenario->traceSession = options->text("trace");
  }
  if (options->text("random-faults") == "yes") {
    scenario->faults = generateFaults(*scenario, scenario->seed);
  }
  const RunResult result = Simulation(*scenario).run();
  for (const std::string& line : result.trace) {
    std::cerr << line << "\n";
  }
  if (options->has("history")) {
    HistoryWriter writer;
    if (!writer.open(options->text("history"))) {
      return fail(options->text("history") + ": cannot open file for writing");
    }
    for (const Event& event : result.history) {
      writer.write(event);
    }
  }
  std::cout << formatReport(result.report);
  for (const auto& [reason, count] : result.drops) {
    std::cout << "packets " << reason << ": " << count << "\n";
  }
  for (const auto& [kind, bytes] : result.controlBytesByKind) {
    std::cout << "control " << kind << " B/s per daemon: " << bytes << "\n";
  }
  return result.report.ok() ? 0 : 1;
}

int sweepCommand(int argc, const char* const* argv) {
  const std::string threads = std::to_string(std::max(1U, std::thread::hardware_concurrency()));
  const auto options = CommandOptions::parse(
      "cobaltgauge-sim sweep",
      {{"first-seed", "first seed", "1"},
       {"last-seed", "last seed", "20"},
       {"variant", "design to run, or all", "all"},
       {"random-faults", "yes: generate faults from each seed, ignoring the scenario's", "no"},
       {"threads", "number of parallel runs", threads.c_str()},
       {"format", "json or table", "table"}},
      argc, argv);
  const auto scenario = options ? loadOnly(*options) : std::nullopt;
  if (!scenario) {
    return kUsageError;
  }
  SweepOptions sweepOptions;
  sweepOptions.firstSeed = options->number("first-seed");
  sweepOptions.lastSeed = options->number("last-seed");
  sweepOptions.threads = options->number("threads");
  sweepOptions.randomFaults = options->text("random-faults") == "yes";
  if (options->text("variant") == "all") {
    sweepOptions.variants.assign(kAllVariants.begin(), kAllVariants.end());
  } else if (const auto variant = variantFromName(options->text("variant"))) {
    sweepOptions.variants = {*variant};
  } else {
    return fail("--variant: must be all, modulo, table, cached_table or cobaltgauge");
  }
  const auto summaries = sweep(*scenario, sweepOptions);
  const bool json = options->text("format") == "json";
  std::cout << (json ? summariesToJson(*scenario, summaries) : formatSummaries(summaries));
  for (const VariantSummary& summary : summaries) {
    if (!json && summary.variant == Variant::kCobaltgauge && !summary.failingSeeds.empty()) {
      std::cout << "cobaltgauge seeds with violations:";
      for (const std::uint64_t seed : summary.failingSeeds) {
        std::cout << " " << seed;
      }
      std::cout << "\n";
    }
  }
  return 0;
}

int checkCommand(int argc, const char* const* argv) {
  const auto options = CommandOptions::parse("cobaltgauge-sim check", {}, argc, argv);
  if (!options || options->arguments().empty()) {
    return options ? fail("expected at least one history file") : kUsageError;
  }
  HistoryReader reader;
  std::vector<Event> events;
  for (const std::string& path : options->arguments()) {
    const auto read = reader.readFile(path);
    if (!read) {
      return fail(reader.lastReason());
    }
    events.insert(events.end(), read->begin(), read->end());
  }
  const CheckerReport report = checkHistory(std::move(events), CheckerBounds{});
  std::cout << formatReport(report);
  return report.ok() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  if (command == "run") {
    return runCommand(argc - 1, argv + 1);
  }
  if (command == "sweep") {
    return sweepCommand(argc - 1, argv + 1);
  }
  if (command == "check") {
    return checkCommand(argc - 1, argv + 1);
  }
  std::cerr << kUsage;
  return kUsageError;
}
