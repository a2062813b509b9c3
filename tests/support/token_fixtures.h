/// @file
/// A TokenSteering with a view, and functions that build its packets.
#pragma once

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "core/token_steering.h"
#include "sim/seeded_random.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {

using namespace std::chrono_literals;

/// @return options of a daemon that uses address tokens.
inline core::TokenSteeringOptions addressTokenOptions() {
  core::TokenSteeringOptions options;
  options.localAddress = endpoint(1, 200, 0).address;
  return options;
}

/// Routes 10.90.0.1:443 to the service "web" with three backends. Tests advance `now`.
struct TokenFixture {
  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::TokenSteering steering{core::TokenSteeringOptions{}, weights, random};
  core::Time now = 100s;
  core::Revision revision = 0;

  TokenFixture() {
    steering.routes().offer(makeRoutes(1, {{1, "web"}}), now);
    for (std::uint8_t host = 1; host <= 3; ++host) {
      putBackend(host, makeRegistration(host, "web", 1, host));
    }
    steering.setViewState(true, true);
  }

  static std::string keyOf(std::uint64_t id) { return "servers/" + std::to_string(id); }

  void putBackend(std::uint64_t id, const core::Registration& registration) {
    steering.backends().put(keyOf(id), registration, ++revision, now);
  }

  /// Registers a backend in a zone.
  void putBackendInZone(const std::string& zone, std::uint8_t id,
                        const std::string& service = "web") {
    core::Registration registration = makeRegistration(id, service, 1, id);
    registration.zone = zone;
    putBackend(id, registration);
  }

  /// Removes the registrations of the three backends.
  void removeBackends() {
    for (std::uint64_t id = 1; id <= 3; ++id) {
      steering.backends().remove(keyOf(id), ++revision, now);
    }
  }

  static core::PacketSummary packet(std::uint16_t port, core::PacketKind kind) {
    core::PacketSummary summary;
    summary.flow.protocol = core::Protocol::kTcp;
    summary.flow.source = endpoint(64, 1, port);
    summary.flow.destination = endpoint(90, 1, 443);
    summary.kind = kind;
    return summary;
  }

  core::Verdict open(std::uint16_t port, std::uint32_t copy = 0) {
    core::PacketSummary summary = packet(port, core::PacketKind::kOpening);
    summary.openingRetransmission = copy;
    return steering.onPacket(summary, now);
  }

  /// Opens a flow and sends the client's acknowledgement. @return the backend.
  core::BackendId establishFlow(std::uint16_t port) {
    const core::BackendId backend = backendOf(open(port));
    send(port, backend, 1, 0);
    return backend;
  }

  /// Sends a packet of an established flow.
  core::Verdict send(std::uint16_t port, core::BackendId backend, std::uint32_t acknowledgement,
                     std::uint32_t dataLength, std::uint32_t sequence = 1000) {
    core::PacketSummary summary = packet(port, core::PacketKind::kContinuing);
    summary.token = core::HashTokenOf(backend);
    summary.acknowledgement = acknowledgement;
    summary.sequence = sequence;
    summary.dataLength = dataLength;
    return steering.onPacket(summary, now);
  }

  static core::BackendId backendOf(const core::Verdict& verdict) {
    const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
    BOOST_REQUIRE(forward != nullptr);
    return forward->backend.id;
  }
  static std::optional<core::RouteReason> routeReasonOf(const core::Verdict& verdict) {
    const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
    return forward == nullptr ? std::nullopt : std::optional(forward->reason);
  }
  static std::optional<core::RefuseReason> refuseReasonOf(const core::Verdict& verdict) {
    const auto* refusal = std::get_if<core::Refuse>(&verdict);
    return refusal == nullptr ? std::nullopt : std::optional(refusal->reason);
  }
  static std::optional<core::DropReason> dropReasonOf(const core::Verdict& verdict) {
    const auto* drop = std::get_if<core::Drop>(&verdict);
    return drop == nullptr ? std::nullopt : std::optional(drop->reason);
  }
};

}  // namespace cobaltgauge::tests
