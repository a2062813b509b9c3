#include "configuration/configuration_json.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "configuration/json_reader.h"
#include "core/hashing.h"
#include "decoding/json_parser.h"
#include "net/address.h"

namespace cobaltgauge::configuration {
namespace {

constexpr std::uint64_t kMaxPort = 65535;
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
/// Nominal capacity of a backend in flows.
constexpr std::uint64_t kDefaultCapacity = 2000;
constexpr std::uint64_t kMaxCapacity = 10'000'000;

core::Backend readBackend(JsonReader& reader, core::ServiceId service, std::uint32_t& capacity) {
  reader.rejectUnknownFields(
      {"name", "address", "port", "incarnation", "zone", "state", "capacity"});
  core::Backend backend;
  backend.name = reader.text("name");
  backend.zone = reader.textOr("zone", "default");
  backend.address.service = service;
  backend.address.endpoint.address = reader.address("address");
  backend.address.endpoint.port = static_cast<std::uint16_t>(reader.number("port", 1, kMaxPort));
  backend.address.incarnation =
      static_cast<std::uint32_t>(reader.numberOr("incarnation", 0, UINT32_MAX));
  backend.state = reader.choice("state", {"active", "leaving"}, 0) == 0
                      ? core::BackendState::kActive
                      : core::BackendState::kDraining;
  capacity =
      static_cast<std::uint32_t>(reader.numberOr("capacity", kDefaultCapacity, kMaxCapacity));
  backend.address.id =
      core::backendIdOf(service, backend.address.endpoint, backend.address.incarnation);
  return backend;
}

}  // namespace

std::optional<core::ConfigurationDocument> ConfigurationParser::parse(const std::string& text) {
  decoding::JsonParser parser(kConfigurationLimits);
  const std::optional<nlohmann::json> root = parser.Parse(text);
  if (!root) {
    lastReason_ = "configuration: " + parser.GetLastReason();
    return std::nullopt;
  }
  JsonReader reader(*root, "configuration");
  reader.rejectUnknownFields({"version", "services"});
  core::ConfigurationDocument document;
  document.version = reader.number("version", 1, kMaxVersion);
  std::size_t index = 0;
  for (const nlohmann::json& service : reader.array("services")) {
    JsonReader serviceReader(service, "services[" + std::to_string(index++) + "]");
    const std::string name = serviceReader.text("name");
    if (!serviceReader.ok()) {
      lastReason_ = serviceReader.error();
      return std::nullopt;
    }
    document.services.push_back(
        {name, service.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0});
  }
  if (!reader.ok()) {
    lastReason_ = reader.error();
    return std::nullopt;
  }
  return document;
}

std::nullopt_t JsonConfigurationCompiler::fail(std::string reason) {
  lastReason_ = std::move(reason);
  return std::nullopt;
}

std::optional<std::vector<core::Service>> JsonConfigurationCompiler::compile(
    const core::ConfigurationDocument& document) {
  std::vector<core::Service> services;
  for (const core::ServiceDocument& serviceDocument : document.services) {
    std::optional<core::Service> service = compileService(serviceDocument);
    if (!service) {
      return std::nullopt;
    }
    services.push_back(std::move(*service));
  }
  if (!checkConflicts(services)) {
    return std::nullopt;
  }
  return services;
}

std::optional<core::Service> JsonConfigurationCompiler::compileService(
    const core::ServiceDocument& document) {
  const std::string path = "service '" + document.name + "'";
  decoding::JsonParser parser(kConfigurationLimits);
  const std::optional<nlohmann::json> root = parser.Parse(document.text);
  if (!root) {
    return fail(path + ": " + parser.GetLastReason());
  }
  JsonReader reader(*root, path);
  reader.rejectUnknownFields({"name", "address", "port", "protocol", "class", "refusal", "policy",
                              "backends", "evacuated_zones"});
  core::Service service;
  service.name = reader.text("name");
  service.id = core::serviceIdOf(service.name);
  service.virtualEndpoint.address = reader.address("address");
  service.virtualEndpoint.port = static_cast<std::uint16_t>(reader.number("port", 1, kMaxPort));
  service.protocol = reader.choice("protocol", {"udp", "tcp"}, 0) == 0 ? core::Protocol::kUdp
                                                                       : core::Protocol::kTcp;
  service.refusal =
      static_cast<core::RefusalForm>(reader.choice("refusal", {"none", "coap", "reset"}, 0));
  const bool isUdp = service.protocol == core::Protocol::kUdp;
  if (service.refusal == core::RefusalForm::kCoap && !isUdp) {
    reader.fail("refusal", "coap needs protocol udp");
  }
  if (service.refusal == core::RefusalForm::kReset && isUdp) {
    reader.fail("refusal", "reset needs protocol tcp");
  }
  const std::string source = reader.text("policy");
  const std::string flowClass = reader.textOr("class", service.name);
  const std::set<std::string> evacuated = reader.optionalNames("evacuated_zones");
  std::vector<std::uint32_t> capacities;
  std::set<std::string> names;
  for (const nlohmann::json& item : reader.array("backends")) {
    const std::string backendPath =
        path + ".backends[" + std::to_string(service.backends.size()) + "]";
    JsonReader backendReader(item, backendPath);
    std::uint32_t capacity = 0;
    service.backends.push_back(readBackend(backendReader, service.id, capacity));
    capacities.push_back(capacity);
    if (evacuated.contains(service.backends.back().zone)) {
      // A draining backend keeps its flows and gets no new ones.
      service.backends.back().state = core::BackendState::kDraining;
    }
    if (!names.insert(service.backends.back().name).second) {
      backendReader.fail("name", "'" + service.backends.back().name + "' is used twice");
    }
    if (!backendReader.ok()) {
      return fail(backendReader.error());
    }
  }
  if (!reader.ok()) {
    return fail(reader.error());
  }
  if (!applyPolicy(source, flowClass, capacities, service)) {
    return std::nullopt;
  }
  return service;
}

bool JsonConfigurationCompiler::applyPolicy(const std::string& source, const std::string& flowClass,
                                            const std::vector<std::uint32_t>& capacities,
                                            core::Service& service) {
  policy::PolicyInput input{source, flowClass, {}};
  for (std::size_t i = 0; i < service.backends.size(); ++i) {
    const core::Backend& backend = service.backends[i];
    input.backends.push_back({backend.name, backend.zone, backend.state, capacities[i]});
  }
  const std::optional<policy::PolicyResult> result = policies_.evaluate(input);
  if (!result) {
    fail("service '" + service.name + "'.policy: " + policies_.lastReason());
    return false;
  }
  for (std::size_t i = 0; i < service.backends.size(); ++i) {
    service.backends[i].weight = result->weights[i];
  }
  service.priority = result->priority;
  service.limits = result->limits;
  service.tracked = service.protocol == core::Protocol::kUdp &&
                    (service.limits.flowsPerBackend != 0 || service.limits.newFlowsPerSecond != 0);
  return true;
}

bool JsonConfigurationCompiler::checkConflicts(const std::vector<core::Service>& services) {
  std::map<core::ServiceId, std::string> names;
  std::map<std::pair<core::Endpoint, core::Protocol>, std::string> virtualAddresses;
  std::map<core::Endpoint, std::string> backendOwners;
  for (const core::Service& service : services) {
    if (const auto [it, isNew] = names.emplace(service.id, service.name); !isNew) {
      fail("service '" + service.name +
           "': name is used twice or its hash collides with that of '" + it->second +
           "'; choose another name");
      return false;
    }
    const auto key = std::make_pair(service.virtualEndpoint, service.protocol);
    if (const auto [it, isNew] = virtualAddresses.emplace(key, service.name); !isNew) {
      fail("service '" + service.name + "': address, port and protocol already belong to '" +
           it->second + "'");
      return false;
    }
    for (const core::Backend& backend : service.backends) {
      const core::Endpoint& endpoint = backend.address.endpoint;
      if (const auto [it, isNew] = backendOwners.emplace(endpoint, service.name); !isNew) {
        fail("service '" + service.name + "': back end '" + backend.name + "' at " +
             net::formatEndpoint(endpoint) + " already belongs to service '" + it->second + "'");
        return false;
      }
    }
  }
  return true;
}

}  // namespace cobaltgauge::configuration
