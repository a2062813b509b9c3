/// @file
/// Model for stateful fuzzing of token steering: backends that start, drain,
/// crash and reuse addresses, a store whose registrations expire, and daemons
/// that restart.  The model knows the backend of each flow and serves as the
/// oracle.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/token_steering.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {

/// One incarnation of a backend.
struct ModelBackend
{
  core::Registration Registration;
  bool IsAlive = true;
  bool IsRegistered = true;
  core::Time StoppedAt{};
};

struct ModelFlow
{
  std::uint16_t Port = 0;
  std::uint8_t Route = 1;
  std::size_t Owner = 0; ///< Index of its backend.
  core::SteeringToken Token = core::kNoToken;
  std::uint32_t Acknowledgement = 1;
};

struct ModelDaemon
{
  core::EqualWeights Weights;
  std::unique_ptr<core::TokenSteering> Steering;
  std::set<core::BackendId> KnownDraining;
};

/** \class TokenSteeringModel
 * \brief Executes commands and records violated invariants.
 */
class TokenSteeringModel
{
public:
  static constexpr std::uint8_t kHosts = 10;
  static constexpr std::size_t kDaemons = 2;
  static constexpr core::Duration kAddressReuseDelay = 2s;
  static constexpr core::Duration kReregistrationTime = 2s;

  std::vector<std::string> Violations;
  std::size_t Opened = 0;
  std::size_t Resolved = 0; ///< Packets forwarded without a registration.

  TokenSteeringModel()
  {
    for (ModelDaemon& daemon : this->Daemons) {
      this->RestartDaemon(daemon);
    }
    for (std::uint8_t host = 1; host <= kHosts; ++host) {
      this->StartBackend(host);
    }
    for (ModelDaemon& daemon : this->Daemons) {
      this->ReadStore(daemon);
    }
  }

  /// Execute one command; any pair of numbers is valid.
  void Execute(unsigned command, unsigned choice)
  {
    ModelDaemon& daemon = this->Daemons[choice % kDaemons];
    const auto host = static_cast<std::uint8_t>(1 + choice % kHosts);
    const auto route = static_cast<std::uint8_t>(1 + choice / 2 % 2);
    switch (command % 20) {
      case 0:
        return this->DrainBackend(host);
      case 1:
        return this->StopBackend(host);
      case 2:
        return this->DisconnectStore();
      case 3:
        return this->ReconnectStore(choice % 2 == 0);
      case 4:
        return this->RestartDaemon(daemon);
      case 5:
        return this->ReadStore(daemon);
      case 6:
      case 7:
        return this->StartBackend(host);
      case 8:
      case 9:
      case 10:
        return this->AdvanceTime(core::Duration(1ms) * (50 + choice % 500));
      case 11:
      case 12:
      case 13:
        return this->SendPackets(daemon);
      default:
        return this->OpenFlow(daemon, route);
    }
  }

private:
  std::vector<ModelBackend> Backends;
  std::vector<ModelFlow> Flows;
  std::array<ModelDaemon, kDaemons> Daemons;
  sim::SeededRandom Random{ 1 };
  core::Time Now = 1000s;
  core::Revision Revision = 1;
  bool IsStoreUp = true;
  core::Time StoreReconnectedAt{};
  std::uint16_t NextPort = 1;

  static const char* ServiceOf(std::uint8_t route)
  {
    return route == 1 ? "web" : "api";
  }

  /// Get the index of the live backend at an address, if any.
  std::optional<std::size_t> FindAlive(const core::Endpoint& address) const
  {
    for (std::size_t i = 0; i < this->Backends.size(); ++i) {
      if (this->Backends[i].IsAlive &&
          this->Backends[i].Registration.endpoint == address) {
        return i;
      }
    }
    return std::nullopt;
  }

  void StartBackend(std::uint8_t host)
  {
    const core::Endpoint address = endpoint(1, host, 8000);
    for (const ModelBackend& other : this->Backends) {
      const bool isTaken = other.Registration.endpoint == address &&
        (other.IsAlive || this->Now - other.StoppedAt < kAddressReuseDelay);
      if (isTaken) {
        return;
      }
    }
    const std::uint64_t id = 100 + this->Backends.size();
    const auto route = static_cast<std::uint8_t>(1 + id % 2);
    ModelBackend backend;
    backend.Registration = makeRegistration(id, ServiceOf(route), 1, host);
    backend.IsRegistered = this->IsStoreUp;
    this->Backends.push_back(backend);
    ++this->Revision;
  }

  void DrainBackend(std::uint8_t host)
  {
    const auto index = this->FindAlive(endpoint(1, host, 8000));
    // Draining is recorded in the store first.
    if (index && this->IsStoreUp && this->Backends[*index].IsRegistered) {
      this->Backends[*index].Registration.state =
        core::BackendState::kDraining;
      ++this->Revision;
    }
  }

  void StopBackend(std::uint8_t host)
  {
    if (const auto index = this->FindAlive(endpoint(1, host, 8000))) {
      this->Backends[*index].IsAlive = false;
      this->Backends[*index].StoppedAt = this->Now;
      this->Backends[*index].IsRegistered = false;
      ++this->Revision;
    }
  }

  void DisconnectStore()
  {
    this->IsStoreUp = false;
    for (ModelDaemon& daemon : this->Daemons) {
      daemon.Steering->setViewState(daemon.Steering->hasCompleteView(), false);
    }
  }

  void ReconnectStore(bool expired)
  {
    if (this->IsStoreUp) {
      return;
    }
    this->IsStoreUp = true;
    this->StoreReconnectedAt = this->Now;
    ++this->Revision;
    for (ModelBackend& backend : this->Backends) {
      backend.IsRegistered =
        backend.IsAlive && (backend.IsRegistered && !expired);
    }
  }

  void RestartDaemon(ModelDaemon& daemon)
  {
    daemon.Steering = std::make_unique<core::TokenSteering>(
      addressTokenOptions(), daemon.Weights, this->Random);
    daemon.KnownDraining.clear();
  }

  void ReadStore(ModelDaemon& daemon)
  {
    if (!this->IsStoreUp) {
      return;
    }
    core::BackendRegistry& registry = daemon.Steering->backends();
    std::set<std::string> keys;
    for (const ModelBackend& backend : this->Backends) {
      if (backend.IsRegistered) {
        const auto id = static_cast<std::uint64_t>(backend.Registration.id);
        const std::string key = TokenFixture::keyOf(id);
        keys.insert(key);
        registry.put(key, backend.Registration, this->Revision, this->Now);
        if (backend.Registration.state == core::BackendState::kDraining) {
          daemon.KnownDraining.insert(backend.Registration.id);
        }
      }
    }
    registry.retainOnly(keys, this->Revision, this->Now);
    daemon.Steering->routes().offer(
      makeRoutes(1, { { 1, "web" }, { 2, "api" } }), this->Now);
    daemon.Steering->setViewState(true, true);
  }

  core::PacketSummary MakePacket(const ModelFlow& flow, core::PacketKind kind)
  {
    core::PacketSummary packet = TokenFixture::packet(flow.Port, kind);
    packet.flow.destination = endpoint(90, flow.Route, 443);
    return packet;
  }

  /// Get the index of the backend that receives a packet, if any.
  std::optional<std::size_t> Deliver(const core::ForwardToBackend& forward)
  {
    const auto index = this->FindAlive(forward.backend.endpoint);
    const bool isIntended = index &&
      (forward.recipient == core::Recipient::kAnyAtAddress ||
       forward.backend.id == this->Backends[*index].Registration.id);
    return isIntended ? index : std::nullopt;
  }

  void OpenFlow(ModelDaemon& daemon, std::uint8_t route)
  {
    ModelFlow flow;
    flow.Port = this->NextPort++;
    flow.Route = route;
    core::PacketSummary packet =
      this->MakePacket(flow, core::PacketKind::kOpening);
    packet.openingRetransmission = 2;
    const core::Verdict verdict = daemon.Steering->onPacket(packet, this->Now);
    const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
    const auto receiver = forward ? this->Deliver(*forward) : std::nullopt;
    if (!receiver) {
      return;
    }
    const ModelBackend& backend = this->Backends[*receiver];
    if (backend.Registration.service != ServiceOf(route)) {
      this->Violations.push_back(
        "a flow was opened at a backend of another service");
    }
    if (daemon.KnownDraining.count(backend.Registration.id) != 0) {
      this->Violations.push_back("a flow was opened at a draining backend");
    }
    ++this->Opened;
    flow.Owner = *receiver;
    flow.Token = forward->token;
    this->Flows.push_back(flow);
  }

  void SendPackets(ModelDaemon& daemon)
  {
    for (ModelFlow& flow : this->Flows) {
      this->SendPacket(daemon, flow);
    }
    std::erase_if(this->Flows, [this](const ModelFlow& flow) {
      return !this->Backends[flow.Owner].IsAlive;
    });
  }

  void SendPacket(ModelDaemon& daemon, ModelFlow& flow)
  {
    core::PacketSummary packet =
      this->MakePacket(flow, core::PacketKind::kContinuing);
    packet.token = flow.Token;
    packet.acknowledgement = flow.Acknowledgement;
    const core::Verdict verdict = daemon.Steering->onPacket(packet, this->Now);
    const ModelBackend& owner = this->Backends[flow.Owner];
    if (!owner.IsAlive) {
      return;
    }
    if (std::holds_alternative<core::Refuse>(verdict)) {
      this->Violations.push_back("a flow of a live backend was reset");
    }
    const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
    if (!forward) {
      return;
    }
    if (forward->backend.endpoint != owner.Registration.endpoint) {
      this->Violations.push_back(
        "a packet was forwarded to an address other than its flow's backend");
      return;
    }
    this->Resolved +=
      forward->reason == core::RouteReason::kResolvedToken ? 1 : 0;
    if (this->Deliver(*forward) == flow.Owner) {
      flow.Acknowledgement += 100;
      flow.Token = forward->token;
    }
  }

  void AdvanceTime(core::Duration duration)
  {
    this->Now += duration;
    for (ModelDaemon& daemon : this->Daemons) {
      daemon.Steering->onTick(this->Now);
    }
    // Live backends have registered again by now.
    if (this->IsStoreUp &&
        this->Now - this->StoreReconnectedAt >= kReregistrationTime) {
      for (ModelBackend& backend : this->Backends) {
        if (backend.IsAlive && !backend.IsRegistered) {
          ++this->Revision;
        }
        backend.IsRegistered = backend.IsAlive;
      }
    }
  }
};

} // namespace cobaltgauge::tests
