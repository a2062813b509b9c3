#include "daemon/policy_weights.h"

#include "daemon/log.h"

namespace cobaltgauge::daemon {
namespace {

/// Far more than the services, zones and versions of a deployment; other writers of the store may
/// make up any number of them.
constexpr std::size_t kMaxCachedWeights = 4096;

}  // namespace

bool PolicyWeights::load(const std::string& source) {
  core::Registration trialRegistration;
  trialRegistration.zone = zone_;
  if (!evaluate(source, trialRegistration)) {
    return false;
  }
  source_ = source;
  weights_.clear();
  return true;
}

std::uint32_t PolicyWeights::weightOf(const core::Registration& registration) {
  if (source_.empty()) {
    return core::kDefaultPlacementWeight;
  }
  const BackendAttributes attributes{registration.service, registration.zone,
                                     registration.softwareVersion, registration.capacity};
  const auto cached = weights_.find(attributes);
  if (cached != weights_.end()) {
    return cached->second;
  }
  const std::optional<std::uint32_t> weight = evaluate(source_, registration);
  if (!weight) {
    logEvent(LogLevel::kError, "policy_failed",
             {{"service", registration.service},
              {"zone", registration.zone},
              {"reason", evaluator_.lastReason()},
              {"weight", std::to_string(core::kDefaultPlacementWeight)}});
  }
  if (weights_.size() >= kMaxCachedWeights) {
    weights_.clear();
  }
  return weights_.emplace(attributes, weight.value_or(core::kDefaultPlacementWeight)).first->second;
}

std::optional<std::uint32_t> PolicyWeights::evaluate(const std::string& source,
                                                     const core::Registration& registration) {
  policy::PolicyInput input;
  input.source = source;
  input.flowClass = registration.service;
  policy::PolicyBackend backend;
  backend.name = registration.service;
  backend.zone = registration.zone;
  backend.state = registration.state;
  backend.capacity = registration.capacity;
  backend.version = registration.softwareVersion;
  backend.sameZone = registration.zone == zone_;
  input.backends.push_back(backend);
  const std::optional<policy::PolicyResult> result = evaluator_.evaluate(input);
  return result ? std::optional(result->weights.front()) : std::nullopt;
}

}  // namespace cobaltgauge::daemon
