#include "core/membership.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

using namespace cobaltgauge;
using namespace cobaltgauge::core;
using namespace std::chrono_literals;

namespace {

/// Three members; `partitioned` separates the third from the others.
struct MembershipFixture {
  struct Node {
    explicit Node(std::uint8_t number, sim::SeededRandom& random)
        : membership(tests::makeIdentity("m-" + std::to_string(number), number,
                                         "zone-" + std::to_string(number)),
                     number, random, outbox) {}
    Outbox outbox;
    Membership membership;
    bool isRunning = true;
  };

  MembershipFixture() {
    for (std::uint8_t i = 1; i <= 3; ++i) {
      nodes.push_back(std::make_unique<Node>(i, random));
    }
    std::vector<MemberIdentity> seeds;
    for (const auto& node : nodes) {
      seeds.push_back(node->membership.self());
    }
    for (const auto& node : nodes) {
      node->membership.setSeeds(seeds);
      node->membership.announce(MemberState::kAlive, now);
    }
  }

  void advance(Duration duration) {
    const Time end = now + duration;
    while (now < end) {
      now += kTickInterval;
      for (const auto& node : nodes) {
        if (node->isRunning) {
          node->membership.onTick(now);
        }
      }
      for (int round = 0; round < 4; ++round) {
        deliver();
      }
    }
  }

  void deliver() {
    for (const auto& from : nodes) {
      for (const OutgoingMessage& message : from->outbox.take()) {
        for (const auto& to : nodes) {
          const bool addressed = to->membership.self().control == message.destination;
          const bool blocked = partitioned && (from == nodes[2]) != (to == nodes[2]);
          if (addressed && from->isRunning && to->isRunning && !blocked) {
            handle(to->membership, from->membership.self().id, message.message);
          }
        }
      }
    }
  }

  void handle(Membership& to, MemberId from, const PeerMessage& message) const {
    if (const auto* ping = std::get_if<Ping>(&message)) {
      to.onPing(from, *ping, now);
    } else if (const auto* ack = std::get_if<Ack>(&message)) {
      to.onAck(from, *ack, now);
    } else if (const auto* request = std::get_if<PingRequest>(&message)) {
      to.onPingRequest(from, *request, now);
    } else if (const auto* sync = std::get_if<MemberSync>(&message)) {
      to.onMemberSync(from, *sync, now);
    }
  }

  MemberState stateSeenBy(std::size_t by, std::size_t about) const {
    return nodes[by]->membership.members().find(nodes[about]->membership.self().id)->state;
  }

  sim::SeededRandom random{1};
  std::vector<std::unique_ptr<Node>> nodes;
  Time now = 100s;
  bool partitioned = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipTest, MembershipFixture)

BOOST_AUTO_TEST_CASE(MembersDiscoverEachOtherFromSeeds) {
  advance(5s);
  for (std::size_t by = 0; by < 3; ++by) {
    BOOST_TEST(nodes[by]->membership.members().eligible().size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(DeadMemberIsDetected) {
  advance(5s);
  nodes[2]->isRunning = false;
  advance(4s);
  BOOST_TEST((stateSeenBy(0, 2) == MemberState::kDead));
  BOOST_TEST((stateSeenBy(1, 2) == MemberState::kDead));
}

BOOST_AUTO_TEST_CASE(LeavingMemberIsNotEligibleAndEndsAsLeft) {
  advance(5s);
  nodes[2]->membership.announce(MemberState::kLeaving, now);
  advance(2s);
  BOOST_TEST(nodes[0]->membership.members().eligible().size() == 2U);
  nodes[2]->isRunning = false;
  advance(5s);
  BOOST_TEST((stateSeenBy(0, 2) == MemberState::kLeft));
}

BOOST_AUTO_TEST_CASE(SuspectRefutesWithAHigherIncarnation) {
  advance(5s);
  MemberUpdate update =
      MemberList::toUpdate(*nodes[0]->membership.members().find(nodes[2]->membership.self().id));
  update.state = MemberState::kSuspect;
  nodes[0]->membership.onMemberSync(nodes[1]->membership.self().id, {false, {update}}, now);
  BOOST_TEST((stateSeenBy(0, 2) == MemberState::kSuspect));
  advance(1s);
  BOOST_TEST((stateSeenBy(0, 2) == MemberState::kAlive));
}

BOOST_AUTO_TEST_CASE(ReportedDeathIsIgnoredAfterRecentContact) {
  advance(5s);
  const MemberId target = nodes[2]->membership.self().id;
  nodes[0]->membership.onPing(target, Ping{}, now);
  MemberUpdate update = MemberList::toUpdate(*nodes[0]->membership.members().find(target));
  update.state = MemberState::kDead;
  nodes[0]->membership.onMemberSync(nodes[1]->membership.self().id, {false, {update}}, now);
  BOOST_TEST((stateSeenBy(0, 2) == MemberState::kAlive));
}

BOOST_AUTO_TEST_CASE(MembersReconnectAfterAPartition) {
  advance(5s);
  partitioned = true;
  advance(5s);
  BOOST_TEST((stateSeenBy(0, 2) == MemberState::kDead));
  BOOST_TEST((stateSeenBy(2, 0) == MemberState::kDead));
  partitioned = false;
  advance(4s);
  for (std::size_t by = 0; by < 3; ++by) {
    BOOST_TEST(nodes[by]->membership.members().eligible().size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(UpdateAboutSelfIsRefuted) {
  advance(5s);
  MemberUpdate update{nodes[0]->membership.self(), MemberState::kDead, 50, 1};
  nodes[0]->membership.onMemberSync(nodes[1]->membership.self().id, {false, {update}}, now);
  BOOST_TEST((nodes[0]->membership.selfState() == MemberState::kAlive));
  advance(1s);
  BOOST_TEST((stateSeenBy(1, 0) == MemberState::kAlive));
}

BOOST_AUTO_TEST_SUITE_END()
