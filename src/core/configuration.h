/// @file
/// The checked, immutable form of one configuration version. Built by a ConfigurationCompiler and
/// swapped whole: a reader sees the old version or the new one, never a mixture.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// What a back end may be given.
enum class BackendState : std::uint8_t {
  kActive,    ///< Takes new flows by its weight.
  kDraining,  ///< Keeps its flows, takes no new one.
};

/// Where a back end is and which incarnation of it; enough to forward to it.
struct BackendAddress {
  BackendId id = kNoBackend;
  ServiceId service{0};
  Endpoint endpoint;
  std::uint32_t incarnation = 0;
  ZoneId zone = kNoZone;

  bool operator==(const BackendAddress&) const = default;
};

/// One back end of a service in one configuration version.
struct Backend {
  BackendAddress address;
  std::string name;
  std::string zone;
  BackendState state = BackendState::kActive;
  std::uint32_t weight = 0;  ///< Result of the policy; zero takes no new flow.
};

/// How a service tells a caller that a packet was refused.
enum class RefusalForm : std::uint8_t { kNone, kCoap, kReset };

/// Admission bounds of a service; zero means "no limit".
struct ServiceLimits {
  std::uint32_t flowsPerBackend = 0;
  std::uint32_t newFlowsPerSecond = 0;  ///< Per daemon.
};

/// One service: the address callers use, its back ends and its bounds.
struct Service {
  ServiceId id{0};
  std::string name;
  Endpoint virtualEndpoint;
  Protocol protocol = Protocol::kUdp;
  RefusalForm refusal = RefusalForm::kNone;
  ServiceLimits limits;
  /// Every flow is recorded at its home, so that a refusal can prove that nothing ran. Set where
  /// the service has limits; costs one record per flow and one peer hop per flow and daemon.
  bool tracked = false;
  std::uint32_t priority = 0;  ///< Higher is more important; lower ranks are shed first.
  std::vector<Backend> backends;
};

/// The source text of one service as it travels between daemons.
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

/// Identity of a configuration: two daemons are in agreement when both parts are equal.
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

/// Turns source text into a checked configuration. Implemented outside the core (JSON and policy).
class ConfigurationCompiler {
 public:
  virtual ~ConfigurationCompiler() = default;

  /// @return the compiled services, or nothing when any part is invalid; see lastReason().
  virtual std::optional<std::vector<Service>> compile(const ConfigurationDocument& document) = 0;

  /// @return why the last compile() failed: service, field or policy line, and what is allowed.
  virtual const std::string& lastReason() const = 0;
};

}  // namespace cobaltgauge::core
