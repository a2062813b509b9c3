/// @file
/// Settings of the daemon, read from a TOML file and command-line flags. Flags override the file.
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

/// How the backend of a packet of an established flow is determined.
enum class SteeringMode : std::uint8_t {
  kRecorded,  ///< Geneve packets; daemons record flows that differ from the placement.
  kToken,     ///< Platform packets, in which clients echo a token issued by a daemon.
};

/// Content of a token.
enum class TokenForm : std::uint8_t {
  kAddress,  ///< The backend's address if it fits; resolvable without a view.
  kHash,     ///< A hash of the backend's id; resolvable only with a view.
};

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// Values of the settings, initialized to their defaults. settings_fields.cc describes each
/// setting.
struct Settings {
  std::string name;
  std::string zone = "default";
  std::string region = "default";
  std::map<std::string, std::string> regionsOfZones;  ///< Region of each zone with backends.
  core::Endpoint dataListen;
  std::uint32_t vni = 1;
  std::size_t flowTableEntries = 1U << 18U;
  std::chrono::seconds flowIdleTimeout{600};
  std::uint32_t newFlowsPerSecond = 0;  ///< Limit over all services; 0 means no limit.
  core::Endpoint fabricReturn;          ///< Destination of responses to clients.
  std::string clusterName = "cobaltgauge";
  std::string clusterKey;
  core::Endpoint clusterListen;
  std::vector<core::Endpoint> clusterSeeds;  ///< Their ports are replaced by the cluster port.
  core::Endpoint platform;
  std::chrono::milliseconds platformPollInterval{500};
  std::chrono::milliseconds platformTimeout{1000};
  core::Endpoint adminListen{{{127, 0, 0, 1}, false}, 9901};
  LogLevel logLevel = LogLevel::kInfo;
  std::chrono::milliseconds linger{2000};  ///< Forwarding continues this long after a stop signal.
  SteeringMode steering = SteeringMode::kRecorded;
  TokenForm tokenForm = TokenForm::kAddress;
  std::chrono::seconds maxFlowAge{60};          ///< Also the retention time of departed backends.
  std::chrono::milliseconds stopGrace{6000};    ///< From SIGTERM to process exit.
  std::chrono::milliseconds applyWithin{3000};  ///< Until a new configuration is active.
  std::chrono::milliseconds drainWithin{3000};  ///< Until a draining backend gets no new flows.
  std::chrono::milliseconds evacuateWithin{3000};  ///< Until an evacuated zone gets no new flows.
  bool loadReports = true;                         ///< Daemons exchange load reports.
  bool resetDeadFlows = true;  ///< Resets flows of backends confirmed as failed.
  core::Endpoint readinessListen;
  bool detectUnreachableGroups = true;  ///< Deprioritizes the backends of such a group.
  bool requireReachableBackend = true;  ///< The daemon is ready only while it reaches one.
  bool spillover = true;        ///< Connection attempts may leave zones without spare capacity.
  bool startWithSample = true;  ///< Accepts flows before the full view is known.
  core::PriorityAdmissionOptions admission;
  std::string policyFile;  ///< If empty, all backends have the default weight.
  /// Explicitly set values by flag name; a reload compares them to find changes.
  std::map<std::string, std::string> givenValues;
};

/// Declaration of a setting.
struct SettingField {
  const char* section;
  const char* key;
  const char* documentation;
  std::string allowedValues;
  bool required = false;
  /// Parses and stores a value. @return false if the value is not allowed.
  std::function<bool(Settings&, const std::string&)> assign;
  bool reloadable = false;  ///< Can be changed without a restart.
  bool isBoolean = false;   ///< The value is true or false.

  /// @return the name of the flag without leading dashes: "section-key" with '-' in place of '_'.
  std::string flag() const;
};

/// @return the declarations of all settings.
const std::vector<SettingField>& settingFields();

/// Parsed command line.
struct CommandLine {
  std::string settingsFile;
  std::vector<std::pair<const SettingField*, std::string>> overrides;
  bool checkOnly = false;
  bool showHelp = false;
  bool showVersion = false;
  std::string helpText;
};

/// Reads settings. After a failure, lastReason() gives file, line, field, value and allowed values.
class SettingsLoader {
 public:
  std::optional<CommandLine> parseCommandLine(int argc, const char* const* argv);

  /// Reads the file, applies the overrides and checks that all required settings are present.
  std::optional<Settings> load(const CommandLine& commandLine);

  const std::string& lastReason() const { return lastReason_; }

 private:
  bool readFile(const std::string& path, Settings& settings, std::vector<std::string>& givenFlags);
  std::nullopt_t fail(std::string reason);

  std::string lastReason_;
};

}  // namespace cobaltgauge::daemon
