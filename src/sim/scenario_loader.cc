#include "sim/scenario_loader.h"

#include <set>

#include "decoding/excerpt.h"
#include "decoding/file_reader.h"
#include "decoding/toml_parser.h"

namespace cobaltgauge::sim {
namespace {

/// Upper bounds of the numbers and durations in a scenario file.
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::int64_t kMaxMilliseconds = 86'400'000;

/// Reads fields of a TOML table and records the first error. The destructor reports unknown fields.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, std::string& error)
      : table_(table), path_(std::move(path)), error_(error) {}

  ~TableReader() {
    for (const auto& [key, node] : table_) {
      if (!known_.contains(std::string(key.str()))) {
        fail(node, std::string(key.str()), "unknown field");
      }
    }
  }
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;

  void text(const char* key, std::string& value) {
    if (const toml::node* node = find(key)) {
      const auto found = node->value_exact<std::string>();
      if (!found) {
        fail(*node, key, "must be a string");
      }
      value = found.value_or(value);
    }
  }

  template <typename T>
  void count(const char* key, T& value) {
    value = static_cast<T>(number(key, static_cast<std::int64_t>(value), kMaxCount));
  }

  void milliseconds(const char* key, core::Duration& value) {
    using std::chrono::milliseconds;
    const auto current = std::chrono::duration_cast<milliseconds>(value).count();
    if (find(key) != nullptr) {
      value = milliseconds(number(key, current, kMaxMilliseconds));
    }
  }

  void microseconds(const char* key, core::Duration& value) {
    value = core::Duration(number(key, value.count(), kMaxMilliseconds));
  }

  /// @return the elements of an array of tables; empty if the field is missing.
  std::vector<const toml::table*> tables(const char* key) {
    std::vector<const toml::table*> result;
    const toml::node* node = find(key);
    const toml::array* array = node == nullptr ? nullptr : node->as_array();
    if (node != nullptr && array == nullptr) {
      fail(*node, key, "must be an array of tables");
    }
    if (array != nullptr) {
      for (const toml::node& item : *array) {
        if (const toml::table* table = item.as_table()) {
          result.push_back(table);
        } else {
          fail(item, key, "must contain only tables");
        }
      }
    }
    return result;
  }

  const toml::table* table(const char* key) {
    const toml::node* node = find(key);
    if (node != nullptr && node->as_table() == nullptr) {
      fail(*node, key, "must be a table");
    }
    return node == nullptr ? nullptr : node->as_table();
  }

  void fail(const toml::node& node, const std::string& key, const std::string& problem) {
    if (error_.empty()) {
      error_ = "line " + std::to_string(node.source().begin.line) + ": " + path_ +
               decoding::Excerpt(key) + ": " + problem;
    }
  }

  void reject(const char* key, const std::string& problem) { fail(table_, key, problem); }

 private:
  const toml::node* find(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }

  std::int64_t number(const char* key, std::int64_t current, std::int64_t highest) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      return current;
    }
    const auto found = node->value_exact<std::int64_t>();
    if (!found || *found < 0 || *found > highest) {
      fail(*node, key, "must be an integer from 0 to " + std::to_string(highest));
      return current;
    }
    return *found;
  }

  const toml::table& table_;
  std::string path_;
  std::string& error_;
  std::set<std::string> known_;
};

ZoneSpec readZone(const toml::table& table, std::string& error) {
  ZoneSpec zone;
  TableReader reader(table, "zone.", error);
  reader.text("name", zone.name);
  reader.text("region", zone.region);
  reader.count("daemons", zone.daemons);
  if (zone.name.empty()) {
    reader.reject("name", "required");
  }
  return zone;
}

ServiceSpec readService(const toml::table& table, std::string& error) {
  ServiceSpec service;
  TableReader reader(table, "service.", error);
  reader.text("name", service.name);
  std::string protocol = "udp";
  reader.text("protocol", protocol);
  service.protocol = protocol == "tcp" ? core::Protocol::kTcp : core::Protocol::kUdp;
  reader.count("backends", service.backends);
  reader.count("sessions", service.sessions);
  reader.count("slots", service.slots);
  reader.count("max_sessions", service.maxSessions);
  reader.microseconds("service_us", service.serviceTime);
  reader.milliseconds("cold_ms", service.warmUpTime);
  reader.milliseconds("request_interval_ms", service.requestInterval);
  reader.milliseconds("session_lifetime_ms", service.sessionLifetime);
  reader.count("fetch_percent", service.fetchPercent);
  reader.text("policy", service.policy);
  if (service.name.empty()) {
    reader.reject("name", "required");
  }
  if (protocol != "tcp" && protocol != "udp") {
    reader.reject("protocol", "must be udp or tcp");
  }
  return service;
}

FaultSpec readFault(const toml::table& table, std::string& error) {
  FaultSpec fault;
  TableReader reader(table, "fault.", error);
  reader.milliseconds("at_ms", fault.at);
  std::string kind;
  reader.text("kind", kind);
  reader.text("target", fault.target);
  const std::optional<FaultKind> known = faultKindFromName(kind);
  if (!known) {
    reader.reject("kind",
                  "\"" + decoding::Excerpt(kind) + "\" is not a fault kind; see docs/SIMULATOR.md");
  }
  fault.kind = known.value_or(FaultKind::kKillDaemon);
  return fault;
}

void readNetwork(const toml::table& table, NetworkSpec& network, std::string& error) {
  TableReader reader(table, "network.", error);
  reader.microseconds("same_zone_us", network.sameZone);
  reader.microseconds("cross_zone_us", network.crossZone);
  reader.microseconds("cross_region_us", network.crossRegion);
  reader.microseconds("caller_us", network.client);
  reader.microseconds("jitter_us", network.jitter);
  reader.count("loss_permille", network.lossPermille);
  reader.count("duplicate_permille", network.duplicatePermille);
}

void readScenario(const toml::table& root, Scenario& scenario, std::string& error) {
  TableReader reader(root, "", error);
  reader.text("name", scenario.name);
  reader.count("seed", scenario.seed);
  std::string variant = toString(scenario.variant);
  reader.text("variant", variant);
  const std::optional<Variant> known = variantFromName(variant);
  if (!known) {
    reader.reject("variant", "must be modulo, table, cached_table or cobaltgauge");
  }
  scenario.variant = known.value_or(Variant::kCobaltgauge);
  reader.milliseconds("duration_ms", scenario.duration);
  reader.milliseconds("platform_lag_ms", scenario.platformLag);
  reader.milliseconds("platform_poll_ms", scenario.platformPoll);
  reader.milliseconds("fabric_lag_ms", scenario.fabricLag);
  reader.milliseconds("linger_ms", scenario.shutdownDelay);
  reader.count("flow_table_entries", scenario.flowTableEntries);
  for (const toml::table* zone : reader.tables("zone")) {
    scenario.zones.push_back(readZone(*zone, error));
  }
  for (const toml::table* service : reader.tables("service")) {
    scenario.services.push_back(readService(*service, error));
  }
  for (const toml::table* fault : reader.tables("fault")) {
    scenario.faults.push_back(readFault(*fault, error));
  }
  if (const toml::table* network = reader.table("network")) {
    readNetwork(*network, scenario.network, error);
  }
  if (scenario.zones.empty()) {
    reader.reject("zone", "at least one [[zone]] is required");
  }
  if (scenario.services.empty()) {
    reader.reject("service", "at least one [[service]] is required");
  }
}

}  // namespace

std::optional<Variant> variantFromName(const std::string& name) {
  for (const Variant variant : kAllVariants) {
    if (name == toString(variant)) {
      return variant;
    }
  }
  return std::nullopt;
}

std::optional<Scenario> ScenarioLoader::loadText(const std::string& text, const std::string& name) {
  Scenario scenario;
  std::string error;
  decoding::TomlParser parser;
  if (const std::optional<toml::table> root = parser.Parse(text)) {
    readScenario(*root, scenario, error);
  } else {
    error = "line " + std::to_string(parser.GetLastLine()) + ": " + parser.GetLastReason();
  }
  if (!error.empty()) {
    lastReason_ = name + ": " + error;
    return std::nullopt;
  }
  return scenario;
}

std::optional<Scenario> ScenarioLoader::loadFile(const std::string& path) {
  decoding::FileReader file(decoding::kMaxTomlBytes);
  const std::optional<std::string> text = file.Read(path);
  if (!text) {
    lastReason_ = file.GetLastReason();
    return std::nullopt;
  }
  return loadText(*text, path);
}

}  // namespace cobaltgauge::sim
