/// @file
/// libFuzzer target: parser and compiler of the platform's configuration, including policies.
#include <cstdlib>

#include "configuration/configuration_json.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge::configuration;
  ConfigurationParser parser;
  const auto document = parser.parse({reinterpret_cast<const char*>(data), size});
  if (!document) {
    return 0;
  }
  JsonConfigurationCompiler compiler;
  const bool accepted = compiler.compile(*document).has_value();
  if (!accepted && compiler.lastReason().empty()) {
    std::abort();  // A rejection must have a reason.
  }
  return 0;
}
