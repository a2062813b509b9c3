#include "sim/sweep.h"

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "sim/fault_generator.h"

namespace cobaltgauge::sim {
namespace {

struct Job {
  std::size_t variant = 0;
  std::uint64_t seed = 0;
};

/// Runs one job. Discards the history to limit memory use.
RunResult runOne(const Scenario& scenario, const SweepOptions& options, const Job& job) {
  Scenario copy = scenario;
  copy.seed = job.seed;
  copy.variant = options.variants[job.variant];
  if (options.randomFaults) {
    copy.faults = generateFaults(copy, job.seed);
  }
  RunResult result = Simulation(copy).run();
  result.history.clear();
  return result;
}

}  // namespace

void VariantSummary::add(std::uint64_t seed, const RunResult& result) {
  const CheckerReport& report = result.report;
  const auto before = static_cast<double>(runs);
  ++runs;
  const auto mean = [this, before](double& value, double sample) {
    value = (value * before + sample) / static_cast<double>(runs);
  };
  if (!report.ok()) {
    ++runsWithViolations;
    failingSeeds.push_back(seed);
  }
  totals.add(report);
  double largest = 0;
  for (const auto& [service, value] : result.finalImbalance) {
    largest = std::max(largest, value);
  }
  mean(imbalance, largest);
  mean(queueDelayP99Ms, result.queueDelayP99Ms);
  mean(controlBytesPerSecond, result.controlBytesPerSecond);
  mean(flowStateBytes, result.flowStateBytes);
}

std::vector<VariantSummary> sweep(const Scenario& scenario, const SweepOptions& options) {
  std::vector<Job> jobs;
  for (std::size_t variant = 0; variant < options.variants.size(); ++variant) {
    for (std::uint64_t seed = options.firstSeed; seed <= options.lastSeed; ++seed) {
      jobs.push_back({variant, seed});
    }
  }
  std::vector<std::optional<RunResult>> results(jobs.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (std::size_t i = next++; i < jobs.size(); i = next++) {
      results[i] = runOne(scenario, options, jobs[i]);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, options.threads); ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<VariantSummary> summaries(options.variants.size());
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    VariantSummary& summary = summaries[jobs[i].variant];
    summary.variant = options.variants[jobs[i].variant];
    summary.add(jobs[i].seed, *results[i]);
  }
  return summaries;
}

std::string summariesToJson(const Scenario& scenario,
                            const std::vector<VariantSummary>& summaries) {
  nlohmann::ordered_json root{{"scenario", scenario.name}};
  root["variants"] = nlohmann::ordered_json::array();
  for (const VariantSummary& summary : summaries) {
    root["variants"].push_back(
        {{"variant", toString(summary.variant)},
         {"runs", summary.runs},
         {"runs_with_violations", summary.runsWithViolations},
         {"sessions", summary.totals.sessions},
         {"broken_sessions", summary.totals.brokenSessions},
         {"broken_per_million", summary.totals.brokenPerMillion()},
         {"double_executions", summary.totals.doubleExecutions},
         {"strays", summary.totals.misdelivered},
         {"false_refusals", summary.totals.falseRefusals},
         {"lost_requests", summary.totals.lostRequests},
         {"wrong_answers", summary.totals.invalidResponses},
         {"late_new_work", summary.totals.lateNewSessions},
         {"configuration_faults", summary.totals.configurationViolations},
         {"requests", summary.totals.requests},
         {"unknown_outcomes", summary.totals.unknownOutcomes},
         {"slowest_configuration_ms", summary.totals.maxConfigurationDelayMs},
         {"imbalance", summary.imbalance},
         {"queueing_p99_ms", summary.queueDelayP99Ms},
         {"control_bytes_per_second", summary.controlBytesPerSecond},
         {"flow_state_bytes", summary.flowStateBytes},
         {"bad_seeds", summary.failingSeeds}});
  }
  return root.dump(2) + "\n";
}

std::string formatSummaries(const std::vector<VariantSummary>& summaries) {
  std::ostringstream out;
  out << "| variant | runs | runs with violations | sessions | broken | broken per million | "
         "doubled | strays | false refusals | lost | late new work | configuration faults | "
         "unknown outcomes | imbalance | queueing p99 ms | control B/s | flow state B |\n"
      << "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  out << std::fixed;
  for (const VariantSummary& s : summaries) {
    out << "| " << toString(s.variant) << " | " << s.runs << " | " << s.runsWithViolations << " | "
        << s.totals.sessions << " | " << s.totals.brokenSessions << " | " << std::setprecision(1)
        << s.totals.brokenPerMillion() << " | " << s.totals.doubleExecutions << " | "
        << s.totals.misdelivered << " | " << s.totals.falseRefusals << " | "
        << s.totals.lostRequests << " | " << s.totals.lateNewSessions << " | "
        << s.totals.configurationViolations << " | " << s.totals.unknownOutcomes << " | "
        << std::setprecision(2) << s.imbalance << " | " << s.queueDelayP99Ms << " | "
        << std::setprecision(0) << s.controlBytesPerSecond << " | " << s.flowStateBytes << " |\n";
  }
  return out.str();
}

}  // namespace cobaltgauge::sim
