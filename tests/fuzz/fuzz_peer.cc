/// @file
/// libFuzzer target: a peer message whose authenticator is right, and what the core does with it.
#include "core/balancer.h"
#include "core/constants.h"
#include "core/view_exchange.h"
#include "core/view_updater.h"
#include "net/peer_codec.h"
#include "support/core_fixtures.h"

namespace {

using namespace cobaltgauge;

/// Lets a daemon that steers by tokens take a message about views.
template <typename Message>
void giveToExchange(const Message& message, core::Time now) {
  sim::SeededRandom random(1);
  core::EqualWeights weights;
  core::TokenSteering steering(core::TokenSteeringOptions{}, weights, random);
  core::ViewUpdater updater(steering.backends(), steering.routes(), [](const core::ViewChange&) {});
  core::StoreReader reader(updater, random);
  core::ViewExchange exchange(tests::endpoint(9, 1, 7720), steering, updater, reader, random);
  if constexpr (std::is_same_v<Message, core::ViewRequest>) {
    exchange.onRequest(message, now);
  } else {
    exchange.onTransfer(message, now);
  }
  steering.setViewState(true, false);
  steering.onPacket(tests::packetFrom(1), now);
  exchange.onTick(now + core::kStoreSilence);
  exchange.takeMessages();
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
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
        if constexpr (std::is_convertible_v<Message, core::PeerMessage>) {
          balancer.onMessage(kPeer.id, message, now);
        } else if constexpr (!std::is_same_v<Message, net::ForwardedPacket>) {
          giveToExchange(message, now);
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
