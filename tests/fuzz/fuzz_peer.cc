/// @file
/// libFuzzer target: a peer message whose authenticator is right, and what the core does with it.
#include "core/balancer.h"
#include "core/constants.h"
#include "net/peer_codec.h"
#include "support/core_fixtures.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge;
  static const core::MemberIdentity kPeer = tests::makeIdentity("peer", 2);
  net::PeerCodec codec("fuzz", "key of the fuzzers", kPeer.id);
  const auto received = codec.decodeBody({data, size});
  if (!received) {
    return 0;
  }
  tests::MapCompiler compiler;
  compiler.prepared["web"] = tests::makeService("web", 1, 4);
  sim::SeededRandom random(1);
  core::BalancerOptions options;
  options.self = tests::makeIdentity("self", 1);
  options.flowTableEntries = 8;
  core::Balancer balancer(options, compiler, random);
  core::Time now = std::chrono::seconds(100);
  balancer.offerConfiguration(tests::makeDocument(1, "web"), now);
  balancer.onTick(now);
  std::visit(
      [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (!std::is_same_v<Message, net::ForwardedPacket>) {
          balancer.onMessage(kPeer.id, message, now);
        }
      },
      received->frame);
  for (int tick = 0; tick < 4; ++tick) {
    now += core::kTickInterval;
    balancer.onTick(now);
    balancer.onPacket(tests::packetFrom(1), now);
    balancer.takeMessages();
  }
  return 0;
}
