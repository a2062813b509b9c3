/// @file
/// libFuzzer target: parsers of scenario files and history lines.
#include "sim/history.h"
#include "sim/scenario_loader.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge::sim;
  const std::string text(reinterpret_cast<const char*>(data), size);
  ScenarioLoader().loadText(text, "fuzz");
  HistoryReader().parseLine(text);
  return 0;
}
