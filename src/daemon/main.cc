/// @file
/// Entry point of cobaltgauged.
#include <iostream>

#include "daemon/daemon.h"
#include "daemon/log.h"
#include "daemon/settings.h"
#include "daemon/token_daemon.h"

namespace {

constexpr int kUsageError = 2;

template <typename Process>
int run(const cobaltgauge::daemon::Settings& settings) {
  Process process(settings);
  if (!process.open()) {
    std::cerr << "cobaltgauged: " << process.lastReason() << "\n";
    return 1;
  }
  process.run();
  return 0;
}

int runDaemon(const cobaltgauge::daemon::Settings& settings) {
  using cobaltgauge::daemon::SteeringMode;
  cobaltgauge::daemon::initializeLog(settings.logLevel, settings.name);
  return settings.steering == SteeringMode::kToken ? run<cobaltgauge::daemon::TokenDaemon>(settings)
                                                   : run<cobaltgauge::daemon::Daemon>(settings);
}

}  // namespace

int main(int argc, char** argv) {
  cobaltgauge::daemon::SettingsLoader loader;
  const auto commandLine = loader.parseCommandLine(argc, argv);
  if (!commandLine) {
    std::cerr << "cobaltgauged: " << loader.lastReason() << "\n";
    return kUsageError;
  }
  if (commandLine->showHelp) {
    std::cout << commandLine->helpText;
    return 0;
  }
  if (commandLine->showVersion) {
    std::cout << "cobaltgauged " << COBALTGAUGE_VERSION << "\n";
    return 0;
  }
  const auto settings = loader.load(*commandLine);
  if (!settings) {
    std::cerr << "cobaltgauged: " << loader.lastReason() << "\n";
    return kUsageError;
  }
  if (commandLine->checkOnly) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return runDaemon(*settings);
}
