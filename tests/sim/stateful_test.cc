/// @file
/// Stateful property test: in random command sequences, all packets of a flow must reach the
/// backend that received its first packet.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "core/constants.h"
#include "support/core_fixtures.h"

using namespace cobaltgauge;
using namespace cobaltgauge::core;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kInitialDaemons = 3;
constexpr std::size_t kMaxDaemons = 6;
constexpr std::size_t kBackends = 6;

/// Expected state of the daemons and backends.
struct Model {
  std::vector<bool> running = std::vector<bool>(kInitialDaemons, true);
  std::vector<bool> suspended = std::vector<bool>(kInitialDaemons, false);
  std::size_t draining = 0;  ///< Number of draining backends, starting at index 0.
  int opened = 0;

  std::vector<std::size_t> serving() const {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < running.size(); ++i) {
      if (running[i] && !suspended[i]) {
        result.push_back(i);
      }
    }
    return result;
  }
};

/// Daemons with synchronized ticks on a network with message loss.
class FleetUnderTest {
 public:
  FleetUnderTest() {
    for (std::size_t drained = 0; drained < kBackends; ++drained) {
      Service service = tests::makeService("web", 1, kBackends);
      for (std::size_t i = 0; i < drained; ++i) {
        service.backends[i].state = BackendState::kDraining;
      }
      compiler_.prepared["drained-" + std::to_string(drained)] = service;
    }
    for (std::size_t i = 0; i < kInitialDaemons; ++i) {
      join();
    }
    advance(6s);
  }

  void join() {
    const auto number = static_cast<std::uint8_t>(daemons_.size() + 1);
    BalancerOptions options;
    options.self = tests::makeIdentity("lb-" + std::to_string(number), number, "zone-1");
    options.process = number;
    auto daemon = std::make_unique<Daemon>();
    daemon->balancer = std::make_unique<Balancer>(options, compiler_, random_);
    daemons_.push_back(std::move(daemon));
    std::vector<MemberIdentity> seeds;
    for (const auto& other : daemons_) {
      seeds.push_back(other->balancer->membership().self());
    }
    Balancer& joined = *daemons_.back()->balancer;
    joined.offerConfiguration(document(), now_);
    joined.offerMemberSeeds(seeds, now_);
  }

  void kill(std::size_t index) { daemons_[index]->running = false; }
  void suspend(std::size_t index) { daemons_[index]->suspended = true; }
  void resume(std::size_t index) {
    daemons_[index]->suspended = false;
    for (const Delivery& delivery : std::exchange(daemons_[index]->inbox, {})) {
      daemons_[index]->balancer->onMessage(delivery.from, delivery.message, now_);
    }
  }
  void beginShutdown(std::size_t index) { daemons_[index]->balancer->beginShutdown(now_); }
  void finishShutdown(std::size_t index) {
    daemons_[index]->balancer->finishShutdown(now_);
    deliver();
    kill(index);
  }

  void drainNextBackend() {
    ++drained_;
    ++version_;
    for (const auto& daemon : daemons_) {
      if (daemon->running && !daemon->suspended) {
        daemon->balancer->offerConfiguration(document(), now_);
        break;  // One daemon reads the platform; the others get the version from peers.
      }
    }
  }

  /// @return the backend that receives the packet, kNoBackend if it was dropped.
  BackendId send(std::size_t ingress, int flow) {
    PacketSummary packet = tests::packetFrom(static_cast<std::uint8_t>(flow));
    packet.flow.source.port = static_cast<std::uint16_t>(20000 + flow / 256);
    Verdict verdict = daemons_[ingress]->balancer->onPacket(packet, now_);
    for (int hop = 0; hop < 3; ++hop) {
      const auto* peerForward = std::get_if<ForwardToPeer>(&verdict);
      Daemon* peer = peerForward == nullptr ? nullptr : find(peerForward->destination);
      if (peer == nullptr || !peer->running || peer->suspended) {
        break;
      }
      const PeerArrival arrival{daemons_[ingress]->balancer->membership().self().id,
                                peerForward->hops, peerForward->needsListing};
      verdict = peer->balancer->onPeerPacket(packet, arrival, now_);
    }
    deliver();
    const auto* forward = std::get_if<ForwardToBackend>(&verdict);
    return forward == nullptr ? kNoBackend : forward->backend.id;
  }

  bool isDraining(BackendId backend) const {
    const Service& service = compiler_.prepared.at("drained-" + std::to_string(drained_));
    return std::any_of(service.backends.begin(), service.backends.end(), [&](const Backend& item) {
      return item.address.id == backend && item.state == BackendState::kDraining;
    });
  }

  void advance(Duration duration) {
    const Time end = now_ + duration;
    while (now_ < end) {
      now_ += kTickInterval;
      for (const auto& daemon : daemons_) {
        if (daemon->running && !daemon->suspended) {
          daemon->balancer->onTick(now_);
        }
      }
      deliver();
    }
  }

 private:
  struct Delivery {
    MemberId from;
    PeerMessage message;
  };
  struct Daemon {
    std::unique_ptr<Balancer> balancer;
    std::vector<Delivery> inbox;  ///< Messages received while suspended.
    bool running = true;
    bool suspended = false;
  };

  ConfigurationDocument document() const {
    return tests::makeDocument(version_, "drained-" + std::to_string(drained_));
  }

  Daemon* find(const Endpoint& control) {
    for (const auto& daemon : daemons_) {
      if (daemon->balancer->membership().self().control == control) {
        return daemon.get();
      }
    }
    return nullptr;
  }

  void deliver() {
    constexpr std::uint64_t kLossPermille = 10;
    constexpr int kDeliveryRounds = 4;  // Further replies wait for the next tick.
    for (int round = 0; round < kDeliveryRounds; ++round) {
      for (const auto& from : daemons_) {
        if (!from->running || from->suspended) {
          continue;
        }
        const MemberId sender = from->balancer->membership().self().id;
        for (OutgoingMessage& message : from->balancer->takeMessages()) {
          Daemon* to = find(message.destination);
          if (to == nullptr || !to->running || random_.chance(kLossPermille)) {
            continue;
          }
          if (to->suspended) {
            to->inbox.push_back({sender, std::move(message.message)});
          } else {
            to->balancer->onMessage(sender, message.message, now_);
          }
        }
      }
    }
  }

  tests::MapCompiler compiler_;
  sim::SeededRandom random_{7};
  Time now_ = 100s;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  ConfigurationVersion version_ = 1;
  std::size_t drained_ = 0;

 public:
  std::map<int, BackendId> firstBackends;  ///< Backend that received the first packet of each flow.
};

using FleetCommand = rc::state::Command<Model, FleetUnderTest>;

/// Sends a packet of each flow through every serving daemon twice per second for `seconds`.
void checkFlows(const Model& model, FleetUnderTest& fleet, int seconds) {
  for (int round = 0; round < seconds * 2; ++round) {
    for (auto& [flow, backend] : fleet.firstBackends) {
      for (const std::size_t ingress : model.serving()) {
        const BackendId reached = fleet.send(ingress, flow);
        RC_ASSERT(reached == kNoBackend || reached == backend);
      }
    }
    fleet.advance(500ms);
  }
}

/// Calls checkFlows() with the expected state after a command.
void checkFlowsAfter(const FleetCommand& command, const Model& before, FleetUnderTest& fleet,
                     int seconds) {
  Model after = before;
  command.apply(after);
  checkFlows(after, fleet, seconds);
}

struct OpenFlows : FleetCommand {
  void apply(Model& model) const override { model.opened += 10; }
  void run(const Model& before, FleetUnderTest& fleet) const override {
    const std::vector<std::size_t> serving = before.serving();
    for (int i = 0; i < 10; ++i) {
      const int flow = before.opened + i;
      const std::size_t ingress = serving[static_cast<std::size_t>(flow) % serving.size()];
      const BackendId backend = fleet.send(ingress, flow);
      if (backend != kNoBackend) {
        fleet.firstBackends[flow] = backend;
      }
    }
    checkFlows(before, fleet, 1);
  }
  void show(std::ostream& out) const override { out << "open flows"; }
};

struct DrainBackend : FleetCommand {
  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.draining + 2 < kBackends);
  }
  void apply(Model& model) const override { ++model.draining; }
  void run(const Model& before, FleetUnderTest& fleet) const override {
    fleet.drainNextBackend();
    fleet.advance(200ms);
    checkFlows(before, fleet, 3);
    // New flows must not reach a draining backend.
    const int flow = 5000 + static_cast<int>(before.draining);
    const BackendId backend = fleet.send(before.serving().front(), flow);
    RC_ASSERT(backend == kNoBackend || !fleet.isDraining(backend));
  }
  void show(std::ostream& out) const override { out << "drain a backend"; }
};

struct JoinDaemon : FleetCommand {
  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.running.size() < kMaxDaemons);
  }
  void apply(Model& model) const override {
    model.running.push_back(true);
    model.suspended.push_back(false);
  }
  void run(const Model& before, FleetUnderTest& fleet) const override {
    fleet.join();
    checkFlowsAfter(*this, before, fleet, 3);
  }
  void show(std::ostream& out) const override { out << "join"; }
};

/// Command on one serving daemon; requires two other serving daemons.
struct OneDaemonCommand : FleetCommand {
  explicit OneDaemonCommand(const Model& model) {
    const std::vector<std::size_t> serving = model.serving();
    index = serving.empty() ? 0 : *rc::gen::elementOf(serving);
  }
  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.serving().size() > 2);
    RC_PRE(index < model.running.size() && model.running[index] && !model.suspended[index]);
  }
  std::size_t index;
};

struct KillDaemon : OneDaemonCommand {
  using OneDaemonCommand::OneDaemonCommand;
  void apply(Model& model) const override { model.running[index] = false; }
  void run(const Model& before, FleetUnderTest& fleet) const override {
    fleet.kill(index);
    checkFlowsAfter(*this, before, fleet, 4);
  }
  void show(std::ostream& out) const override { out << "kill " << index; }
};

struct StopDaemon : OneDaemonCommand {
  using OneDaemonCommand::OneDaemonCommand;
  void apply(Model& model) const override { model.running[index] = false; }
  void run(const Model& before, FleetUnderTest& fleet) const override {
    fleet.beginShutdown(index);
    checkFlows(before, fleet, 2);
    fleet.finishShutdown(index);
    checkFlowsAfter(*this, before, fleet, 1);
  }
  void show(std::ostream& out) const override { out << "graceful shutdown of " << index; }
};

struct SuspendDaemon : OneDaemonCommand {
  using OneDaemonCommand::OneDaemonCommand;
  void apply(Model& model) const override { model.suspended[index] = true; }
  void run(const Model& before, FleetUnderTest& fleet) const override {
    fleet.suspend(index);
    checkFlowsAfter(*this, before, fleet, 4);
  }
  void show(std::ostream& out) const override { out << "suspend " << index; }
};

struct ResumeDaemons : FleetCommand {
  void checkPreconditions(const Model& model) const override {
    RC_PRE(std::find(model.suspended.begin(), model.suspended.end(), true) !=
           model.suspended.end());
  }
  void apply(Model& model) const override {
    std::fill(model.suspended.begin(), model.suspended.end(), false);
  }
  void run(const Model& before, FleetUnderTest& fleet) const override {
    for (std::size_t i = 0; i < before.suspended.size(); ++i) {
      if (before.suspended[i] && before.running[i]) {
        fleet.resume(i);
      }
    }
    checkFlowsAfter(*this, before, fleet, 3);
  }
  void show(std::ostream& out) const override { out << "resume all"; }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(StatefulTest)

BOOST_AUTO_TEST_CASE(FlowsKeepTheirBackendInRandomCommandSequences) {
  const bool ok = rc::check("flows keep their backend", [] {
    FleetUnderTest fleet;
    const Model model;
    rc::state::check(
        model, fleet,
        rc::state::gen::execOneOfWithArgs<OpenFlows, OpenFlows, DrainBackend, JoinDaemon,
                                          KillDaemon, StopDaemon, SuspendDaemon, ResumeDaemons>());
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
