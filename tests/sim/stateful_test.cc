/// Stateful fuzzing: RapidCheck makes and shrinks sequences of commands on a fleet of the daemons'
/// own core; the oracle is a map from flow to the back end that first got it.
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

constexpr std::size_t kFirstDaemons = 3;
constexpr std::size_t kMostDaemons = 6;
constexpr std::size_t kBackends = 6;

/// What a test may know of the fleet: the oracle.
struct Oracle {
  std::vector<bool> running = std::vector<bool>(kFirstDaemons, true);
  std::vector<bool> frozen = std::vector<bool>(kFirstDaemons, false);
  std::size_t draining = 0;  ///< Back ends 0 to draining-1 are leaving.
  int opened = 0;

  std::vector<std::size_t> serving() const {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < running.size(); ++i) {
      if (running[i] && !frozen[i]) {
        result.push_back(i);
      }
    }
    return result;
  }
};

/// Daemons in lock step on a network that loses some messages.
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
    for (std::size_t i = 0; i < kFirstDaemons; ++i) {
      join();
    }
    pass(6s);
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
  void freeze(std::size_t index) { daemons_[index]->frozen = true; }
  void wake(std::size_t index) {
    daemons_[index]->frozen = false;
    for (const Delivery& delivery : std::exchange(daemons_[index]->inbox, {})) {
      daemons_[index]->balancer->onMessage(delivery.from, delivery.message, now_);
    }
  }
  void beginShutdown(std::size_t index) { daemons_[index]->balancer->beginShutdown(now_); }
  void endLeaving(std::size_t index) {
    daemons_[index]->balancer->finishShutdown(now_);
    deliver();
    kill(index);
  }

  void drainOne() {
    ++drained_;
    ++version_;
    for (const auto& daemon : daemons_) {
      if (daemon->running && !daemon->frozen) {
        daemon->balancer->offerConfiguration(document(), now_);
        break;  // One reader; the others learn it from their peers.
      }
    }
  }

  /// @return the back end that gets the packet, kNoBackend where it was dropped on the way.
  BackendId send(std::size_t ingress, int flow) {
    PacketSummary packet = tests::packetFrom(static_cast<std::uint8_t>(flow));
    packet.flow.source.port = static_cast<std::uint16_t>(20000 + flow / 256);
    Verdict verdict = daemons_[ingress]->balancer->onPacket(packet, now_);
    for (int hop = 0; hop < 3; ++hop) {
      const auto* pass = std::get_if<ForwardToPeer>(&verdict);
      Daemon* peer = pass == nullptr ? nullptr : find(pass->destination);
      if (peer == nullptr || !peer->running || peer->frozen) {
        break;
      }
      const PeerArrival arrival{daemons_[ingress]->balancer->membership().self().id, pass->hops,
                                pass->needsListing};
      verdict = peer->balancer->onPeerPacket(packet, arrival, now_);
    }
    deliver();
    const auto* forward = std::get_if<ForwardToBackend>(&verdict);
    return forward == nullptr ? kNoBackend : forward->backend.id;
  }

  bool isLeaving(BackendId backend) const {
    const Service& service = compiler_.prepared.at("drained-" + std::to_string(drained_));
    return std::any_of(service.backends.begin(), service.backends.end(), [&](const Backend& item) {
      return item.address.id == backend && item.state == BackendState::kDraining;
    });
  }

  void pass(Duration duration) {
    const Time end = now_ + duration;
    while (now_ < end) {
      now_ += kTickInterval;
      for (const auto& daemon : daemons_) {
        if (daemon->running && !daemon->frozen) {
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
    std::vector<Delivery> inbox;  ///< Of a suspended process.
    bool running = true;
    bool frozen = false;
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
    constexpr int kRounds = 4;  // Ping-pong beyond this waits for the next tick.
    for (int round = 0; round < kRounds; ++round) {
      for (const auto& from : daemons_) {
        if (!from->running || from->frozen) {
          continue;
        }
        const MemberId sender = from->balancer->membership().self().id;
        for (OutgoingMessage& message : from->balancer->takeMessages()) {
          Daemon* to = find(message.destination);
          if (to == nullptr || !to->running || random_.chance(kLossPermille)) {
            continue;
          }
          if (to->frozen) {
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
  std::map<int, BackendId> chosen;  ///< Back end of each flow, by its first packet.
};

using FleetCommand = rc::state::Command<Oracle, FleetUnderTest>;

/// Sends packets of all flows through every serving daemon, twice a second for `seconds`.
void exerciseFlows(const Oracle& oracle, FleetUnderTest& fleet, int seconds) {
  for (int round = 0; round < seconds * 2; ++round) {
    for (auto& [flow, backend] : fleet.chosen) {
      for (const std::size_t ingress : oracle.serving()) {
        const BackendId reached = fleet.send(ingress, flow);
        RC_ASSERT(reached == kNoBackend || reached == backend);
      }
    }
    fleet.pass(500ms);
  }
}

/// Sends packets of all flows as exerciseFlows() does, by the daemons that serve after a command.
void exerciseAfter(const FleetCommand& command, const Oracle& before, FleetUnderTest& fleet,
                   int seconds) {
  Oracle after = before;
  command.apply(after);
  exerciseFlows(after, fleet, seconds);
}

struct OpenFlows : FleetCommand {
  void apply(Oracle& oracle) const override { oracle.opened += 10; }
  void run(const Oracle& before, FleetUnderTest& fleet) const override {
    const std::vector<std::size_t> serving = before.serving();
    for (int i = 0; i < 10; ++i) {
      const int flow = before.opened + i;
      const std::size_t ingress = serving[static_cast<std::size_t>(flow) % serving.size()];
      const BackendId backend = fleet.send(ingress, flow);
      if (backend != kNoBackend) {
        fleet.chosen[flow] = backend;
      }
    }
    exerciseFlows(before, fleet, 1);
  }
  void show(std::ostream& out) const override { out << "open flows"; }
};

struct DrainBackend : FleetCommand {
  void checkPreconditions(const Oracle& oracle) const override {
    RC_PRE(oracle.draining + 2 < kBackends);
  }
  void apply(Oracle& oracle) const override { ++oracle.draining; }
  void run(const Oracle& before, FleetUnderTest& fleet) const override {
    fleet.drainOne();
    fleet.pass(200ms);
    exerciseFlows(before, fleet, 3);
    // A flow that opens now must not reach a back end that leaves.
    const int flow = 5000 + static_cast<int>(before.draining);
    const BackendId backend = fleet.send(before.serving().front(), flow);
    RC_ASSERT(backend == kNoBackend || !fleet.isLeaving(backend));
  }
  void show(std::ostream& out) const override { out << "drain a back end"; }
};

struct JoinDaemon : FleetCommand {
  void checkPreconditions(const Oracle& oracle) const override {
    RC_PRE(oracle.running.size() < kMostDaemons);
  }
  void apply(Oracle& oracle) const override {
    oracle.running.push_back(true);
    oracle.frozen.push_back(false);
  }
  void run(const Oracle& before, FleetUnderTest& fleet) const override {
    fleet.join();
    exerciseAfter(*this, before, fleet, 3);
  }
  void show(std::ostream& out) const override { out << "join"; }
};

/// Commands that pick one serving daemon; at least two others keep serving.
struct OneDaemonCommand : FleetCommand {
  explicit OneDaemonCommand(const Oracle& oracle) {
    const std::vector<std::size_t> serving = oracle.serving();
    index = serving.empty() ? 0 : *rc::gen::elementOf(serving);
  }
  void checkPreconditions(const Oracle& oracle) const override {
    RC_PRE(oracle.serving().size() > 2);
    RC_PRE(index < oracle.running.size() && oracle.running[index] && !oracle.frozen[index]);
  }
  std::size_t index;
};

struct KillDaemon : OneDaemonCommand {
  using OneDaemonCommand::OneDaemonCommand;
  void apply(Oracle& oracle) const override { oracle.running[index] = false; }
  void run(const Oracle& before, FleetUnderTest& fleet) const override {
    fleet.kill(index);
    exerciseAfter(*this, before, fleet, 4);
  }
  void show(std::ostream& out) const override { out << "kill " << index; }
};

struct StopDaemon : OneDaemonCommand {
  using OneDaemonCommand::OneDaemonCommand;
  void apply(Oracle& oracle) const override { oracle.running[index] = false; }
  void run(const Oracle& before, FleetUnderTest& fleet) const override {
    fleet.beginShutdown(index);
    exerciseFlows(before, fleet, 2);
    fleet.endLeaving(index);
    exerciseAfter(*this, before, fleet, 1);
  }
  void show(std::ostream& out) const override { out << "planned stop of " << index; }
};

struct FreezeDaemon : OneDaemonCommand {
  using OneDaemonCommand::OneDaemonCommand;
  void apply(Oracle& oracle) const override { oracle.frozen[index] = true; }
  void run(const Oracle& before, FleetUnderTest& fleet) const override {
    fleet.freeze(index);
    exerciseAfter(*this, before, fleet, 4);
  }
  void show(std::ostream& out) const override { out << "freeze " << index; }
};

struct WakeDaemons : FleetCommand {
  void checkPreconditions(const Oracle& oracle) const override {
    RC_PRE(std::find(oracle.frozen.begin(), oracle.frozen.end(), true) != oracle.frozen.end());
  }
  void apply(Oracle& oracle) const override {
    std::fill(oracle.frozen.begin(), oracle.frozen.end(), false);
  }
  void run(const Oracle& before, FleetUnderTest& fleet) const override {
    for (std::size_t i = 0; i < before.frozen.size(); ++i) {
      if (before.frozen[i] && before.running[i]) {
        fleet.wake(i);
      }
    }
    exerciseAfter(*this, before, fleet, 3);
  }
  void show(std::ostream& out) const override { out << "wake all"; }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(StatefulTest)

BOOST_AUTO_TEST_CASE(FlowsKeepTheirBackendThroughAnySequence) {
  const bool ok = rc::check("flows keep their back end", [] {
    FleetUnderTest fleet;
    const Oracle oracle;
    rc::state::check(
        oracle, fleet,
        rc::state::gen::execOneOfWithArgs<OpenFlows, OpenFlows, DrainBackend, JoinDaemon,
                                          KillDaemon, StopDaemon, FreezeDaemon, WakeDaemons>());
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
