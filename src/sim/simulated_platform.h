/// @file
/// The platform of the model: keeps the operators' services, publishes versions, and serves them
/// late, stale, contradictory or not at all.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/configuration.h"
#include "sim/scenario.h"

namespace cobaltgauge::sim {

/// One back end as the operator lists it.
struct ListedBackend {
  std::string name;
  std::string zone;
  core::Endpoint endpoint;
  std::uint32_t incarnation = 1;
  bool draining = false;
};

/// One service as the operator lists it.
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
  /// @return the listed back end and its service, null pointers where there is none.
  std::pair<ListedService*, ListedBackend*> findBackend(const std::string& name);

  /// Publishes the present services as the next version. @return the version.
  core::ConfigurationVersion publish(core::Time now);
  /// Publishes the present services as a second content of the latest version.
  void publishConflicting(core::Time now);

  void setDown(bool down) { down_ = down; }
  void setStale(bool stale) { stale_ = stale; }

  /// @param reader readers with odd numbers see the conflicting content where there is one.
  /// @return what a reader gets now, nothing while the platform is down.
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
