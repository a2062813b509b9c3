/// @file
/// libFuzzer target: peer messages after authentication, and their processing in the core.
#include "core/balancer.h"
#include "core/constants.h"
#include "core/load/fleet_load.h"
#include "core/relay/view_backfill.h"
#include "core/relay/view_relay.h"
#include "core/view_exchange.h"
#include "core/view_updater.h"
#include "net/peer_codec.h"
#include "support/core_fixtures.h"

namespace {

using namespace cobaltgauge;

/// Core of a daemon in token steering mode, with a complete view at revision 5.
struct TokenNode {
  sim::SeededRandom random{1};
  core::EqualWeights weights;
  core::TokenSteering steering{core::TokenSteeringOptions{}, weights, random};
  core::ChangeLog log;
  core::ViewUpdater updater{steering.backends(), steering.routes(), [](const core::ViewChange&) {},
                            &log};
  core::StoreReader reader{updater, random};
  core::Endpoint self = tests::endpoint(9, 1, 7720);
  core::ViewExchange exchange{self, steering, updater, reader, random, &log};
  core::OutlierDetector outliers{1};
  core::ViewRelay relay{self, reader, updater, log, outliers, random};
  core::ViewDifference difference{steering.backends(), steering.routes()};
  core::ViewBackfill backfill{self, reader, updater, steering.backends(), random};
  core::LoadMeter meter;
  core::FleetLoad load{self, meter,
                       [this](core::Time now) { return steering.backends().countSlots(now); }};

  void start(core::Time now) {
    relay.SetLoad(&load);
    relay.SetDifference(&difference);
    steering.setLoadMeter(&meter);
    relay.SetSeeds({self});
    reader.nextRead(now);
    core::StoreReply listing;
    listing.revision = 5;
    reader.onReply(listing, now);
    reader.confirm(now);
    relay.OnStoreReply(now);
  }

  void deliver(const core::ViewRequest& message, core::Time now) {
    exchange.onRequest(message, now);
  }
  void deliver(const core::ViewTransfer& message, core::Time now) {
    exchange.onTransfer(message, now);
    relay.OnStoreReply(now);
  }
  void deliver(const core::ViewSubscription& message, core::Time now) {
    relay.OnSubscription(message, now);
  }
  void deliver(const core::ViewUpdate& message, core::Time now) { relay.OnUpdate(message, now); }
  void deliver(const core::UnreachableGroupsNotice& message, core::Time now) {
    steering.onGroupNotice(message, now);
    steering.takeGroupProbes(now);
  }
  void deliver(const core::OutlierReport& message, core::Time now) {
    relay.OnOutlierReport(message, now);
  }
  void deliver(const core::LoadReport& message, core::Time now) {
    core::ViewSubscription subscription;
    subscription.replyTo = message.replyTo;
    relay.OnSubscription(subscription, now);
    relay.OnLoadReport(message, now);
  }
  void deliver(const core::LoadSummary& message, core::Time now) {
    relay.OnLoadSummary(message, now);
  }
  void deliver(const core::ViewPageRequest& message, core::Time now) {
    backfill.OnRequest(message, now);
    backfill.TakeMessages();
  }
  void deliver(const core::ViewPage& message, core::Time now) {
    core::BackfillPeers peers;
    peers.Known = {message.sender};
    backfill.OnTick(peers, now);
    backfill.OnPage(message, now);
    backfill.TakeMessages();
  }
};

/// Delivers a peer message to a daemon in token steering mode.
template <typename Message>
void deliverToTokenNode(const Message& message, core::Time now) {
  TokenNode node;
  node.start(now);
  node.deliver(message, now);
  node.steering.setOutliers(&node.outliers);
  node.steering.setViewState(true, false);
  node.steering.onPacket(tests::packetFrom(1), now);
  node.exchange.onTick(now + core::kStoreSilenceTimeout);
  node.exchange.takeMessages();
  node.relay.OnTick(node.exchange.peers(), now + core::kStoreSilenceTimeout);
  node.relay.TakeMessages();
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
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
          deliverToTokenNode(message, now);
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
