/// @file
/// Entry point of cobaltgauge-sim.
#include <iostream>
#include <string>
#include <vector>

#include "sim/history_checker.h"

namespace {

constexpr int kUsageError = 2;

int checkFiles(const std::vector<std::string>& paths) {
  using namespace cobaltgauge::sim;
  HistoryReader reader;
  std::vector<Event> events;
  for (const std::string& path : paths) {
    const auto read = reader.readFile(path);
    if (!read) {
      std::cerr << "cobaltgauge-sim: " << reader.lastReason() << "\n";
      return kUsageError;
    }
    events.insert(events.end(), read->begin(), read->end());
  }
  const CheckerReport report = checkHistory(std::move(events), CheckerBounds{});
  std::cout << formatReport(report);
  return report.ok() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.size() >= 2 && arguments[0] == "check") {
    return checkFiles({arguments.begin() + 1, arguments.end()});
  }
  std::cerr << "usage: cobaltgauge-sim check HISTORY...\n";
  return kUsageError;
}
