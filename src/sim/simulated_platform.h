/// @file
/// Simulated platform that publishes configuration versions. Reads can be delayed, stale,
/// conflicting or unavailable.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/configuration.h"
#include "sim/scenario.h"

namespace cobaltgauge::sim {

/// Backend entry of the configuration.
struct ListedBackend {
  std::string name;
  std::string zone;
  core::Endpoint endpoint;
  std::uint32_t incarnation = 1;
  bool draining = false;
};

/// Service entry of the configuration.
struct ListedService {
  ServiceSpec spec;
  core::Endpoint virtualEndpoint;
  std::string policy;
  std::vector<ListedBackend> backends;
};

class SimulatedPlatform {
 public:
  explicit SimulatedPlatform(core::Duration lag) : lag_(lag) {}

  std::vector<ListedService>& services() { return services_; }
  ListedService* findService(const std::string& name);
  /// @return the service and its backend with this name, null pointers if there is none.
  std::pair<ListedService*, ListedBackend*> findBackend(const std::string& name);

  /// Publishes the current services as the next version. @return the version.
  core::ConfigurationVersion publish(core::Time now);
  /// Publishes the current services as conflicting content of the latest version.
  void publishConflicting(core::Time now);

  void setDown(bool down) { down_ = down; }
  void setStale(bool stale) { stale_ = stale; }

  /// @param reader odd readers get the conflicting content if there is any.
  /// @return the document visible to the reader; nothing while the platform is down.
  std::optional<core::ConfigurationDocument> read(core::Time now, std::size_t reader) const;

 private:
  struct Published {
    core::Time at{};
    core::ConfigurationDocument document;
    std::optional<core::ConfigurationDocument> conflicting;
  };

  core::ConfigurationDocument makeDocument(core::ConfigurationVersion version) const;

  core::Duration lag_;
  std::vector<ListedService> services_;
  std::vector<Published> published_;
  bool down_ = false;
  bool stale_ = false;
};

}  // namespace cobaltgauge::sim
