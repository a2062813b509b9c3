/// @file
/// libFuzzer target: settings files. A rejected file must have a short reason.
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "daemon/settings.h"

namespace {

/// A file of this process.
const std::string& filePath() {
  static const std::string path = [] {
    const char* folder = std::getenv("TMPDIR");
    return std::string(folder == nullptr ? "/tmp" : folder) + "/fuzz_settings." +
           std::to_string(getpid());
  }();
  return path;
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge::daemon;
  constexpr std::size_t kMaxReasonBytes = 1000;
  std::ofstream(filePath(), std::ios::binary)
      .write(reinterpret_cast<const char*>(data), static_cast<std::streamsize>(size));
  const std::string flag = "--settings=" + filePath();
  const char* arguments[] = {"cobaltgauged", flag.c_str(), nullptr};
  SettingsLoader loader;
  const auto commandLine = loader.parseCommandLine(2, arguments);
  const bool accepted = commandLine && loader.load(*commandLine);
  std::remove(filePath().c_str());
  if (!accepted && (loader.lastReason().empty() || loader.lastReason().size() > kMaxReasonBytes)) {
    std::abort();
  }
  return 0;
}
