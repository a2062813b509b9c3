/// @file
/// Configuration compiler that caches results by content hash, so that simulated daemons of one
/// process don't compile the same configuration repeatedly.
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
