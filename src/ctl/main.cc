/// @file
/// Entry point of cobaltgaugectl.
#include <iostream>
#include <string>
#include <vector>

#include "configuration/configuration_json.h"
#include "ctl/admin_client.h"
#include "ctl/command_options.h"
#include "ctl/offline_commands.h"
#include "decoding/file_reader.h"

namespace {

using namespace cobaltgauge::ctl;

constexpr int kUsageError = 2;
constexpr const char* kUsage =
    "usage: cobaltgaugectl COMMAND\n"
    "offline:\n"
    "  check CONFIGURATION                  validates a configuration\n"
    "  policy test CONFIGURATION            prints weights and shares of each policy\n"
    "  policy test CONFIGURATION SERVICE POLICY\n"
    "                                       the same, replacing the policy of one service\n"
    "  config diff BEFORE AFTER             prints the differences\n"
    "against a daemon (--admin=ADDRESS:PORT):\n"
    "  status | members | services          the daemon's state\n"
    "  explain PROTOCOL SOURCE DESTINATION  backend of a flow and why it was selected\n"
    "  drain-status BACKEND                 whether a backend still gets new flows\n"
    "  metrics                              all counters\n"
    "  zones                                evacuated zones (token steering)\n"
    "Settings of a daemon are checked by: cobaltgauged --settings FILE --check\n";

int finish(const CommandResult& result) {
  (result.ok ? std::cout : std::cerr) << result.output;
  return result.ok ? 0 : 1;
}

std::optional<std::vector<std::string>> readFiles(const std::vector<std::string>& paths) {
  std::vector<std::string> texts;
  cobaltgauge::decoding::FileReader reader(cobaltgauge::configuration::kMaxConfigurationBytes);
  for (const std::string& path : paths) {
    std::optional<std::string> text = reader.Read(path);
    if (!text) {
      std::cerr << "cobaltgaugectl: " << reader.GetLastReason() << "\n";
      return std::nullopt;
    }
    texts.push_back(std::move(*text));
  }
  return texts;
}

int queryDaemon(int argc, const char* const* argv) {
  const std::string command = argv[0];
  const auto options = CommandOptions::parse(
      "cobaltgaugectl " + command,
      {{"admin", "admin endpoint of the daemon, ADDRESS:PORT", kRequired}}, argc, argv);
  if (!options) {
    return kUsageError;
  }
  const std::vector<std::string>& arguments = options->arguments();
  const std::size_t expected = command == "explain" ? 3 : command == "drain-status" ? 1 : 0;
  if (arguments.size() != expected) {
    std::cerr << kUsage;
    return kUsageError;
  }
  AdminClient client(options->endpoint("admin"));
  const std::string flow =
      command == "explain" ? arguments[0] + " " + arguments[1] + " " + arguments[2] : "";
  const std::string page = command == "drain-status" ? "services" : command;
  const auto body = client.get("/" + page, flow);
  if (!body) {
    std::cerr << "cobaltgaugectl: " << client.lastReason() << "\n";
    return 1;
  }
  if (command == "drain-status") {
    return finish(drainStatus(*body, arguments[0]));
  }
  std::cout << *body;
  return 0;
}

int runOffline(const std::vector<std::string>& arguments) {
  if (arguments.size() == 2 && arguments[0] == "check") {
    const auto files = readFiles({arguments[1]});
    return files ? finish(checkConfiguration(files->front())) : 1;
  }
  if (arguments.size() == 3 && arguments[0] == "policy" && arguments[1] == "test") {
    const auto files = readFiles({arguments[2]});
    return files ? finish(testPolicies(files->front())) : 1;
  }
  if (arguments.size() == 5 && arguments[0] == "policy" && arguments[1] == "test") {
    const auto files = readFiles({arguments[2], arguments[4]});
    return files ? finish(testPolicy((*files)[0], arguments[3], (*files)[1])) : 1;
  }
  if (arguments.size() == 4 && arguments[0] == "config" && arguments[1] == "diff") {
    const auto files = readFiles({arguments[2], arguments[3]});
    return files ? finish(compareConfigurations((*files)[0], (*files)[1])) : 1;
  }
  std::cerr << kUsage;
  return kUsageError;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const std::vector<std::string> remote{"status",       "members", "services", "explain",
                                        "drain-status", "metrics", "zones"};
  for (const std::string& command : remote) {
    if (!arguments.empty() && arguments[0] == command) {
      return queryDaemon(argc - 1, argv + 1);
    }
  }
  return runOffline(arguments);
}
