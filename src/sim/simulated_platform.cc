#include "sim/simulated_platform.h"

#include <nlohmann/json.hpp>

#include "net/address.h"

namespace cobaltgauge::sim {
namespace {

constexpr const char* kEqualWeightsPolicy =
    "function place(class, backend) if backend.state == 'active' then return 100 end return 0 end";

std::string serviceText(const ListedService& service) {
  nlohmann::json backends = nlohmann::json::array();
  for (const ListedBackend& backend : service.backends) {
    backends.push_back({{"name", backend.name},
                        {"address", net::formatAddress(backend.endpoint.address)},
                        {"port", backend.endpoint.port},
                        {"incarnation", backend.incarnation},
                        {"zone", backend.zone},
                        {"state", backend.draining ? "leaving" : "active"}});
  }
  const bool udp = service.spec.protocol == core::Protocol::kUdp;
  const nlohmann::json object{
      {"name", service.spec.name},
      {"address", net::formatAddress(service.virtualEndpoint.address)},
      {"port", service.virtualEndpoint.port},
      {"protocol", udp ? "udp" : "tcp"},
      {"refusal", udp ? "coap" : "reset"},
      {"policy", service.policy.empty() ? kEqualWeightsPolicy : service.policy},
      {"backends", backends}};
  return object.dump();
}

}  // namespace

ListedService* SimulatedPlatform::findService(const std::string& name) {
  for (ListedService& service : services_) {
    if (service.spec.name == name) {
      return &service;
    }
  }
  return nullptr;
}

std::pair<ListedService*, ListedBackend*> SimulatedPlatform::findBackend(const std::string& name) {
  for (ListedService& service : services_) {
    for (ListedBackend& backend : service.backends) {
      if (backend.name == name) {
        return {&service, &backend};
      }
    }
  }
  return {nullptr, nullptr};
}

core::ConfigurationDocument SimulatedPlatform::makeDocument(
    core::ConfigurationVersion version) const {
  core::ConfigurationDocument document;
  document.version = version;
  for (const ListedService& service : services_) {
    document.services.push_back({service.spec.name, serviceText(service), 0});
  }
  return document;
}

core::ConfigurationVersion SimulatedPlatform::publish(core::Time now) {
  const core::ConfigurationVersion version = published_.size() + 1;
  published_.push_back({now, makeDocument(version), std::nullopt});
  return version;
}

void SimulatedPlatform::publishConflicting(core::Time now) {
  published_.back().at = now;
  published_.back().conflicting = makeDocument(published_.size());
}

std::optional<core::ConfigurationDocument> SimulatedPlatform::read(core::Time now,
                                                                   std::size_t reader) const {
  if (down_ || published_.empty()) {
    return std::nullopt;
  }
  if (stale_) {
    return published_.front().document;
  }
  const Published* visible = &published_.front();
  for (const Published& candidate : published_) {
    if (candidate.at + lag_ <= now) {
      visible = &candidate;
    }
  }
  return visible->conflicting && reader % 2 == 1 ? *visible->conflicting : visible->document;
}

}  // namespace cobaltgauge::sim
