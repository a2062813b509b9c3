/// @file
/// Simulated daemon process, which is running, suspended or terminated.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "sim/event_queue.h"
#include "sim/packet_router.h"
#include "sim/scenario.h"
#include "sim/seeded_random.h"

namespace cobaltgauge::sim {

/// Counters of the control traffic sent by a daemon.
struct ControlTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;  ///< Encoded frames, without UDP/IP headers.
  std::map<std::string, std::uint64_t> bytesByKind;
};

class SimulatedDaemon {
 public:
  SimulatedDaemon(EventQueue& queue, core::MemberIdentity identity, std::uint64_t process,
                  std::uint64_t seed, const Scenario& scenario,
                  core::ConfigurationCompiler& compiler);

  /// Executes work immediately, queues it while the process is suspended, or drops it if
  /// terminated.
  void deliver(std::function<void()> work);

  void suspend() { suspended_ = true; }
  /// Executes queued work in order before the next tick, hence on outdated state.
  void resume();
  void kill() { alive_ = false; }

  bool runs() const { return alive_ && !suspended_; }
  bool isAlive() const { return alive_; }
  PacketRouter& router() { return *router_; }
  const PacketRouter& router() const { return *router_; }
  const core::MemberIdentity& identity() const { return identity_; }
  const std::string& name() const { return identity_.name; }
  const std::string& zone() const { return identity_.zone; }

  /// The fabric routes packets to this daemon until this time.
  core::Time receivesUntil{core::Duration::max()};
  core::Time startedAt{};
  core::Time endedAt{core::Duration::max()};
  core::Time stopRequestedAt{};  ///< Zero if no graceful shutdown was requested.
  core::Time nextPlatformRead{};
  core::ConfigurationVersion reportedVersion = 0;
  ControlTraffic traffic;

 private:
  core::MemberIdentity identity_;
  SeededRandom random_;
  std::unique_ptr<PacketRouter> router_;
  std::deque<std::function<void()>> inbox_;
  bool alive_ = true;
  bool suspended_ = false;
};

}  // namespace cobaltgauge::sim
