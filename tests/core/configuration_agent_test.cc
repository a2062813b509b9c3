#include "core/configuration_agent.h"

#include <boost/test/unit_test.hpp>

#include "support/core_fixtures.h"

using namespace cobaltgauge;
using namespace cobaltgauge::core;
using cobaltgauge::tests::makeDocument;

namespace {

struct AgentFixture {
  AgentFixture() {
    compiler.prepared["four"] = tests::makeService("web", 1, 4);
    compiler.prepared["five"] = tests::makeService("web", 1, 5);
  }
  tests::MapCompiler compiler;
  ConfigurationAgent agent{compiler};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationAgentTest, AgentFixture)

BOOST_AUTO_TEST_CASE(OlderVersionIsRejected) {
  BOOST_TEST((agent.offer(makeDocument(5, "four")) == OfferResult::kAccepted));
  BOOST_TEST((agent.offer(makeDocument(4, "five")) == OfferResult::kOlder));
  BOOST_TEST(agent.digest().version == 5U);
  BOOST_TEST(agent.lastReason() == "version 4 is older than accepted version 5");
}

BOOST_AUTO_TEST_CASE(SameVersionWithOtherContentIsRejected) {
  agent.offer(makeDocument(5, "four"));
  BOOST_TEST((agent.offer(makeDocument(5, "five")) == OfferResult::kConflict));
  BOOST_TEST(agent.current()->services[0].backends.size() == 4U);
  BOOST_TEST(agent.counters().conflicts == 1U);
}

BOOST_AUTO_TEST_CASE(InvalidVersionKeepsTheLastValidOne) {
  agent.offer(makeDocument(5, "four"));
  BOOST_TEST((agent.offer(makeDocument(6, "nonsense")) == OfferResult::kInvalid));
  BOOST_TEST(agent.digest().version == 5U);
  BOOST_TEST(agent.lastReason() == "no prepared service 'nonsense'");
}

BOOST_AUTO_TEST_CASE(TransferCarriesOnlyChangedServices) {
  compiler.prepared["other"] = tests::makeService("other", 2, 2);
  ConfigurationAgent peer(compiler);
  const ConfigurationDocument first{1, {{"other", "other", 0}, {"web", "four", 0}}};
  const ConfigurationDocument second{2, {{"other", "other", 0}, {"web", "five", 0}}};
  agent.offer(first);
  peer.offer(first);
  peer.offer(second);
  const ConfigurationTransfer transfer = peer.makeTransfer({agent.digest().version});
  BOOST_TEST(transfer.changed.size() == 1U);
  BOOST_TEST((agent.offerTransfer(transfer) == OfferResult::kAccepted));
  BOOST_TEST((agent.digest() == peer.digest()));
}

BOOST_AUTO_TEST_CASE(TransferFromAnotherBaseIsRejectedAndAFullOneIsAccepted) {
  compiler.prepared["other"] = tests::makeService("other", 2, 2);
  ConfigurationAgent peer(compiler);
  agent.offer({1, {{"other", "other", 0}, {"web", "five", 0}}});  // Conflicting content.
  peer.offer({1, {{"other", "other", 0}, {"web", "four", 0}}});
  compiler.prepared["other2"] = tests::makeService("other", 2, 3);
  peer.offer({2, {{"other", "other2", 0}, {"web", "four", 0}}});
  BOOST_TEST((agent.offerTransfer(peer.makeTransfer({1})) == OfferResult::kInvalid));
  BOOST_TEST((agent.offerTransfer(peer.makeTransfer({0})) == OfferResult::kAccepted));
  BOOST_TEST((agent.digest() == peer.digest()));
}

BOOST_AUTO_TEST_CASE(PeerWithConflictingContentIsCounted) {
  agent.offer(makeDocument(5, "four"));
  BOOST_TEST(!agent.isBehind({5, 12345}));
  BOOST_TEST(agent.counters().conflicts == 1U);
  BOOST_TEST(agent.isBehind({6, 1}));
}

BOOST_AUTO_TEST_SUITE_END()
