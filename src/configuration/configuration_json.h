/// @file
/// Parses the platform's JSON configuration and compiles it to core services. The format is
/// described in docs/CONFIGURATION.md.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/configuration.h"
#include "decoding/decoding_limits.h"
#include "policy/policy_evaluator.h"

namespace cobaltgauge::configuration {

/// Maximum size of a configuration, of the list of machines and of an admin page.
inline constexpr std::size_t kMaxConfigurationBytes = 16U << 20U;
/// Limits on these documents. 10,000 backends have 150,000 values.
inline constexpr decoding::DecodingLimits kConfigurationLimits{
    .MaxBytes = kMaxConfigurationBytes, .MaxDepth = 16, .MaxValues = 1U << 20U};

/// Splits the configuration text into one document per service and keeps the last error message.
class ConfigurationParser {
 public:
  std::optional<core::ConfigurationDocument> parse(const std::string& text);
  const std::string& lastReason() const { return lastReason_; }

 private:
  std::string lastReason_;
};

/// Compiles service documents: validates fields, evaluates policies and checks for conflicts
/// between services.
class JsonConfigurationCompiler : public core::ConfigurationCompiler {
 public:
  std::optional<std::vector<core::Service>> compile(
      const core::ConfigurationDocument& document) override;
  const std::string& lastReason() const override { return lastReason_; }

 private:
  std::optional<core::Service> compileService(const core::ServiceDocument& document);
  bool applyPolicy(const std::string& source, const std::string& flowClass,
                   const std::vector<std::uint32_t>& capacities, core::Service& service);
  bool checkConflicts(const std::vector<core::Service>& services);
  std::nullopt_t fail(std::string reason);

  policy::PolicyEvaluator policies_;
  std::string lastReason_;
};

}  // namespace cobaltgauge::configuration
