/// @file
/// Checks a history against the rules that must always hold. Reads events only; knows nothing of
/// the core or of how a run was made.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sim/history.h"

namespace cobaltgauge::sim {

/// Bounds that the rules name.
struct CheckerBounds {
  std::int64_t drainMs = 3000;          ///< A leaving back end may get new sessions this long.
  std::int64_t configurationMs = 9000;  ///< A version must be in force everywhere within this.
};

/// One rule that was broken, with the evidence.
struct Violation {
  std::string rule;
  std::string evidence;
};

/// Counts of one history, or of several added up.
struct HistoryCounts {
  std::size_t sessions = 0;
  std::size_t requests = 0;
  std::size_t executions = 0;
  std::size_t droppedDuplicates = 0;
  std::size_t refusals = 0;
  std::size_t unknownOutcomes = 0;
  std::size_t completeResponses = 0;
  std::size_t brokenSessions = 0;
  std::size_t doubleExecutions = 0;
  std::size_t misdelivered = 0;
  std::size_t falseRefusals = 0;
  std::size_t lostRequests = 0;
  std::size_t invalidResponses = 0;
  std::size_t lateNewSessions = 0;
  std::size_t configurationViolations = 0;
  std::int64_t maxConfigurationDelayMs = 0;

  /// Adds another history's counts; of the slowest times the larger one stays.
  void add(const HistoryCounts& other);
  double brokenPerMillion() const;
};

/// Figures and violations of one history.
struct CheckerReport : HistoryCounts {
  /// Largest number of sessions opened on one back end over the mean, by service. Back ends that
  /// left during the run are not counted.
  std::map<std::string, double> imbalance;
  std::vector<Violation> violations;

  bool ok() const { return violations.empty(); }
};

/// @param events in any order; they are sorted by time.
CheckerReport checkHistory(std::vector<Event> events, const CheckerBounds& bounds);

/// @return the report as a table for people, violations last.
std::string formatReport(const CheckerReport& report);

}  // namespace cobaltgauge::sim
