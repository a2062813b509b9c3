/// Packet decisions of one daemon and of two connected daemons.
#include "core/balancer.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

using namespace cobaltgauge;
using namespace cobaltgauge::core;
using namespace std::chrono_literals;
using cobaltgauge::tests::makeDocument;
using cobaltgauge::tests::packetFrom;

namespace {

/// Runs one or two daemons in lockstep without message loss.
struct BalancerFixture {
  BalancerFixture() {
    compiler.prepared["four"] = tests::makeService("web", 1, 4);
    compiler.prepared["drained"] = tests::makeService("web", 1, 4);
    compiler.prepared["drained"].backends[0].state = BackendState::kDraining;
    compiler.prepared["none"] = tests::makeService("web", 1, 0);
    compiler.prepared["limited"] = tests::makeService("web", 1, 4);
    compiler.prepared["limited"].tracked = true;
    compiler.prepared["limited"].refusal = RefusalForm::kCoap;
    compiler.prepared["limited"].limits.newFlowsPerSecond = 1;
    compiler.prepared["tcp"] = tests::makeService("web", 1, 4);
    compiler.prepared["tcp"].protocol = Protocol::kTcp;
    compiler.prepared["tcp"].limits.newFlowsPerSecond = 1;
  }

  static BalancerOptions options(const std::string& name, std::uint8_t number) {
    BalancerOptions result;
    result.self = tests::makeIdentity(name, number);
    result.process = number;
    return result;
  }

  /// Advances time in ticks and delivers all messages.
  void advance(Duration duration) {
    const Time end = now + duration;
    while (now < end) {
      now += kTickInterval;
      for (Balancer* balancer : running) {
        balancer->onTick(now);
      }
      deliver();
    }
  }

  void deliver() {
    for (bool moved = true; moved;) {
      moved = false;
      for (Balancer* from : running) {
        for (const OutgoingMessage& message : from->takeMessages()) {
          for (Balancer* to : running) {
            if (to->membership().self().control == message.destination) {
              to->onMessage(from->membership().self().id, message.message, now);
              moved = true;
            }
          }
        }
      }
    }
  }

  void startAlone(const std::string& text) {
    running = {&first};
    first.offerConfiguration(makeDocument(1, text), now);
    first.offerMemberSeeds({}, now);
    advance(4s);
  }

  void startBoth(const std::string& text) {
    startAlone(text);
    running = {&first, &second};
    second.offerConfiguration(makeDocument(1, text), now);
    second.offerMemberSeeds({first.membership().self()}, now);
    advance(4s);
  }

  static BackendId backendOf(const Verdict& verdict) {
    const auto* forward = std::get_if<ForwardToBackend>(&verdict);
    return forward == nullptr ? kNoBackend : forward->backend.id;
  }

  /// Forwards a packet between daemons until one of them decides it.
  BackendId route(Balancer& ingress, const PacketSummary& packet) {
    Verdict verdict = ingress.onPacket(packet, now);
    for (int hop = 0; hop < 3; ++hop) {
      const auto* forward = std::get_if<ForwardToPeer>(&verdict);
      if (forward == nullptr) {
        break;
      }
      const PeerArrival arrival{ingress.membership().self().id, forward->hops,
                                forward->needsListing};
      for (Balancer* peer : running) {
        if (peer->membership().self().control == forward->destination) {
          verdict = peer->onPeerPacket(packet, arrival, now);
          break;
        }
      }
    }
    deliver();
    return backendOf(verdict);
  }

  /// Opens 99 flows through the first daemon.
  std::map<std::uint8_t, BackendId> openFlows() {
    std::map<std::uint8_t, BackendId> chosen;
    for (std::uint8_t client = 1; client < 100; ++client) {
      chosen[client] = route(first, packetFrom(client));
    }
    return chosen;
  }

  /// Checks that the second daemon forwards every flow to the backend chosen for it.
  void checkSameBackends(const std::map<std::uint8_t, BackendId>& chosen) {
    for (const auto& [client, backend] : chosen) {
      BOOST_TEST_REQUIRE((route(second, packetFrom(client)) == backend));
    }
  }

  tests::MapCompiler compiler;
  sim::SeededRandom random{1};
  Time now = 100s;
  Balancer first{options("lb-1", 1), compiler, random};
  Balancer second{options("lb-2", 2), compiler, random};
  std::vector<Balancer*> running;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(BalancerTest, BalancerFixture)

BOOST_AUTO_TEST_CASE(JoiningDaemonForwardsNothingBeforeItsFenceOpens) {
  running = {&first};
  first.offerConfiguration(makeDocument(1, "four"), now);
  first.offerMemberSeeds({}, now);
  advance(1s);
  const Verdict verdict = first.onPacket(packetFrom(1), now);
  BOOST_TEST((std::get<Drop>(verdict).reason == DropReason::kFenced));
  advance(3s);
  BOOST_TEST((backendOf(first.onPacket(packetFrom(1), now)) != kNoBackend));
}

BOOST_AUTO_TEST_CASE(JoinerWithoutPeerListStaysFenced) {
  running = {&first};
  first.offerConfiguration(makeDocument(1, "four"), now);
  advance(20s);
  BOOST_TEST(first.isFenced());
}

BOOST_AUTO_TEST_CASE(IsolatedJoinerStaysFenced) {
  running = {&first};
  first.offerConfiguration(makeDocument(1, "four"), now);
  first.offerMemberSeeds({second.membership().self()}, now);
  advance(20s);
  BOOST_TEST(first.isFenced());
}

BOOST_AUTO_TEST_CASE(PacketWithoutServiceIsDropped) {
  startAlone("four");
  PacketSummary packet = packetFrom(1);
  packet.flow.destination.port = 1;
  BOOST_TEST((std::get<Drop>(first.onPacket(packet, now)).reason == DropReason::kNoService));
  packet = packetFrom(1, PacketKind::kUnknown, Protocol::kTcp);
  BOOST_TEST((std::get<Drop>(first.onPacket(packet, now)).reason == DropReason::kNoService));
}

BOOST_AUTO_TEST_CASE(TwoDaemonsSendAFlowToTheSameBackend) {
  startBoth("four");
  for (std::uint8_t client = 1; client < 100; ++client) {
    const BackendId chosen = route(first, packetFrom(client));
    BOOST_TEST_REQUIRE((chosen != kNoBackend));
    BOOST_TEST_REQUIRE((route(second, packetFrom(client)) == chosen));
  }
}

BOOST_AUTO_TEST_CASE(DrainKeepsFlowsKnownToOneDaemon) {
  startBoth("four");
  const std::map<std::uint8_t, BackendId> chosen = openFlows();
  first.offerConfiguration(makeDocument(2, "drained"), now);
  advance(3s);
  BOOST_TEST(second.activeVersion() == 2U);
  checkSameBackends(chosen);
}

BOOST_AUTO_TEST_CASE(DrainingBackendGetsNoNewFlowAfterTheListingWindow) {
  startBoth("four");
  first.offerConfiguration(makeDocument(2, "drained"), now);
  advance(3s);
  const BackendId draining = compiler.prepared["four"].backends[0].address.id;
  for (std::uint8_t client = 1; client < 100; ++client) {
    BOOST_TEST_REQUIRE((route(second, packetFrom(client)) != draining));
  }
}

BOOST_AUTO_TEST_CASE(FlowOpenedDuringTheListingWindowHasOneBackend) {
  startBoth("four");
  first.offerConfiguration(makeDocument(2, "drained"), now);
  deliver();  // Both daemons have the version; the listing window is open.
  for (std::uint8_t client = 1; client < 100; ++client) {
    const BackendId chosen = route(first, packetFrom(client));
    BOOST_TEST_REQUIRE((route(second, packetFrom(client)) == chosen));
  }
}

BOOST_AUTO_TEST_CASE(FlowRecordsSurviveAPlannedStop) {
  startBoth("four");
  const std::map<std::uint8_t, BackendId> chosen = openFlows();
  first.offerConfiguration(makeDocument(2, "drained"), now);
  advance(3s);
  first.beginShutdown(now);
  advance(1s);
  BOOST_TEST(first.handoverDone());
  first.finishShutdown(now);
  deliver();
  running = {&second};
  advance(1s);
  checkSameBackends(chosen);
}

BOOST_AUTO_TEST_CASE(SuspendedDaemonForwardsNothingUntilAPeerConfirmsItsView) {
  startBoth("four");
  running = {&second};
  advance(20s);  // `first` gets no ticks.
  running = {&first, &second};
  const Verdict verdict = first.onPacket(packetFrom(1), now);
  BOOST_TEST((std::get<Drop>(verdict).reason == DropReason::kFenced));
  BOOST_TEST(first.counters().suspensions == 1U);
  advance(500ms);
  BOOST_TEST(!first.isFenced());
}

BOOST_AUTO_TEST_CASE(SuspendedDaemonsResumeOnlyAfterTheFenceTimeout) {
  startBoth("four");
  now += 20s;
  first.onPacket(packetFrom(1), now);
  advance(1s);
  BOOST_TEST(first.isFenced());
  BOOST_TEST(second.isFenced());
  advance(kFencePeerTimeout);
  BOOST_TEST(!first.isFenced());
  BOOST_TEST(!second.isFenced());
}

BOOST_AUTO_TEST_CASE(OldVersionFromThePlatformDoesNotRevertAJoiner) {
  startAlone("four");
  first.offerConfiguration(makeDocument(2, "drained"), now);
  advance(2s);
  running = {&first, &second};
  second.offerConfiguration(makeDocument(1, "four"), now);
  second.offerMemberSeeds({first.membership().self()}, now);
  advance(4s);
  BOOST_TEST(second.activeVersion() == 2U);
}

BOOST_AUTO_TEST_CASE(ServiceWithoutBackendsRefuses) {
  startAlone("none");
  const Verdict verdict = first.onPacket(packetFrom(1), now);
  BOOST_TEST((std::get<Refuse>(verdict).reason == RefuseReason::kNoBackend));
}

BOOST_AUTO_TEST_CASE(RefusalIsNotRunOnlyAfterTheRetransmissionSpan) {
  startAlone("limited");
  first.onPacket(packetFrom(1), now);
  const auto early = std::get<Refuse>(first.onPacket(packetFrom(2), now));
  BOOST_TEST((early.reason == RefuseReason::kNewFlowRate));
  BOOST_TEST((early.certainty == RefusalCertainty::kOutcomeUnknown));
  advance(kMaxTransmitSpan);
  first.onPacket(packetFrom(3), now);
  const auto late = std::get<Refuse>(first.onPacket(packetFrom(4), now));
  BOOST_TEST((late.certainty == RefusalCertainty::kNotRun));
  BOOST_TEST(late.retryAfter.count() >= 1);
}

BOOST_AUTO_TEST_CASE(LimitNeverRefusesAnEstablishedFlow) {
  startAlone("limited");
  const BackendId chosen = backendOf(first.onPacket(packetFrom(1), now));
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST_REQUIRE((backendOf(first.onPacket(packetFrom(1), now)) == chosen));
  }
}

BOOST_AUTO_TEST_CASE(TcpSynOverTheRateIsRefusedAsNotRun) {
  startAlone("tcp");
  const auto syn = [](std::uint8_t client) {
    return packetFrom(client, PacketKind::kOpening, Protocol::kTcp);
  };
  BOOST_TEST((backendOf(first.onPacket(syn(1), now)) != kNoBackend));
  const auto refusal = std::get<Refuse>(first.onPacket(syn(2), now));
  BOOST_TEST((refusal.certainty == RefusalCertainty::kNotRun));
}

BOOST_AUTO_TEST_CASE(ExplainReportsTheLearnedBackend) {
  startAlone("four");
  const BackendId chosen = backendOf(first.onPacket(packetFrom(1), now));
  const auto explanation = first.explain(packetFrom(1).flow, now);
  BOOST_TEST_REQUIRE(explanation.has_value());
  BOOST_TEST((explanation->learned == chosen));
  BOOST_TEST(explanation->service == "web");
}

BOOST_AUTO_TEST_SUITE_END()
