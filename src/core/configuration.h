/// @file
/// Validated, immutable form of a configuration version. Built by a ConfigurationCompiler and
/// replaced atomically.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// Whether a backend receives new flows.
enum class BackendState : std::uint8_t {
  kActive,    ///< Receives new flows according to its weight.
  kDraining,  ///< Keeps its flows and receives no new ones.
};

/// Address and incarnation of a backend.
struct BackendAddress {
  BackendId id = kNoBackend;
  ServiceId service{0};
  Endpoint endpoint;
  std::uint32_t incarnation = 0;
  ZoneId zone = kNoZone;

  bool operator==(const BackendAddress&) const = default;
};

/// One backend of a service in one configuration version.
struct Backend {
  BackendAddress address;
  std::string name;
  std::string zone;
  BackendState state = BackendState::kActive;
  std::uint32_t weight = 0;  ///< Result of the policy; zero: no new flows.
};

/// How a refusal is sent to a client of a service.
enum class RefusalForm : std::uint8_t { kNone, kCoap, kReset };

/// Admission limits of a service; zero means no limit.
struct ServiceLimits {
  std::uint32_t flowsPerBackend = 0;
  std::uint32_t newFlowsPerSecond = 0;  ///< Per daemon.
};

/// One service: its virtual address, backends and limits.
struct Service {
  ServiceId id{0};
  std::string name;
  Endpoint virtualEndpoint;
  Protocol protocol = Protocol::kUdp;
  RefusalForm refusal = RefusalForm::kNone;
  ServiceLimits limits;
  /// Record every flow at its home, so that a refusal can state that the request was not run. Set
  /// for services with limits; costs one record per flow and one peer hop per flow and daemon.
  bool tracked = false;
  std::uint32_t priority = 0;  ///< Lower priorities are refused first.
  std::vector<Backend> backends;
};

/// Source text of one service, as exchanged between daemons.
struct ServiceDocument {
  std::string name;
  std::string text;
  ConfigurationVersion changedAt = 0;  ///< Version at which this daemon first saw this text.

  bool operator==(const ServiceDocument&) const = default;
};

/// The source of a whole configuration version, sorted by service name.
struct ConfigurationDocument {
  ConfigurationVersion version = 0;
  std::vector<ServiceDocument> services;
};

/// Identifies a configuration by version and content.
struct ConfigurationDigest {
  ConfigurationVersion version = 0;
  std::uint64_t contentHash = 0;

  bool operator==(const ConfigurationDigest&) const = default;
};

/// A compiled configuration version.
struct Configuration {
  ConfigurationDigest digest;
  std::vector<Service> services;
};

/// @return a hash over names and texts, independent of versions.
std::uint64_t contentHashOf(const ConfigurationDocument& document);

/// Compiles and validates source text. Implemented outside the core (JSON and policy).
class ConfigurationCompiler {
 public:
  virtual ~ConfigurationCompiler() = default;

  /// @return the compiled services, or std::nullopt if any part is invalid; see lastReason().
  virtual std::optional<std::vector<Service>> compile(const ConfigurationDocument& document) = 0;

  /// @return why the last compile() failed: service, field or policy line, and allowed values.
  virtual const std::string& lastReason() const = 0;
};

}  // namespace cobaltgauge::core
