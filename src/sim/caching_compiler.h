/// @file
/// Compiles each configuration once for all simulated daemons of a process. Every daemon would get
/// the same result, and the policy would otherwise run once per daemon.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "configuration/configuration_json.h"

namespace cobaltgauge::sim {

class CachingCompiler : public core::ConfigurationCompiler {
 public:
  std::optional<std::vector<core::Service>> compile(
      const core::ConfigurationDocument& document) override;
  const std::string& lastReason() const override { return lastReason_; }

 private:
  struct Outcome {
    std::optional<std::vector<core::Service>> services;
    std::string reason;
  };

  configuration::JsonConfigurationCompiler compiler_;
  std::map<std::uint64_t, Outcome> outcomes_;
  std::string lastReason_;
};

}  // namespace cobaltgauge::sim
