/// @file
/// Time and allocations per decision for packets that carry a token. Run manually; not a test.
#include <benchmark/benchmark.h>

#include "bench/allocation_counter.h"
#include "core/token_steering.h"
#include "sim/seeded_random.h"
#include "support/store_fixtures.h"

namespace {

using namespace cobaltgauge;
using namespace std::chrono_literals;

constexpr std::uint32_t kClients = 1U << 14U;

/// A daemon with a full view of one service.
class TokenDaemon {
 public:
  explicit TokenDaemon(std::int64_t backends) {
    steering.routes().offer(tests::makeRoutes(1, {{1, "web"}}), now);
    for (std::int64_t i = 1; i <= backends; ++i) {
      const auto id = static_cast<std::uint64_t>(i);
      const auto network = static_cast<std::uint8_t>(i / 250);
      const auto host = static_cast<std::uint8_t>(i % 250);
      steering.backends().put("b" + std::to_string(i),
                              tests::makeRegistration(id, "web", network, host), id, now);
    }
    steering.setViewState(true, true);
    steering.setLoadMeter(&meter);
  }

  static core::PacketSummary packetOf(std::uint32_t client, core::PacketKind kind) {
    core::PacketSummary packet;
    packet.flow.protocol = core::Protocol::kTcp;
    packet.flow.source = tests::endpoint(static_cast<std::uint8_t>(client >> 14U),
                                         static_cast<std::uint8_t>(client >> 6U),
                                         static_cast<std::uint16_t>(1024 + (client & 63U)));
    packet.flow.destination = tests::endpoint(90, 1, 443);
    packet.kind = kind;
    return packet;
  }

  core::Verdict open(std::uint32_t client) {
    now += 10ms;  // Avoids pacing.
    return steering.onPacket(packetOf(client, core::PacketKind::kOpening), now);
  }

  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::LoadMeter meter;
  core::TokenSteering steering{core::TokenSteeringOptions{}, weights, random};
  core::Time now = 100s;
};

void establishedFlowPacket(benchmark::State& state) {
  TokenDaemon daemon(state.range(0));
  std::vector<core::PacketSummary> packets;
  for (std::uint32_t client = 0; client < kClients; ++client) {
    daemon.open(client);
    packets.push_back(TokenDaemon::packetOf(client, core::PacketKind::kContinuing));
    packets.back().token = core::HashTokenOf(daemon.steering.lastDecision().backend);
  }
  std::uint32_t next = 0;
  std::uint32_t acknowledged = 1;
  const std::uint64_t before = bench::allocations();
  for (auto _ : state) {
    packets[next].acknowledgement = acknowledged;
    benchmark::DoNotOptimize(daemon.steering.onPacket(packets[next], daemon.now));
    next = (next + 1) % kClients;
    acknowledged += next == 0 ? 1 : 0;
  }
  bench::reportAllocations(state, before);
}
BENCHMARK(establishedFlowPacket)->Arg(15)->Arg(120)->Arg(5600);

void openingPacket(benchmark::State& state) {
  TokenDaemon daemon(state.range(0));
  std::uint32_t client = 0;
  const std::uint64_t before = bench::allocations();
  for (auto _ : state) {
    benchmark::DoNotOptimize(daemon.open(++client % kClients));
  }
  bench::reportAllocations(state, before);
}
BENCHMARK(openingPacket)->Arg(15)->Arg(120)->Arg(1000)->Arg(5600)->Arg(10'000);

/// One backend leaves and another returns before each connection attempt.
void openingPacketAfterBackendChange(benchmark::State& state) {
  TokenDaemon daemon(state.range(0));
  const auto backends = static_cast<std::uint64_t>(state.range(0));
  core::Revision revision = 1'000'000;
  std::uint32_t client = 0;
  std::uint64_t gone = 1;
  daemon.steering.backends().remove("b1", ++revision, daemon.now);
  for (auto _ : state) {
    const std::uint64_t next = gone % backends + 1;
    const auto network = static_cast<std::uint8_t>(gone / 250);
    const auto host = static_cast<std::uint8_t>(gone % 250);
    daemon.steering.backends().remove("b" + std::to_string(next), ++revision, daemon.now);
    daemon.steering.backends().put("b" + std::to_string(gone),
                                   tests::makeRegistration(gone, "web", network, host), ++revision,
                                   daemon.now);
    gone = next;
    benchmark::DoNotOptimize(daemon.open(++client % kClients));
  }
}
BENCHMARK(openingPacketAfterBackendChange)->Arg(100)->Arg(1000)->Arg(10'000);

/// Every evacuation of a zone requires all candidate lists to be rebuilt.
void openingPacketAfterEvacuation(benchmark::State& state) {
  TokenDaemon daemon(state.range(0));
  core::Revision revision = 1'000'000;
  std::uint32_t client = 0;
  for (auto _ : state) {
    daemon.steering.backends().putEvacuation("b", "b", ++revision);
    benchmark::DoNotOptimize(daemon.open(++client % kClients));
  }
}
BENCHMARK(openingPacketAfterEvacuation)->Arg(120)->Arg(5600);

}  // namespace

BENCHMARK_MAIN();
