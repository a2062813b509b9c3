#include "core/shard_state.h"

#include <boost/test/unit_test.hpp>

using namespace cobaltgauge::core;
using namespace std::chrono_literals;

namespace {

constexpr MemberId kFirst{1};
constexpr MemberId kSecond{3};

}  // namespace

BOOST_AUTO_TEST_SUITE(ShardStateTest)

BOOST_AUTO_TEST_CASE(OwnerWithoutRecordsDropsUnknownFlows) {
  const ShardState shard;
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kDrop));
}

BOOST_AUTO_TEST_CASE(WindowClosesWhenEveryMemberHasReported) {
  ShardState shard;
  shard.setComplete(1);
  shard.openWindow(2, 10s, {kFirst, kSecond});
  shard.onReport(kFirst, 2, false);
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kAssumeOld));
  shard.onReport(kSecond, 1, false);
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kAssumeOld));
  shard.onReport(kSecond, 2, false);
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kIsNew));
}

BOOST_AUTO_TEST_CASE(WindowClosesAtItsEndWithoutReports) {
  ShardState shard;
  shard.setComplete(1);
  shard.openWindow(2, 10s, {kFirst});
  BOOST_TEST((shard.unknownFlowRule(9s) == UnknownFlowRule::kAssumeOld));
  BOOST_TEST((shard.unknownFlowRule(10s) == UnknownFlowRule::kIsNew));
}

BOOST_AUTO_TEST_CASE(ReportsBeforeTheWindowOpensCount) {
  ShardState shard;
  shard.setComplete(1);
  shard.onReport(kFirst, 2, false);
  shard.openWindow(2, 10s, {kFirst});
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kIsNew));
}

BOOST_AUTO_TEST_CASE(OwnerWithCompleteRecordsDoesNotOpenTheWindow) {
  ShardState shard;
  shard.setComplete(5);
  shard.openWindow(5, 10s, {kFirst});
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kIsNew));
}

BOOST_AUTO_TEST_CASE(ListingNeedsFullReportsOfTheCurrentVersion) {
  ShardState shard;
  shard.awaitListing({kFirst}, 4, 10s);
  shard.onReport(kFirst, 4, false);
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kDrop));
  shard.onReport(kFirst, 3, true);
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kDrop));
  shard.onReport(kFirst, 4, false);
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kIsNew));
}

BOOST_AUTO_TEST_CASE(HandoverFailsWhenTheFormerHomeIsUnreachable) {
  ShardState shard;
  shard.awaitHandover(kFirst, 10s);
  BOOST_TEST((shard.unknownFlowRule(1s) == UnknownFlowRule::kQueryFormerHome));
  BOOST_TEST(!shard.handoverFailed(1s));
  shard.onMemberUnreachable(kFirst);
  BOOST_TEST(shard.handoverFailed(1s));
}

BOOST_AUTO_TEST_CASE(FirstRecordOfAFlowIsKept) {
  ShardState shard;
  BOOST_TEST(shard.add({FlowFingerprint{9}, BackendId{1}}, 1s));
  BOOST_TEST(!shard.add({FlowFingerprint{9}, BackendId{2}}, 2s));
  BOOST_TEST((shard.find(FlowFingerprint{9}) == BackendId{1}));
  BOOST_TEST(shard.flowsOn(BackendId{1}) == 1U);
}

BOOST_AUTO_TEST_CASE(ExpiredRecordsAreNotCounted) {
  ShardState shard;
  shard.add({FlowFingerprint{9}, BackendId{1}}, 1s);
  shard.add({FlowFingerprint{11}, BackendId{1}}, 50s);
  shard.expire(70s, 60s);
  BOOST_TEST(shard.recordCount() == 1U);
  BOOST_TEST(shard.flowsOn(BackendId{1}) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
