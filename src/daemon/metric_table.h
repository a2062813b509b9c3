/// @file
/// Metrics as a table: name, help, label, type and where the values come from. Rendered in the
/// Prometheus text format by prometheus-cpp.
#pragma once

#include <prometheus/metric_family.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cobaltgauge::daemon {

/// One sample: the value of the metric's label, empty for a metric without label, and a number.
struct MetricSample {
  std::string label;
  double value = 0;
};

/// One metric, read from `Sources`.
template <typename Sources>
struct MetricDefinition {
  const char* name;
  const char* help;
  const char* label;  ///< Null for a metric without label.
  prometheus::MetricType type;
  std::function<std::vector<MetricSample>(const Sources&)> read;
};

inline std::vector<MetricSample> single(std::uint64_t value) {
  return {{"", static_cast<double>(value)}};
}

/// Counts in the order of an enumeration.
template <typename Reason, std::size_t N>
std::vector<MetricSample> byReason(const std::array<std::uint64_t, N>& counts) {
  std::vector<MetricSample> samples;
  samples.reserve(N);
  for (std::size_t i = 0; i < N; ++i) {
    samples.push_back({toString(static_cast<Reason>(i)), static_cast<double>(counts[i])});
  }
  return samples;
}

template <typename Error>
std::vector<MetricSample> byError(const std::map<Error, std::uint64_t>& counts) {
  std::vector<MetricSample> samples;
  samples.reserve(counts.size());
  for (const auto& [error, count] : counts) {
    samples.push_back({toString(error), static_cast<double>(count)});
  }
  return samples;
}

/// @return the family of one metric.
prometheus::MetricFamily makeFamily(const char* name, const char* help, const char* label,
                                    prometheus::MetricType type,
                                    const std::vector<MetricSample>& samples);

/// @return the families of a whole table.
template <typename Sources>
std::vector<prometheus::MetricFamily> readTable(
    const std::vector<MetricDefinition<Sources>>& definitions, const Sources& sources) {
  std::vector<prometheus::MetricFamily> families;
  families.reserve(definitions.size());
  for (const MetricDefinition<Sources>& definition : definitions) {
    families.push_back(makeFamily(definition.name, definition.help, definition.label,
                                  definition.type, definition.read(sources)));
  }
  return families;
}

/// @return metrics as text.
std::string renderMetrics(const std::vector<prometheus::MetricFamily>& families);

}  // namespace cobaltgauge::daemon
