/// @file
/// libFuzzer target: what cobaltgaugectl reads from files and from a daemon's admin pages.
#include <string>

#include "ctl/offline_commands.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge::ctl;
  const std::string text(reinterpret_cast<const char*>(data), size);
  drainStatus(text, "b1");
  testPolicy(text, "desk", "function place() return 1 end");
  compareConfigurations(text, text);
  return 0;
}
