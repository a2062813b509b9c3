/// @file
/// Entry point of cobaltgauge-standin, stand-ins for external components in end-to-end tests.
#include <iostream>
#include <string>

#include "standin/backend.h"
#include "standin/client.h"
#include "standin/fabric.h"
#include "standin/platform_server.h"
#include "standin/throughput.h"

namespace {

constexpr const char* kUsage =
    "usage: cobaltgauge-standin platform|fabric|backend|caller|relay|throughput "
    "[OPTIONS]\n"
    "Run a subcommand with --help for its options.\n";

}  // namespace

int main(int argc, char** argv) {
  using namespace cobaltgauge::standin;
  const std::string command = argc > 1 ? argv[1] : "";
  try {
    if (command == "platform") {
      return runPlatform(argc - 1, argv + 1);
    }
    if (command == "fabric") {
      return runFabric(argc - 1, argv + 1);
    }
    if (command == "backend") {
      return runBackend(argc - 1, argv + 1);
    }
    if (command == "relay") {
      return runRelay(argc - 1, argv + 1);
    }
    if (command == "throughput") {
      return runThroughput(argc - 1, argv + 1);
    }
    if (command == "caller") {
      return runClient(argc - 1, argv + 1);
    }
  } catch (const std::exception& error) {
    std::cerr << "cobaltgauge-standin " << command << ": " << error.what() << "\n";
    return 1;
  }
  std::cerr << kUsage;
  return 2;
}
