/// @file
/// libFuzzer target: the platform's configuration, policies included.
#include <cstdlib>

#include "configuration/configuration_json.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
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
    std::abort();  // Every refusal says why.
  }
  return 0;
}
