/// @file
/// Builders shared by the tests of the core.
#pragma once

#include <map>
#include <string>

#include "core/balancer.h"
#include "core/hashing.h"
#include "sim/seeded_random.h"

namespace cobaltgauge::tests {

inline core::Endpoint endpoint(std::uint8_t network, std::uint8_t host, std::uint16_t port) {
  core::Endpoint result;
  result.address.bytes = {10, network, 0, host};
  result.port = port;
  return result;
}

/// @return a service with `count` active backends of weight 100.
inline core::Service makeService(const std::string& name, std::uint8_t number, std::size_t count) {
  core::Service service;
  service.name = name;
  service.id = core::serviceIdOf(name);
  service.virtualEndpoint = endpoint(90, number, 5683);
  for (std::size_t i = 0; i < count; ++i) {
    core::Backend backend;
    backend.name = name + "-" + std::to_string(i + 1);
    backend.weight = 100;
    backend.address.service = service.id;
    backend.address.endpoint = endpoint(number, static_cast<std::uint8_t>(i + 1), 8000);
    backend.address.incarnation = 1;
    backend.address.id = core::backendIdOf(service.id, backend.address.endpoint, 1);
    service.backends.push_back(backend);
  }
  return service;
}

/// Test compiler: a document's text is a key of `prepared`.
class MapCompiler : public core::ConfigurationCompiler {
 public:
  std::map<std::string, core::Service> prepared;

  std::optional<std::vector<core::Service>> compile(
      const core::ConfigurationDocument& document) override {
    std::vector<core::Service> services;
    for (const core::ServiceDocument& service : document.services) {
      const auto known = prepared.find(service.text);
      if (known == prepared.end()) {
        reason_ = "no prepared service '" + service.text + "'";
        return std::nullopt;
      }
      services.push_back(known->second);
    }
    return services;
  }
  const std::string& lastReason() const override { return reason_; }

 private:
  std::string reason_;
};

inline core::ConfigurationDocument makeDocument(core::ConfigurationVersion version,
                                                const std::string& text) {
  return {version, {{"web", text, 0}}};
}

inline core::MemberIdentity makeIdentity(const std::string& name, std::uint8_t number,
                                         const std::string& zone = "zone-1") {
  return {core::memberIdOf(name), name, zone, "region-1", endpoint(92, number, 7000)};
}

/// @return a packet of client `number` to the service at 10.90.0.1:5683.
inline core::PacketSummary packetFrom(std::uint8_t number,
                                      core::PacketKind kind = core::PacketKind::kUnknown,
                                      core::Protocol protocol = core::Protocol::kUdp) {
  core::PacketSummary packet;
  packet.flow = {protocol, endpoint(80, number, 20000), endpoint(90, 1, 5683)};
  packet.kind = kind;
  packet.length = 100;
  return packet;
}

}  // namespace cobaltgauge::tests
