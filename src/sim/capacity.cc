#include "sim/capacity.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

#include "sim/world.h"

namespace cobaltgauge::sim {
namespace {

constexpr std::size_t kZones = 8;
constexpr std::size_t kRegions = 3;
constexpr core::Duration kFormation = std::chrono::seconds(240);
constexpr core::Duration kMeasured = std::chrono::seconds(60);

double residentBytes() {
  std::ifstream in("/proc/self/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

Scenario hollowScenario(const CapacityPoint& point) {
  Scenario scenario;
  scenario.name = "hollow";
  scenario.duration = kFormation + kMeasured;
  scenario.measureAfter = kFormation;
  scenario.flowTableEntries = 8;
  for (std::size_t i = 0; i < kZones; ++i) {
    const std::size_t daemons =
        point.daemons / kZones + (i < point.daemons % kZones ? std::size_t{1} : std::size_t{0});
    if (daemons > 0) {
      scenario.zones.push_back(
          {"zone-" + std::to_string(i + 1), "region-" + std::to_string(i % kRegions + 1), daemons});
    }
  }
  for (std::size_t i = 0; i < point.services; ++i) {
    ServiceSpec service;
    service.name = "service-" + std::to_string(i + 1);
    service.sessions = 0;
    service.backends = std::max<std::size_t>(2, point.backends / point.services);
    scenario.services.push_back(service);
  }
  const auto spread = [&scenario](std::size_t count, FaultKind kind, auto target) {
    for (std::size_t i = 0; i < count; ++i) {
      const core::Time at = kFormation + kMeasured * (2 * i + 1) / (2 * count);
      scenario.faults.push_back({at, kind, target(i)});
    }
  };
  spread(point.changesPerMinute, FaultKind::kReplacePolicy, [&scenario](std::size_t i) {
    return scenario.services[i % scenario.services.size()].name;
  });
  spread(point.replacementsPerMinute, FaultKind::kStopDaemon, [&scenario](std::size_t i) {
    return scenario.zones.front().name + "-lb-" + std::to_string(i + 1);
  });
  spread(point.replacementsPerMinute, FaultKind::kJoinDaemon,
         [&scenario](std::size_t i) { return scenario.zones[i % scenario.zones.size()].name; });
  return scenario;
}

}  // namespace

CapacityMeasure measureCapacity(const CapacityPoint& point) {
  const double before = residentBytes();
  World world(hollowScenario(point));
  const RunResult result = world.run();
  CapacityMeasure measure;
  measure.point = point;
  measure.bytesPerSecond = result.controlBytesPerSecond;
  measure.messagesPerSecond = result.controlMessagesPerSecond;
  measure.bytesByKind = result.controlBytesByKind;
  measure.coreShare = result.coreShare;
  measure.residentBytes = (residentBytes() - before) / static_cast<double>(point.daemons);
  measure.slowestConfigurationMs = result.report.slowestConfigurationMs;
  return measure;
}

FittedLine fitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto count = static_cast<double>(x.size());
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sumX += x[i];
    sumY += y[i];
    sumXx += x[i] * x[i];
    sumXy += x[i] * y[i];
  }
  FittedLine line;
  const double spread = count * sumXx - sumX * sumX;
  line.slope = spread == 0 ? 0 : (count * sumXy - sumX * sumY) / spread;
  line.intercept = count == 0 ? 0 : (sumY - line.slope * sumX) / count;
  for (std::size_t i = 0; i < x.size(); ++i) {
    const double distance = std::abs(y[i] - line.intercept - line.slope * x[i]);
    line.largestResidual = std::max(line.largestResidual, distance);
  }
  return line;
}

std::string formatMeasures(const std::vector<CapacityMeasure>& measures) {
  std::ostringstream out;
  out << "| daemons | services | back ends | changes/min | replacements/min | control B/s | "
         "messages/s | core % | resident KiB | slowest configuration ms |\n"
      << "|---|---|---|---|---|---|---|---|---|---|\n"
      << std::fixed;
  for (const CapacityMeasure& m : measures) {
    out << "| " << m.point.daemons << " | " << m.point.services << " | " << m.point.backends
        << " | " << m.point.changesPerMinute << " | " << m.point.replacementsPerMinute << " | "
        << std::setprecision(0) << m.bytesPerSecond << " | " << std::setprecision(1)
        << m.messagesPerSecond << " | " << std::setprecision(3) << m.coreShare * 100 << " | "
        << std::setprecision(0) << m.residentBytes / 1024 << " | " << m.slowestConfigurationMs
        << " |\n";
  }
  out << "\ncontrol B/s by kind of message\n\n| daemons |";
  std::set<std::string> kinds;
  for (const CapacityMeasure& m : measures) {
    for (const auto& [kind, bytes] : m.bytesByKind) {
      kinds.insert(kind);
    }
  }
  for (const std::string& kind : kinds) {
    out << " " << kind << " |";
  }
  out << "\n|---|";
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    out << "---|";
  }
  out << "\n" << std::setprecision(0);
  for (const CapacityMeasure& m : measures) {
    out << "| " << m.point.daemons << " |";
    for (const std::string& kind : kinds) {
      const auto bytes = m.bytesByKind.find(kind);
      out << " " << (bytes == m.bytesByKind.end() ? 0 : bytes->second) << " |";
    }
    out << "\n";
  }
  return out.str();
}

}  // namespace cobaltgauge::sim
