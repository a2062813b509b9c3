#include "core/flow_table.h"

#include <boost/test/unit_test.hpp>

using namespace cobaltgauge::core;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(FlowTableTest)

BOOST_AUTO_TEST_CASE(LearnedFlowIsFoundUntilItIsIdle) {
  FlowTable table(64, 10s);
  table.learn(FlowFingerprint{7}, ServiceId{1}, BackendId{3}, 1s);
  BOOST_TEST((table.touch(FlowFingerprint{7}, 9s) == BackendId{3}));
  BOOST_TEST((table.peek(FlowFingerprint{7}, 19s) == BackendId{3}));
  BOOST_TEST(!table.peek(FlowFingerprint{7}, 20s).has_value());
}

BOOST_AUTO_TEST_CASE(PeekDoesNotKeepAFlowAlive) {
  FlowTable table(64, 10s);
  table.learn(FlowFingerprint{7}, ServiceId{1}, BackendId{3}, 1s);
  table.peek(FlowFingerprint{7}, 9s);
  BOOST_TEST(!table.peek(FlowFingerprint{7}, 12s).has_value());
}

BOOST_AUTO_TEST_CASE(FullSetEvictsTheLeastRecentlySeenFlow) {
  FlowTable table(8, 1000s);
  for (std::uint64_t i = 1; i <= 8; ++i) {
    table.learn(FlowFingerprint{i}, ServiceId{1}, BackendId{i}, std::chrono::seconds(i));
  }
  table.touch(FlowFingerprint{1}, 20s);
  table.learn(FlowFingerprint{9}, ServiceId{1}, BackendId{9}, 21s);
  BOOST_TEST(table.peek(FlowFingerprint{1}, 21s).has_value());
  BOOST_TEST(!table.peek(FlowFingerprint{2}, 21s).has_value());
  BOOST_TEST(table.evictions() == 1U);
}

BOOST_AUTO_TEST_CASE(RemovingABackendRemovesOnlyItsFlows) {
  FlowTable table(64, 1000s);
  table.learn(FlowFingerprint{1}, ServiceId{1}, BackendId{5}, 1s);
  table.learn(FlowFingerprint{3}, ServiceId{1}, BackendId{6}, 1s);
  table.removeBackend(BackendId{5});
  BOOST_TEST(!table.peek(FlowFingerprint{1}, 1s).has_value());
  BOOST_TEST(table.peek(FlowFingerprint{3}, 1s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
