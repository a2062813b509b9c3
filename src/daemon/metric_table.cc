#include "daemon/metric_table.h"

#include <prometheus/text_serializer.h>

namespace cobaltgauge::daemon {

prometheus::MetricFamily makeFamily(const char* name, const char* help, const char* label,
                                    prometheus::MetricType type,
                                    const std::vector<MetricSample>& samples) {
  prometheus::MetricFamily family{name, help, type, {}};
  for (const MetricSample& sample : samples) {
    prometheus::ClientMetric metric;
    if (label != nullptr) {
      metric.label.push_back({label, sample.label});
    }
    if (type == prometheus::MetricType::Counter) {
      metric.counter.value = sample.value;
    } else {
      metric.gauge.value = sample.value;
    }
    family.metric.push_back(std::move(metric));
  }
  return family;
}

std::string renderMetrics(const std::vector<prometheus::MetricFamily>& families) {
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace cobaltgauge::daemon
