/// @file
/// Runs a scenario with many seeds and designs and aggregates the results.
#pragma once

#include <string>
#include <vector>

#include "sim/scenario.h"
#include "sim/simulation.h"

namespace cobaltgauge::sim {

/// Sums and means of the runs of one variant.
struct VariantSummary {
  Variant variant = Variant::kCobaltgauge;
  std::size_t runs = 0;
  std::size_t runsWithViolations = 0;
  HistoryCounts totals;
  double imbalance = 0;        ///< Mean over runs of the largest final max/mean of any service.
  double queueDelayP99Ms = 0;  ///< Mean over runs.
  double controlBytesPerSecond = 0;
  double flowStateBytes = 0;
  std::vector<std::uint64_t> failingSeeds;

  void add(std::uint64_t seed, const RunResult& result);
};

struct SweepOptions {
  std::uint64_t firstSeed = 1;
  std::uint64_t lastSeed = 1;
  std::vector<Variant> variants;
  bool randomFaults = false;  ///< Generates faults from each seed instead of using the scenario's.
  std::size_t threads = 1;
};

/// Runs all combinations of seeds and variants. The result is independent of the thread count.
std::vector<VariantSummary> sweep(const Scenario& scenario, const SweepOptions& options);

/// @return the summaries as JSON; deterministic for the same runs.
std::string summariesToJson(const Scenario& scenario, const std::vector<VariantSummary>& summaries);

/// @return the summaries as a Markdown table.
std::string formatSummaries(const std::vector<VariantSummary>& summaries);

}  // namespace cobaltgauge::sim
