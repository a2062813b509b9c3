#include "ctl/offline_commands.h"

#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "configuration/configuration_json.h"
#include "core/constants.h"
#include "core/service_placement.h"
#include "decoding/json_parser.h"
#include "net/address.h"

namespace cobaltgauge::ctl {
namespace {

struct CompiledConfiguration {
  core::ConfigurationVersion version = 0;
  std::vector<core::Service> services;
};

std::optional<CompiledConfiguration> compile(const std::string& text, std::string& reason) {
  configuration::ConfigurationParser parser;
  const std::optional<core::ConfigurationDocument> document = parser.parse(text);
  if (!document) {
    reason = parser.lastReason();
    return std::nullopt;
  }
  configuration::JsonConfigurationCompiler compiler;
  std::optional<std::vector<core::Service>> services = compiler.compile(*document);
  if (!services) {
    reason = compiler.lastReason();
    return std::nullopt;
  }
  return CompiledConfiguration{document->version, std::move(*services)};
}

CommandResult failure(const std::string& reason) { return {reason + "\n", false}; }

std::size_t bucketsOf(const core::ServicePlacement& placement, core::BackendId backend) {
  std::size_t count = 0;
  for (std::size_t bucket = 0; bucket < core::kBucketCount; ++bucket) {
    count += placement.current(bucket) == backend ? 1 : 0;
  }
  return count;
}

void printService(std::ostream& out, const core::Service& service) {
  core::ServicePlacement placement(service.id);
  placement.apply(service, 1, core::Time{});
  out << "service " << service.name << " at " << net::formatEndpoint(service.virtualEndpoint)
      << ", rank " << service.priority;
  if (service.limits.flowsPerBackend != 0) {
    out << ", at most " << service.limits.flowsPerBackend << " flows per back end";
  }
  if (service.limits.newFlowsPerSecond != 0) {
    out << ", at most " << service.limits.newFlowsPerSecond << " new flows a second";
  }
  out << "\n"
      << std::left << std::setw(24) << "back end" << std::setw(16) << "zone" << std::setw(10)
      << "state" << std::setw(8) << "weight"
      << "share\n";
  for (const core::Backend& backend : service.backends) {
    const double share = 100.0 * static_cast<double>(bucketsOf(placement, backend.address.id)) /
                         static_cast<double>(core::kBucketCount);
    const bool active = backend.state == core::BackendState::kActive;
    out << std::setw(24) << backend.name << std::setw(16) << backend.zone << std::setw(10)
        << (active ? "active" : "leaving") << std::setw(8) << backend.weight << std::fixed
        << std::setprecision(2) << share << " %\n";
  }
}

const core::Service* findService(const CompiledConfiguration& compiled, const std::string& name) {
  for (const core::Service& service : compiled.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

std::map<std::string, const core::Backend*> backendsByName(const core::Service& service) {
  std::map<std::string, const core::Backend*> result;
  for (const core::Backend& backend : service.backends) {
    result[backend.name] = &backend;
  }
  return result;
}

void compareServices(std::ostream& out, const core::Service& before, const core::Service& after) {
  std::ostringstream changes;
  const auto old = backendsByName(before);
  const auto current = backendsByName(after);
  for (const auto& [name, backend] : current) {
    const auto previous = old.find(name);
    if (previous == old.end()) {
      changes << "  + back end " << name << ", weight " << backend->weight << "\n";
    } else if (previous->second->state != backend->state) {
      const bool leaves = backend->state == core::BackendState::kDraining;
      changes << "  ~ back end " << name << (leaves ? " leaves\n" : " is active again\n");
    } else if (previous->second->weight != backend->weight) {
      changes << "  ~ back end " << name << ", weight " << previous->second->weight << " -> "
              << backend->weight << "\n";
    } else if (!(previous->second->address == backend->address)) {
      changes << "  ~ back end " << name << " has a different address or incarnation\n";
    }
  }
  for (const auto& [name, backend] : old) {
    if (!current.contains(name)) {
      changes << "  - back end " << name << "\n";
    }
  }
  core::ServicePlacement placement(before.id);
  placement.apply(before, 1, core::Time{});
  const auto moved = placement.apply(after, 2, core::Time{});
  if (moved.any()) {
    changes << "  buckets that move: " << moved.count() << " of " << core::kBucketCount << "\n";
  }
  if (!changes.str().empty()) {
    out << "service " << after.name << "\n" << changes.str();
  }
}

/// Throws nlohmann::json::exception if a field is missing or has another type.
std::string describeDrain(const std::string& backendName, const nlohmann::json& service,
                          const nlohmann::json& backend) {
  const auto buckets = backend.at("buckets").get<std::size_t>();
  const std::string flows = buckets == 0
                                ? "gets no new flow"
                                : "gets new flows from " + std::to_string(buckets) + " buckets";
  return backendName + " of " + service.at("name").get<std::string>() + " is " +
         backend.at("state").get<std::string>() + " and " + flows + "\n";
}

}  // namespace

CommandResult checkConfiguration(const std::string& text) {
  std::string reason;
  const std::optional<CompiledConfiguration> compiled = compile(text, reason);
  if (!compiled) {
    return failure(reason);
  }
  std::ostringstream out;
  out << "version " << compiled->version << " is valid: " << compiled->services.size()
      << " services\n";
  return {out.str(), true};
}

CommandResult testPolicies(const std::string& text) {
  std::string reason;
  const std::optional<CompiledConfiguration> compiled = compile(text, reason);
  if (!compiled) {
    return failure(reason);
  }
  std::ostringstream out;
  for (const core::Service& service : compiled->services) {
    printService(out, service);
  }
  return {out.str(), true};
}

CommandResult testPolicy(const std::string& text, const std::string& serviceName,
                         const std::string& policy) {
  decoding::JsonParser parser(configuration::kConfigurationLimits);
  std::optional<nlohmann::json> root = parser.Parse(text);
  if (!root) {
    return failure("configuration: " + parser.GetLastReason());
  }
  if (!root->is_object() || !root->contains("services") || !(*root)["services"].is_array()) {
    return failure("configuration: not a JSON object with services");
  }
  bool found = false;
  for (nlohmann::json& service : (*root)["services"]) {
    if (service.is_object() && service.value("name", "") == serviceName) {
      service["policy"] = policy;
      found = true;
    }
  }
  return found ? testPolicies(root->dump()) : failure("no service '" + serviceName + "'");
}

CommandResult drainStatus(const std::string& page, const std::string& backendName) {
  decoding::JsonParser parser(configuration::kConfigurationLimits);
  const std::optional<nlohmann::json> services = parser.Parse(page);
  if (!services) {
    return failure("/services: " + parser.GetLastReason());
  }
  try {
    for (const nlohmann::json& service : *services) {
      for (const nlohmann::json& backend : service.at("backends")) {
        if (backend.at("name") == backendName) {
          return {describeDrain(backendName, service, backend), true};
        }
      }
    }
  } catch (const nlohmann::json::exception&) {
    return failure("/services: not the page of a daemon");
  }
  return failure(backendName + " is not in the configuration of this daemon");
}

CommandResult compareConfigurations(const std::string& before, const std::string& after) {
  std::string reason;
  const std::optional<CompiledConfiguration> old = compile(before, reason);
  const std::optional<CompiledConfiguration> current = old ? compile(after, reason) : std::nullopt;
  if (!current) {
    return failure((old ? "second file: " : "first file: ") + reason);
  }
  std::ostringstream out;
  out << "version " << old->version << " -> " << current->version << "\n";
  for (const core::Service& service : current->services) {
    const core::Service* previous = findService(*old, service.name);
    if (previous == nullptr) {
      out << "+ service " << service.name << "\n";
    } else {
      compareServices(out, *previous, service);
    }
  }
  for (const core::Service& service : old->services) {
    if (findService(*current, service.name) == nullptr) {
      out << "- service " << service.name << "\n";
    }
  }
  const bool isNewer = current->version > old->version;
  if (!isNewer) {
    out << "warning: the version does not rise; daemons will reject the second file\n";
  }
  return {out.str(), isNewer};
}

}  // namespace cobaltgauge::ctl
