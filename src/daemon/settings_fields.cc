/// @file
/// Declarations of all settings.
#include <algorithm>
#include <charconv>

#include "daemon/settings.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

using Assign = std::function<bool(Settings&, const std::string&)>;

constexpr std::size_t kMaxNameBytes = 64;
/// Size of the cluster key.
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::uint64_t kMaxVni = (1U << 24U) - 1;
constexpr std::uint64_t kMaxFlowEntries = 1U << 26U;
/// New flows per second.
constexpr std::uint64_t kMaxNewFlowsPerSecond = 10'000'000;
/// A larger share would no longer favor higher priorities.
constexpr double kMaxReservedShare = 0.5;

SettingField field(const char* section, const char* key, const char* documentation,
                   std::string allowedValues, Assign assign, bool required = false) {
  return {section,           key,  documentation, std::move(allowedValues), required,
          std::move(assign), false};
}

/// @return true for settings that can be changed without a restart (token steering only).
bool isReloadable(const std::string& flag) {
  return flag == "log-level" || flag == "steering-stop-grace-ms" ||
         flag == "steering-policy-file" || flag == "steering-silent-groups" ||
         flag == "steering-spill" || flag == "daemon-regions-of-zones" ||
         flag == "readiness-require-reach" || flag == "platform-address" ||
         flag == "load-reports" || flag == "cluster-seeds" || flag == "admission-order" ||
         flag == "admission-least-share";
}

bool isName(const std::string& text) {
  constexpr const char* kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !text.empty() && text.size() <= kMaxNameBytes &&
         text.find_first_not_of(kAllowed) == std::string::npos;
}

SettingField nameField(const char* section, const char* key, const char* documentation,
                       std::string Settings::*member, bool required = false) {
  return field(
      section, key, documentation, "1 to 64 letters, digits, '-', '_' or '.'",
      [member](Settings& settings, const std::string& text) {
        settings.*member = text;
        return isName(text);
      },
      required);
}

SettingField endpointField(const char* section, const char* key, const char* documentation,
                           core::Endpoint Settings::*member, bool required = false) {
  return field(
      section, key, documentation, "ADDRESS:PORT or [IPV6]:PORT",
      [member](Settings& settings, const std::string& text) {
        const std::optional<core::Endpoint> endpoint = net::parseEndpoint(text);
        settings.*member = endpoint.value_or(core::Endpoint{});
        return endpoint.has_value();
      },
      required);
}

/// A whole number from `minimum` to `maximum`, converted to the type of the member.
template <typename T>
SettingField numberField(const char* section, const char* key, const char* documentation,
                         T Settings::*member, std::uint64_t minimum, std::uint64_t maximum) {
  const std::string allowedValues =
      "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
  return field(section, key, documentation, allowedValues,
               [member, minimum, maximum](Settings& settings, const std::string& text) {
                 std::uint64_t number = 0;
                 const char* end = text.data() + text.size();
                 const auto [parsedEnd, error] = std::from_chars(text.data(), end, number);
                 settings.*member = T(number);
                 return error == std::errc{} && parsedEnd == end && number >= minimum &&
                        number <= maximum;
               });
}

SettingField booleanField(const char* section, const char* key, const char* documentation,
                          bool Settings::*member) {
  SettingField item = field(section, key, documentation, "true or false",
                            [member](Settings& settings, const std::string& text) {
                              settings.*member = text == "true";
                              return text == "true" || text == "false";
                            });
  item.isBoolean = true;
  return item;
}

bool assignLogLevel(Settings& settings, const std::string& text) {
  const std::vector<std::pair<const char*, LogLevel>> levels{{"debug", LogLevel::kDebug},
                                                             {"info", LogLevel::kInfo},
                                                             {"warning", LogLevel::kWarning},
                                                             {"error", LogLevel::kError}};
  for (const auto& [name, level] : levels) {
    if (text == name) {
      settings.logLevel = level;
      return true;
    }
  }
  return false;
}

/// @return the items of a comma-separated list; no items for an empty text.
std::vector<std::string> splitList(const std::string& text) {
  std::vector<std::string> items;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    items.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return items;
}

/// Parses a comma-separated list of endpoints.
bool assignSeeds(Settings& settings, const std::string& text) {
  settings.clusterSeeds.clear();
  for (const std::string& item : splitList(text)) {
    const std::optional<core::Endpoint> seed = net::parseEndpoint(item);
    if (!seed) {
      return false;
    }
    settings.clusterSeeds.push_back(*seed);
  }
  return true;
}

/// Parses a comma-separated list of ZONE=REGION.
bool assignRegionsOfZones(Settings& settings, const std::string& text) {
  settings.regionsOfZones.clear();
  for (const std::string& item : splitList(text)) {
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos || !isName(item.substr(0, equals)) ||
        !isName(item.substr(equals + 1))) {
      return false;
    }
    settings.regionsOfZones[item.substr(0, equals)] = item.substr(equals + 1);
  }
  return true;
}

bool assignSteering(Settings& settings, const std::string& text) {
  settings.steering = text == "token" ? SteeringMode::kToken : SteeringMode::kRecorded;
  return text == "token" || text == "recorded";
}

bool assignSpillover(Settings& settings, const std::string& text) {
  settings.spillover = text == "auto";
  return text == "auto" || text == "off";
}

bool assignInitialView(Settings& settings, const std::string& text) {
  settings.startWithSample = text == "sample";
  return text == "sample" || text == "whole";
}

bool assignTokenForm(Settings& settings, const std::string& text) {
  settings.tokenForm = text == "hash" ? TokenForm::kHash : TokenForm::kAddress;
  return text == "hash" || text == "address";
}

bool assignAdmissionOrder(Settings& settings, const std::string& text) {
  settings.admission.Enabled = text == "rank";
  return text == "rank" || text == "off";
}

bool assignReservedShare(Settings& settings, const std::string& text) {
  double share = 0;
  const char* end = text.data() + text.size();
  const auto [parsedEnd, error] =
      std::from_chars(text.data(), end, share, std::chars_format::fixed);
  settings.admission.ReservedShare = share;
  return error == std::errc{} && parsedEnd == end && share >= 0 && share <= kMaxReservedShare;
}

bool assignKey(Settings& settings, const std::string& text) {
  settings.clusterKey = text;
  return text.size() >= kMinKeyBytes && text.size() <= kMaxKeyBytes;
}

std::vector<SettingField> makeFields() {
  std::vector<SettingField> fields;
  fields.push_back(nameField("daemon", "name", "Name of this daemon, unique in the cluster",
                             &Settings::name, true));
  fields.push_back(nameField("daemon", "zone", "Zone of this daemon", &Settings::zone));
  fields.push_back(nameField("daemon", "region", "Region of this daemon", &Settings::region));
  fields.push_back(field("daemon", "regions_of_zones",
                         "Region of each zone with backends (token); a route that lists regions "
                         "uses only backends in zones of these regions",
                         "ZONE=REGION, several separated by commas, or nothing",
                         assignRegionsOfZones));
  fields.push_back(numberField(
      "daemon", "linger_ms", "Time to keep forwarding during a graceful shutdown, in milliseconds",
      &Settings::linger, 0, 600'000));
  fields.push_back(endpointField("data", "listen", "Endpoint that receives Geneve packets (UDP)",
                                 &Settings::dataListen, true));
  fields.push_back(numberField("data", "vni", "Geneve virtual network identifier of client packets",
                               &Settings::vni, 0, kMaxVni));
  fields.push_back(numberField("data", "flow_table_entries", "Maximum number of learned flows",
                               &Settings::flowTableEntries, 8, kMaxFlowEntries));
  fields.push_back(numberField("data", "flow_idle_seconds",
                               "Idle time after which a learned flow is removed, in seconds",
                               &Settings::flowIdleTimeout, 1, 86'400));
  fields.push_back(numberField("data", "new_flows_per_second",
                               "Maximum rate of new flows admitted over all services; 0: no limit",
                               &Settings::newFlowsPerSecond, 0, kMaxNewFlowsPerSecond));
  fields.push_back(endpointField("data", "fabric_return",
                                 "Endpoint to which responses to clients are sent (Geneve over "
                                 "UDP); required if steering.mode is recorded",
                                 &Settings::fabricReturn));
  fields.push_back(field("steering", "mode",
                         "How the backend of a packet of an established flow is determined",
                         "recorded or token", assignSteering));
  fields.push_back(field("steering", "token_form",
                         "Content of tokens: the address of the backend, which daemons without a "
                         "view can resolve, or a hash of its id",
                         "address or hash", assignTokenForm));
  fields.push_back(field("steering", "spill",
                         "Whether connection attempts spill over to other zones while the zone "
                         "that the policy prefers lacks capacity (token)",
                         "auto or off", assignSpillover));
  fields.push_back(field("steering", "first_view",
                         "Whether a starting daemon accepts flows with a sample of the backends or "
                         "waits for the full view (token)",
                         "sample or whole", assignInitialView));
  fields.push_back(
      numberField("steering", "longest_flow_seconds",
                  "Maximum age of a flow and retention time of departed backends, in seconds",
                  &Settings::maxFlowAge, 1, 86'400));
  fields.push_back(numberField("steering", "stop_grace_ms",
                               "Maximum time from SIGTERM to process exit, in milliseconds",
                               &Settings::stopGrace, 1'000, 600'000));
  fields.push_back(
      numberField("steering", "apply_within_ms",
                  "Time within which a new configuration has to be active, in milliseconds (token)",
                  &Settings::applyWithin, 500, 600'000));
  fields.push_back(numberField(
      "steering", "drain_within_ms",
      "Time after which a draining backend must not get new flows, in milliseconds (token)",
      &Settings::drainWithin, 500, 600'000));
  fields.push_back(numberField(
      "steering", "evacuate_within_ms",
      "Time after which an evacuated zone must not get new flows, in milliseconds (token)",
      &Settings::evacuateWithin, 500, 600'000));
  fields.push_back(numberField(
      "steering", "reset_dead_flows",
      "1: flows of a backend that is confirmed as failed are reset; 0: they are not (token)",
      &Settings::resetDeadFlows, 0, 1));
  fields.push_back(
      field("steering", "policy_file",
            "Policy program that computes the weights of backends for new flows (token)",
            "the path of a Lua file; empty: equal weights",
            [](Settings& settings, const std::string& text) {
              settings.policyFile = text;
              return true;
            }));
  fields.push_back(field("admission", "order",
                         "Which connection attempts are rejected while backends are overloaded: "
                         "those of the lowest priority first, or none (token)",
                         "rank or off", assignAdmissionOrder));
  fields.push_back(field("admission", "least_share",
                         "Share of the capacity of overloaded backends that is reserved for all "
                         "priorities below the highest (token)",
                         "a number from 0 to 0.5", assignReservedShare));
  fields.push_back(booleanField("load", "reports", "Whether daemons exchange load reports (token)",
                                &Settings::loadReports));
  fields.push_back(endpointField(
      "readiness", "listen",
      "Endpoint of the HTTP readiness check (GET /ready); required if steering.mode is token",
      &Settings::readinessListen));
  fields.push_back(booleanField("steering", "silent_groups",
                                "Whether backends of a zone that become unreachable together are "
                                "deprioritized as a group (token)",
                                &Settings::detectUnreachableGroups));
  fields.push_back(booleanField("readiness", "require_reach",
                                "Whether a daemon reports not ready while it reaches none of the "
                                "backends that its clients need (token)",
                                &Settings::requireReachableBackend));
  fields.push_back(nameField("cluster", "name", "Name of the cluster", &Settings::clusterName));
  fields.push_back(field("cluster", "key", "Secret shared by the cluster's daemons",
                         "16 to 256 bytes", assignKey, true));
  fields.push_back(endpointField("cluster", "listen", "Endpoint for messages from peers (UDP, TCP)",
                                 &Settings::clusterListen, true));
  fields.push_back(
      field("cluster", "seeds",
            "Endpoints of possible peers (token); their ports are replaced by the cluster port",
            "ADDRESS:PORT, several separated by commas, or nothing", assignSeeds));
  fields.push_back(endpointField("platform", "address",
                                 "Endpoint of the platform's configuration service",
                                 &Settings::platform, true));
  fields.push_back(numberField("platform", "poll_interval_ms",
                               "Interval between reads, in milliseconds",
                               &Settings::platformPollInterval, 50, 600'000));
  fields.push_back(numberField("platform", "timeout_ms", "Response timeout, in milliseconds",
                               &Settings::platformTimeout, 50, 60'000));
  fields.push_back(endpointField(
      "admin", "listen", "Endpoint of the admin pages and metrics; port 0 selects a free port",
      &Settings::adminListen));
  fields.push_back(field("log", "level", "Minimum severity that is logged",
                         "one of debug, info, warning, error", assignLogLevel));
  for (SettingField& item : fields) {
    item.reloadable = isReloadable(item.flag());
  }
  return fields;
}

}  // namespace

std::string SettingField::flag() const {
  std::string name = std::string(section) + "-" + key;
  for (char& character : name) {
    if (character == '_') {
      character = '-';
    }
  }
  return name;
}

const std::vector<SettingField>& settingFields() {
  static const std::vector<SettingField> kFields = makeFields();
  return kFields;
}

}  // namespace cobaltgauge::daemon
