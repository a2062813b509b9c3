/// @file
/// A small world for stateful fuzzing of token steering: back ends that start,
/// leave, crash and re-use addresses, a store whose registrations lapse, and
/// daemons that restart.  It is its own oracle: it knows which back end holds
/// which flow.
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

/// One incarnation of a back end.
struct WorldBackend
{
  core::Registration Item;
  bool IsAlive = true;
  bool IsRegistered = true;
  core::Time EndedAt{};
};

struct WorldFlow
{
  std::uint16_t Port = 0;
  std::uint8_t Route = 1;
  std::size_t Owner = 0; ///< Index of its back end.
  core::SteeringToken Token = core::kNoToken;
  std::uint32_t Acknowledgement = 1;
};

struct WorldDaemon
{
  core::EqualWeights Weights;
  std::unique_ptr<core::TokenSteering> Steering;
  std::set<core::BackendId> SeenLeaving;
};

/** \class ReachWorld
 * \brief Carry out commands and note what breaks a rule.
 */
class ReachWorld
{
public:
  static constexpr std::uint8_t kHosts = 10;
  static constexpr std::size_t kDaemons = 2;
  static constexpr core::Duration kReuseAfter = 2s;
  static constexpr core::Duration kComeBackWithin = 2s;

  std::vector<std::string> Broken;
  std::size_t Opened = 0;
  std::size_t Reached = 0; ///< Packets that went on without a registration.

  ReachWorld()
  {
    for (WorldDaemon& daemon : this->Daemons) {
      this->Restart(daemon);
    }
    for (std::uint8_t host = 1; host <= kHosts; ++host) {
      this->StartBackend(host);
    }
    for (WorldDaemon& daemon : this->Daemons) {
      this->Read(daemon);
    }
  }

  /// Carry out one command, whatever its numbers mean.
  void Do(unsigned command, unsigned choice)
  {
    WorldDaemon& daemon = this->Daemons[choice % kDaemons];
    const auto host = static_cast<std::uint8_t>(1 + choice % kHosts);
    const auto route = static_cast<std::uint8_t>(1 + choice / 2 % 2);
    switch (command % 20) {
      case 0:
        return this->Leave(host);
      case 1:
        return this->End(host);
      case 2:
        return this->LoseStore();
      case 3:
        return this->RegainStore(choice % 2 == 0);
      case 4:
        return this->Restart(daemon);
      case 5:
        return this->Read(daemon);
      case 6:
      case 7:
        return this->StartBackend(host);
      case 8:
      case 9:
      case 10:
        return this->Pass(core::Duration(1ms) * (50 + choice % 500));
      case 11:
      case 12:
      case 13:
        return this->SendAll(daemon);
      default:
        return this->Open(daemon, route);
    }
  }

private:
  std::vector<WorldBackend> Backends;
  std::vector<WorldFlow> Flows;
  std::array<WorldDaemon, kDaemons> Daemons;
  sim::SeededRandom Random{ 1 };
  core::Time Now = 1000s;
  core::Revision Revision = 1;
  bool IsStoreUp = true;
  core::Time StoreBackAt{};
  std::uint16_t NextPort = 1;

  static const char* ServiceOf(std::uint8_t route)
  {
    return route == 1 ? "web" : "api";
  }

  /// \return the back end that is at an address, if any lives there.
  std::optional<std::size_t> FindAlive(const core::Endpoint& address) const
  {
    for (std::size_t i = 0; i < this->Backends.size(); ++i) {
      if (this->Backends[i].IsAlive &&
          this->Backends[i].Item.endpoint == address) {
        return i;
      }
    }
    return std::nullopt;
  }

  void StartBackend(std::uint8_t host)
  {
    const core::Endpoint address = endpoint(1, host, 8000);
    for (const WorldBackend& other : this->Backends) {
      const bool isTaken = other.Item.endpoint == address &&
        (other.IsAlive || this->Now - other.EndedAt < kReuseAfter);
      if (isTaken) {
        return;
      }
    }
    const std::uint64_t id = 100 + this->Backends.size();
    const auto route = static_cast<std::uint8_t>(1 + id % 2);
    WorldBackend backend;
    backend.Item = makeRegistration(id, ServiceOf(route), 1, host);
    backend.IsRegistered = this->IsStoreUp;
    this->Backends.push_back(backend);
    ++this->Revision;
  }

  void Leave(std::uint8_t host)
  {
    const auto index = this->FindAlive(endpoint(1, host, 8000));
    // It asks the store to take that first.
    if (index && this->IsStoreUp && this->Backends[*index].IsRegistered) {
      this->Backends[*index].Item.state = core::BackendState::kDraining;
      ++this->Revision;
    }
  }

  void End(std::uint8_t host)
  {
    if (const auto index = this->FindAlive(endpoint(1, host, 8000))) {
      this->Backends[*index].IsAlive = false;
      this->Backends[*index].EndedAt = this->Now;
      this->Backends[*index].IsRegistered = false;
      ++this->Revision;
    }
  }

  void LoseStore()
  {
    this->IsStoreUp = false;
    for (WorldDaemon& daemon : this->Daemons) {
      daemon.Steering->setViewState(daemon.Steering->hasCompleteView(), false);
    }
  }

  void RegainStore(bool lapsed)
  {
    if (this->IsStoreUp) {
      return;
    }
    this->IsStoreUp = true;
    this->StoreBackAt = this->Now;
    ++this->Revision;
    for (WorldBackend& backend : this->Backends) {
      backend.IsRegistered =
        backend.IsAlive && (backend.IsRegistered && !lapsed);
    }
  }

  void Restart(WorldDaemon& daemon)
  {
    core::TokenSteeringOptions options;
    options.home = endpoint(1, 200, 0).address;
    daemon.Steering = std::make_unique<core::TokenSteering>(
      options, daemon.Weights, this->Random);
    daemon.SeenLeaving.clear();
  }

  void Read(WorldDaemon& daemon)
  {
    if (!this->IsStoreUp) {
      return;
    }
    core::BackendRegistry& registry = daemon.Steering->backends();
    std::set<std::string> keys;
    for (const WorldBackend& backend : this->Backends) {
      if (backend.IsRegistered) {
        const auto id = static_cast<std::uint64_t>(backend.Item.id);
        const std::string key = TokenFixture::keyOf(id);
        keys.insert(key);
        registry.put(key, backend.Item, this->Revision, this->Now);
        if (backend.Item.state == core::BackendState::kDraining) {
          daemon.SeenLeaving.insert(backend.Item.id);
        }
      }
    }
    registry.retainOnly(keys, this->Revision, this->Now);
    daemon.Steering->routes().offer(
      makeRoutes(1, { { 1, "web" }, { 2, "api" } }), this->Now);
    daemon.Steering->setViewState(true, true);
  }

  core::PacketSummary MakePacket(const WorldFlow& flow, core::PacketKind kind)
  {
    core::PacketSummary packet = TokenFixture::packet(flow.Port, kind);
    packet.flow.destination = endpoint(90, flow.Route, 443);
    return packet;
  }

  /// \return the back end that takes a packet, if any does.
  std::optional<std::size_t> Deliver(const core::ForwardToBackend& forward)
  {
    const auto index = this->FindAlive(forward.backend.endpoint);
    const bool isMeant = index &&
      (forward.backend.id == core::kNoBackend ||
       forward.backend.id == this->Backends[*index].Item.id);
    return isMeant ? index : std::nullopt;
  }

  void Open(WorldDaemon& daemon, std::uint8_t route)
  {
    WorldFlow flow;
    flow.Port = this->NextPort++;
    flow.Route = route;
    core::PacketSummary packet =
      this->MakePacket(flow, core::PacketKind::kOpening);
    packet.openingCopy = 2;
    const core::Verdict verdict = daemon.Steering->onPacket(packet, this->Now);
    const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
    const auto taker = forward ? this->Deliver(*forward) : std::nullopt;
    if (!taker) {
      return;
    }
    const WorldBackend& backend = this->Backends[*taker];
    if (backend.Item.service != ServiceOf(route)) {
      this->Broken.push_back("a flow was opened at another service");
    }
    if (daemon.SeenLeaving.count(backend.Item.id) != 0) {
      this->Broken.push_back("a flow was opened at a leaving back end");
    }
    ++this->Opened;
    flow.Owner = *taker;
    flow.Token = forward->token;
    this->Flows.push_back(flow);
  }

  void SendAll(WorldDaemon& daemon)
  {
    for (WorldFlow& flow : this->Flows) {
      this->Send(daemon, flow);
    }
    std::erase_if(this->Flows, [this](const WorldFlow& flow) {
      return !this->Backends[flow.Owner].IsAlive;
    });
  }

  void Send(WorldDaemon& daemon, WorldFlow& flow)
  {
    core::PacketSummary packet =
      this->MakePacket(flow, core::PacketKind::kContinuing);
    packet.token = flow.Token;
    packet.acknowledgement = flow.Acknowledgement;
    const core::Verdict verdict = daemon.Steering->onPacket(packet, this->Now);
    const WorldBackend& owner = this->Backends[flow.Owner];
    if (!owner.IsAlive) {
      return;
    }
    if (std::holds_alternative<core::Refuse>(verdict)) {
      this->Broken.push_back("a flow of a living back end was reset");
    }
    const auto* forward = std::get_if<core::ForwardToBackend>(&verdict);
    if (!forward) {
      return;
    }
    if (forward->backend.endpoint != owner.Item.endpoint) {
      this->Broken.push_back("a flow's packet went to another address");
      return;
    }
    this->Reached += forward->reason == core::RouteReason::kReached ? 1 : 0;
    if (this->Deliver(*forward) == flow.Owner) {
      flow.Acknowledgement += 100;
      flow.Token = forward->token;
    }
  }

  void Pass(core::Duration span)
  {
    this->Now += span;
    for (WorldDaemon& daemon : this->Daemons) {
      daemon.Steering->onTick(this->Now);
    }
    // Who lives has registered again by now; a daemon in touch reads that.
    if (this->IsStoreUp && this->Now - this->StoreBackAt >= kComeBackWithin) {
      for (WorldBackend& backend : this->Backends) {
        if (backend.IsAlive && !backend.IsRegistered) {
          ++this->Revision;
        }
        backend.IsRegistered = backend.IsAlive;
      }
    }
  }
};

} // namespace cobaltgauge::tests
