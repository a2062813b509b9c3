/// @file
/// Measures what control costs a daemon: hollow fleets (many daemons, no flows) of growing size run
/// in one process, and lines are fitted through the figures. See docs/CAPACITY.md.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::sim {

/// Size of one hollow fleet and what happens to it.
struct CapacityPoint {
  std::size_t daemons = 5;
  std::size_t services = 2;
  std::size_t backends = 19;              ///< Over all services.
  std::size_t changesPerMinute = 3;       ///< Configuration versions published.
  std::size_t replacementsPerMinute = 1;  ///< Daemons stopped as planned and replaced.
};

/// Figures of one run, per daemon. Processor time includes the simulator's own.
struct CapacityMeasure {
  CapacityPoint point;
  double bytesPerSecond = 0;     ///< Sent.
  double messagesPerSecond = 0;  ///< Sent.
  std::map<std::string, double> bytesByKind;
  double coreShare = 0;  ///< Processor seconds per second.
  double residentBytes = 0;
  std::int64_t slowestConfigurationMs = 0;
};

/// Runs a hollow fleet for a minute of virtual time after it has formed.
CapacityMeasure measureCapacity(const CapacityPoint& point);

/// A straight line through measured points, by least squares.
struct FittedLine {
  double intercept = 0;
  double slope = 0;
  double largestResidual = 0;  ///< Largest distance of a point from the line.
};

FittedLine fitLine(const std::vector<double>& x, const std::vector<double>& y);

/// @return the measures as a Markdown table.
std::string formatMeasures(const std::vector<CapacityMeasure>& measures);

}  // namespace cobaltgauge::sim
