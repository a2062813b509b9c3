/// @file
/// Benchmarks of the time and allocations of packet decisions.
#include <benchmark/benchmark.h>

#include "bench/allocation_counter.h"
#include "core/constants.h"
#include "support/core_fixtures.h"

namespace {

using namespace cobaltgauge;
using namespace std::chrono_literals;

constexpr std::size_t kFlows = 1U << 14U;

/// A single daemon with settled buckets and 15 backends.
struct SettledDaemon {
  SettledDaemon() {
    compiler.prepared["web"] = tests::makeService("web", 1, 15);
    core::BalancerOptions options;
    options.self = tests::makeIdentity("lb-1", 1);
    options.flowTableEntries = 1U << 18U;
    balancer = std::make_unique<core::Balancer>(options, compiler, random);
    balancer->offerConfiguration(tests::makeDocument(1, "web"), now);
    balancer->offerMemberSeeds({}, now);
    for (int tick = 0; tick < 100; ++tick) {
      now += core::kTickInterval;
      balancer->onTick(now);
    }
    for (std::size_t i = 0; i < kFlows; ++i) {
      packets.push_back(tests::packetFrom(static_cast<std::uint8_t>(i)));
      packets.back().flow.source.port = static_cast<std::uint16_t>(1024 + i / 256);
    }
  }

  tests::MapCompiler compiler;
  sim::SeededRandom random{1};
  core::Time now = 100s;
  std::unique_ptr<core::Balancer> balancer;
  std::vector<core::PacketSummary> packets;
};

void settledBucketKnownFlow(benchmark::State& state) {
  SettledDaemon daemon;
  for (const core::PacketSummary& packet : daemon.packets) {
    daemon.balancer->onPacket(packet, daemon.now);
  }
  std::size_t next = 0;
  const std::uint64_t before = bench::allocations();
  for (auto _ : state) {
    benchmark::DoNotOptimize(daemon.balancer->onPacket(daemon.packets[next], daemon.now));
    next = (next + 1) % kFlows;
  }
  bench::reportAllocations(state, before);
}
BENCHMARK(settledBucketKnownFlow);

void settledBucketUnknownFlow(benchmark::State& state) {
  SettledDaemon daemon;
  std::uint32_t number = 0;
  const std::uint64_t before = bench::allocations();
  core::PacketSummary packet = daemon.packets.front();
  for (auto _ : state) {
    ++number;
    packet.flow.source.address.bytes[1] = static_cast<std::uint8_t>(number >> 16U);
    packet.flow.source.address.bytes[2] = static_cast<std::uint8_t>(number >> 8U);
    packet.flow.source.address.bytes[3] = static_cast<std::uint8_t>(number);
    benchmark::DoNotOptimize(daemon.balancer->onPacket(packet, daemon.now));
  }
  bench::reportAllocations(state, before);
}
BENCHMARK(settledBucketUnknownFlow);

void applyConfiguration(benchmark::State& state) {
  const core::Service service =
      tests::makeService("web", 1, static_cast<std::size_t>(state.range(0)));
  core::ServicePlacement placement(service.id);
  core::ConfigurationVersion version = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(placement.apply(service, ++version, 1s));
  }
}
BENCHMARK(applyConfiguration)->Arg(8)->Arg(15)->Arg(100);

void scanFlowTable(benchmark::State& state) {
  core::FlowTable table(static_cast<std::size_t>(state.range(0)) * 2, 600s);
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const auto fingerprint = core::mixHash(static_cast<std::uint64_t>(i), 1);
    table.learn(core::FlowFingerprint{fingerprint}, core::ServiceId{1}, core::BackendId{1}, 1s);
  }
  for (auto _ : state) {
    std::size_t count = 0;
    table.forEach(1s, [&count](const core::FlowEntry&) { ++count; });
    benchmark::DoNotOptimize(count);
  }
}
BENCHMARK(scanFlowTable)->Arg(1 << 16)->Arg(1 << 18)->Arg(1 << 20)->Arg(1 << 21);

}  // namespace

BENCHMARK_MAIN();
