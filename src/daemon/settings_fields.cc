/// @file
/// The table of settings.
#include <algorithm>
#include <charconv>

#include "daemon/settings.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

using Assign = std::function<bool(Settings&, const std::string&)>;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::uint64_t kMaxVni = (1U << 24U) - 1;
constexpr std::uint64_t kMaxFlowEntries = 1U << 26U;
constexpr std::uint64_t kMaxRate = 10'000'000;
/// With more, lower ranks would no longer come after the higher ones.
constexpr double kMaxReservedShare = 0.5;

SettingField field(const char* section, const char* key, const char* documentation,
                   std::string allowedValues, Assign assign, bool required = false) {
  return {section,           key,  documentation, std::move(allowedValues), required,
          std::move(assign), false};
}

/// @return true for settings that take effect while the daemon runs (token steering).
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

/// A whole number within bounds, converted to the member's type.
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

/// @return the items of a list separated by commas; none of an empty text.
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

/// Takes a list of endpoints.
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

/// Takes a list of ZONE=REGION.
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
  fields.push_back(nameField("daemon", "zone", "Zone this machine is in", &Settings::zone));
  fields.push_back(nameField("daemon", "region", "Region this machine is in", &Settings::region));
  fields.push_back(field("daemon", "regions_of_zones",
                         "Regions of the zones that back ends are in (token); where a route names "
                         "regions, back ends of other zones get none of its flows",
                         "ZONE=REGION, several separated by commas, or nothing",
                         assignRegionsOfZones));
  fields.push_back(numberField("daemon", "linger_ms",
                               "Time a planned stop goes on forwarding, in milliseconds",
                               &Settings::linger, 0, 600'000));
  fields.push_back(endpointField("data", "listen", "Where Geneve packets arrive (UDP)",
                                 &Settings::dataListen, true));
  fields.push_back(numberField("data", "vni", "Geneve virtual network of callers' packets",
                               &Settings::vni, 0, kMaxVni));
  fields.push_back(numberField("data", "flow_table_entries", "Learned flows held at most",
                               &Settings::flowTableEntries, 8, kMaxFlowEntries));
  fields.push_back(numberField("data", "flow_idle_seconds",
                               "Silence after which a learned flow is forgotten",
                               &Settings::flowIdleTimeout, 1, 86'400));
  fields.push_back(numberField("data", "new_flows_per_second",
                               "New flows this daemon admits over all services; 0: no limit",
                               &Settings::newFlowsPerSecond, 0, kMaxRate));
  fields.push_back(endpointField("data", "fabric_return",
                                 "Where answers to callers are sent (Geneve over UDP); required "
                                 "where steering.mode is recorded",
                                 &Settings::fabricReturn));
  fields.push_back(field("steering", "mode", "How packets of open flows find their back end",
                         "recorded or token", assignSteering));
  fields.push_back(field("steering", "token_form",
                         "What tokens hold: a back end's address, by which a daemon without a view "
                         "reaches it, or a hash of its id",
                         "address or hash", assignTokenForm));
  fields.push_back(field("steering", "spill",
                         "Whether openings leave the zone that the policy prefers while it has too "
                         "little room (token)",
                         "auto or off", assignSpillover));
  fields.push_back(field("steering", "first_view",
                         "Whether a daemon that starts takes flows by a sample of the back ends "
                         "or waits until it knows all (token)",
                         "sample or whole", assignInitialView));
  fields.push_back(numberField("steering", "longest_flow_seconds",
                               "Age that no flow exceeds; departed back ends are kept as long",
                               &Settings::maxFlowAge, 1, 86'400));
  fields.push_back(numberField("steering", "stop_grace_ms",
                               "Time from SIGTERM until the process must have ended",
                               &Settings::stopGrace, 1'000, 600'000));
  fields.push_back(numberField("steering", "apply_within_ms",
                               "Time in which a new configuration has to be in force (token)",
                               &Settings::applyWithin, 500, 600'000));
  fields.push_back(numberField("steering", "drain_within_ms",
                               "Time after which a leaving back end must get no new flow (token)",
                               &Settings::drainWithin, 500, 600'000));
  fields.push_back(
      numberField("steering", "evacuate_within_ms",
                  "Time after which a zone that is taken out must get no new flow (token)",
                  &Settings::evacuateWithin, 500, 600'000));
  fields.push_back(numberField("steering", "reset_dead_flows",
                               "1: open flows of a back end that is proven dead are reset (token)",
                               &Settings::resetDeadFlows, 0, 1));
  fields.push_back(field(
      "steering", "policy_file", "Policy program that weighs back ends for new flows (token)",
      "the path of a Lua file; empty: all alike", [](Settings& settings, const std::string& text) {
        settings.policyFile = text;
        return true;
      }));
  fields.push_back(field("admission", "order",
                         "Which openings are refused while back ends are full: those of the lowest "
                         "rank first, or none (token)",
                         "rank or off", assignAdmissionOrder));
  fields.push_back(field("admission", "least_share",
                         "Share of what full back ends accept that is kept for all ranks but the "
                         "highest (token)",
                         "a number from 0 to 0.5", assignReservedShare));
  fields.push_back(booleanField("load", "reports",
                                "Daemons tell each other of the load they see (token)",
                                &Settings::loadReports));
  fields.push_back(endpointField("readiness", "listen",
                                 "Where GET /ready is answered; required where steering.mode is "
                                 "token",
                                 &Settings::readinessListen));
  fields.push_back(booleanField("steering", "silent_groups",
                                "Whether back ends of a zone that are gone together come last "
                                "together (token)",
                                &Settings::detectUnreachableGroups));
  fields.push_back(booleanField("readiness", "require_reach",
                                "Whether a daemon that reaches none of the back ends that its "
                                "callers need says that it is not ready (token)",
                                &Settings::requireReachableBackend));
  fields.push_back(nameField("cluster", "name", "Name of the cluster", &Settings::clusterName));
  fields.push_back(field("cluster", "key", "Secret shared by the cluster's daemons",
                         "16 to 256 bytes", assignKey, true));
  fields.push_back(endpointField("cluster", "listen", "Where peers reach this daemon (UDP, TCP)",
                                 &Settings::clusterListen, true));
  fields.push_back(field("cluster", "seeds",
                         "Daemons that may exist (token); their ports are taken as the cluster's",
                         "ADDRESS:PORT, several separated by commas, or nothing", assignSeeds));
  fields.push_back(endpointField("platform", "address", "The platform's configuration service",
                                 &Settings::platform, true));
  fields.push_back(numberField("platform", "poll_interval_ms", "Time between two reads",
                               &Settings::platformPollInterval, 50, 600'000));
  fields.push_back(numberField("platform", "timeout_ms", "Longest wait for one answer",
                               &Settings::platformTimeout, 50, 60'000));
  fields.push_back(endpointField("admin", "listen",
                                 "Where the admin page and metrics are served; port 0 picks one",
                                 &Settings::adminListen));
  fields.push_back(field("log", "level", "Least severity that is logged",
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
