/// @file
/// Settings of the daemon: declared once with documentation and checks, read from a TOML file and
/// from command-line flags. A flag goes before the file.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/admission/priority_admission.h"
#include "core/types.h"

namespace cobaltgauge::daemon {

/// How packets of open flows find their back end.
enum class SteeringMode : std::uint8_t {
  kRecorded,  ///< Geneve packets; daemons record the flows that do not follow the table.
  kToken,     ///< Packets of the surrounding platform, which return a token of ours.
};

/// What a token holds.
enum class TokenForm : std::uint8_t {
  kAddress,  ///< The back end's address where it fits; a daemon without a view can use it.
  kHash,     ///< A hash of the back end's id; only a view resolves it.
};

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

struct Settings {
  std::string name;
  std::string zone = "default";
  std::string region = "default";
  std::map<std::string, std::string> regionsOfZones;  ///< Of all zones that back ends may be in.
  core::Endpoint dataListen;
  std::uint32_t vni = 1;
  std::size_t flowTableEntries = 1U << 18U;
  std::chrono::seconds flowIdleTimeout{600};
  std::uint32_t newFlowsPerSecond = 0;
  core::Endpoint fabricReturn;
  std::string clusterName = "cobaltgauge";
  std::string clusterKey;
  core::Endpoint clusterListen;
  std::vector<core::Endpoint> clusterSeeds;  ///< With the cluster's port, whatever theirs is.
  core::Endpoint platform;
  std::chrono::milliseconds platformPollInterval{500};
  std::chrono::milliseconds platformTimeout{1000};
  core::Endpoint adminListen{{{127, 0, 0, 1}, false}, 9901};
  LogLevel logLevel = LogLevel::kInfo;
  std::chrono::milliseconds linger{2000};
  SteeringMode steering = SteeringMode::kRecorded;
  TokenForm tokenForm = TokenForm::kAddress;
  std::chrono::seconds maxFlowAge{60};
  std::chrono::milliseconds stopGrace{6000};
  std::chrono::milliseconds applyWithin{3000};
  std::chrono::milliseconds drainWithin{3000};
  std::chrono::milliseconds evacuateWithin{3000};
  bool loadReports = true;     ///< Daemons tell each other of the load they see.
  bool resetDeadFlows = true;  ///< Of back ends that are proven dead.
  core::Endpoint readinessListen;
  bool detectUnreachableGroups =
      true;  ///< Back ends of a zone that are gone together come last together.
  bool requireReachableBackend = true;  ///< Ready only where some back end is reached.
  bool spillover = true;                ///< Openings leave zones without room.
  bool startWithSample =
      true;  ///< Flows are taken by a sample of the back ends, until all are known.
  core::PriorityAdmissionOptions admission;
  std::string policyFile;  ///< Empty: all back ends are weighed alike.
  /// What the file and the flags gave, by flag; for telling what a reload changes.
  std::map<std::string, std::string> givenValues;
};

/// One setting: where it stands, what it means, what is allowed.
struct SettingField {
  const char* section;
  const char* key;
  const char* documentation;
  std::string allowedValues;
  bool required = false;
  /// Parses and stores a value. @return false where the value is not allowed.
  std::function<bool(Settings&, const std::string&)> assign;
  bool reloadable = false;  ///< Takes effect while the daemon runs.
  bool isBoolean = false;   ///< Its values are true and false.

  /// @return the flag's name without dashes, "section-key" with '-' for '_'.
  std::string flag() const;
};

/// @return every setting the daemon knows.
const std::vector<SettingField>& settingFields();

/// What the command line asks for.
struct CommandLine {
  std::string settingsFile;
  std::vector<std::pair<const SettingField*, std::string>> overrides;
  bool checkOnly = false;
  bool showHelp = false;
  bool showVersion = false;
  std::string helpText;
};

/// Reads settings; keeps the reason of a failure: file, line, field, value and what is allowed.
class SettingsLoader {
 public:
  std::optional<CommandLine> parseCommandLine(int argc, const char* const* argv);

  /// Reads the file, applies the overrides and checks that nothing required is missing.
  std::optional<Settings> load(const CommandLine& commandLine);

  const std::string& lastReason() const { return lastReason_; }

 private:
  bool readFile(const std::string& path, Settings& settings, std::vector<std::string>& givenFlags);
  std::nullopt_t fail(std::string reason);

  std::string lastReason_;
};

}  // namespace cobaltgauge::daemon
