/// @file
/// Table-driven metric definitions, rendered in the Prometheus text format by prometheus-cpp.
#pragma once

#include <prometheus/metric_family.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cobaltgauge::daemon {

/// A label value, empty for a metric without a label, and the sample's value.
struct MetricSample {
  std::string label;
  double value = 0;
};

/// Definition of a metric whose samples are read from `Sources`.
template <typename Sources>
struct MetricDefinition {
  const char* name;
  const char* help;
  const char* label;  ///< Null for a metric without a label.
  prometheus::MetricType type;
  std::function<std::vector<MetricSample>(const Sources&)> read;
};

inline std::vector<MetricSample> single(std::uint64_t value) {
  return {{"", static_cast<double>(value)}};
}

/// @param counts indexed by the values of the enumeration `Reason`.
/// @return one sample per reason, labelled by its name.
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

/// Builds the metric family of one metric.
/// @param label name of the label, or null.
prometheus::MetricFamily makeFamily(const char* name, const char* help, const char* label,
                                    prometheus::MetricType type,
                                    const std::vector<MetricSample>& samples);

/// Reads all metrics of a table.
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

/// @return the metrics in the Prometheus text format.
std::string renderMetrics(const std::vector<prometheus::MetricFamily>& families);

}  // namespace cobaltgauge::daemon
