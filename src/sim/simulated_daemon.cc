#include "sim/simulated_daemon.h"

#include <utility>

#include "core/hashing.h"

namespace cobaltgauge::sim {
namespace {

/// Capacity of the socket buffer of a suspended process.
constexpr std::size_t kSocketBufferDatagrams = 4096;
constexpr std::uint64_t kHashSeed = 0x9e3779b97f4a7c15;

core::BalancerOptions optionsFor(const core::MemberIdentity& identity, std::uint64_t process,
                                 const Scenario& scenario) {
  core::BalancerOptions options;
  options.self = identity;
  options.process = process;
  options.hashSeed = core::mixHash(kHashSeed, scenario.seed);
  options.flowTableEntries = scenario.flowTableEntries;
  return options;
}

}  // namespace

SimulatedDaemon::SimulatedDaemon(EventQueue& queue, core::MemberIdentity identity,
                                 std::uint64_t process, std::uint64_t seed,
                                 const Scenario& scenario, core::ConfigurationCompiler& compiler)
    : startedAt(queue.now()),
      identity_(std::move(identity)),
      random_(seed),
      router_(makeRouter(scenario.variant, optionsFor(identity_, process, scenario), compiler,
                         random_)) {}

void SimulatedDaemon::deliver(std::function<void()> work) {
  if (!alive_) {
    return;
  }
  if (!suspended_) {
    work();
  } else if (inbox_.size() < kSocketBufferDatagrams) {
    inbox_.push_back(std::move(work));
  }
}

void SimulatedDaemon::resume() {
  suspended_ = false;
  while (!inbox_.empty()) {
    const std::function<void()> work = std::move(inbox_.front());
    inbox_.pop_front();
    work();
  }
}

}  // namespace cobaltgauge::sim
