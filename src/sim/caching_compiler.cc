#include "sim/caching_compiler.h"

namespace cobaltgauge::sim {

std::optional<std::vector<core::Service>> CachingCompiler::compile(
    const core::ConfigurationDocument& document) {
  const std::uint64_t hash = core::contentHashOf(document);
  auto known = outcomes_.find(hash);
  if (known == outcomes_.end()) {
    Outcome outcome{compiler_.compile(document), compiler_.lastReason()};
    known = outcomes_.emplace(hash, std::move(outcome)).first;
  }
  lastReason_ = known->second.reason;
  return known->second.services;
}

}  // namespace cobaltgauge::sim
