/// @file
/// Checks an event history against the invariants of the load balancer, independently of the core.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sim/history.h"

namespace cobaltgauge::sim {

/// Time limits used by the checks.
struct CheckerBounds {
  std::int64_t drainMs = 3000;          ///< Until a draining backend gets no new sessions.
  std::int64_t configurationMs = 9000;  ///< Until all daemons activate a new version.
};

/// A violated invariant with a description of the evidence.
struct Violation {
  std::string rule;
  std::string evidence;
};

/// Counters of one history or the sum of several.
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

  /// Adds the counters of another history; maxConfigurationDelayMs becomes the larger of the two.
  void add(const HistoryCounts& other);
  double brokenPerMillion() const;
};

/// Statistics and violations of one history.
struct CheckerReport : HistoryCounts {
  /// Maximum over mean number of sessions per backend, by service. Drained backends are excluded.
  std::map<std::string, double> imbalance;
  std::vector<Violation> violations;

  bool ok() const { return violations.empty(); }
};

/// @param events events in any order; sorted by time before the check.
CheckerReport checkHistory(std::vector<Event> events, const CheckerBounds& bounds);

/// @return the report as a plain-text table followed by the first violations.
std::string formatReport(const CheckerReport& report);

}  // namespace cobaltgauge::sim
