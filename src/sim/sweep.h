/// @file
/// Runs a scenario over many seeds and designs, and sums the figures up.
#pragma once

#include <string>
#include <vector>

#include "sim/scenario.h"
#include "sim/simulation.h"

namespace cobaltgauge::sim {

/// Sums and means over the runs of one variant.
struct VariantSummary {
  Variant variant = Variant::kCobaltgauge;
  std::size_t runs = 0;
  std::size_t runsWithViolations = 0;
  HistoryCounts totals;
  double imbalance = 0;        ///< Mean over runs of the largest service's final max/mean.
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
  bool randomFaults = false;  ///< Replace the scenario's faults by a schedule from each seed.
  std::size_t threads = 1;
};

/// Runs all combinations; the result does not depend on the number of threads.
std::vector<VariantSummary> sweep(const Scenario& scenario, const SweepOptions& options);

/// @return the summaries as JSON; the same runs give the same bytes.
std::string summariesToJson(const Scenario& scenario, const std::vector<VariantSummary>& summaries);

/// @return the summaries as a Markdown table.
std::string formatSummaries(const std::vector<VariantSummary>& summaries);

}  // namespace cobaltgauge::sim
