#include "core/backend_health.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;
using namespace std::chrono_literals;

constexpr BackendId kBackendA{1};
constexpr BackendId kBackendB{2};
constexpr std::size_t kBackendCount = 10;

struct HealthFixture {
  core::BackendHealth health;
  core::Time now = 100s;
};

BOOST_FIXTURE_TEST_SUITE(BackendHealthTest, HealthFixture)

BOOST_AUTO_TEST_CASE(backend_is_suspected_after_timeout_until_it_responds) {
  health.onOpening(kBackendA, now);
  BOOST_TEST(!health.isSuspected(kBackendA, now + core::kResponseTimeout));
  now += core::kResponseTimeout + 1ms;
  BOOST_TEST(health.isSuspected(kBackendA, now));
  health.onResponse(kBackendA, now);
  BOOST_TEST(!health.isSuspected(kBackendA, now));
}

BOOST_AUTO_TEST_CASE(suspected_backend_has_one_probe_at_a_time) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(kBackendCount, now).size() == 1U);
  BOOST_TEST(health.takeProbes(kBackendCount, now).empty());
  health.onProbe(kBackendA, ProbeResult::kTimedOut, now);
  BOOST_TEST(health.isDead(kBackendA));
  BOOST_TEST(health.takeProbes(kBackendCount, now).empty());
  BOOST_TEST(health.takeProbes(kBackendCount, now + core::kProbeRetryInterval).size() == 1U);
}

// Guards against a request after the response that hides it and lets a live backend appear dead.
BOOST_AUTO_TEST_CASE(response_during_probe_counts_despite_later_requests) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(kBackendCount, now).size() == 1U);
  now += 100ms;
  health.onResponse(kBackendA, now);
  now += 50ms;
  health.onOpening(kBackendA, now);
  now += 170ms;
  BOOST_TEST(!health.onProbe(kBackendA, ProbeResult::kTimedOut, now));
  BOOST_TEST(!health.isDead(kBackendA));
}

BOOST_AUTO_TEST_CASE(probe_started_before_suspension_is_ignored) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(kBackendCount, now).size() == 1U);
  health.onResume();
  health.onOpening(kBackendA, now);
  now += 320ms;
  BOOST_TEST(!health.onProbe(kBackendA, ProbeResult::kTimedOut, now));
}

BOOST_AUTO_TEST_CASE(response_during_probe_overrides_probe_timeout) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  health.takeProbes(kBackendCount, now);
  health.onResponse(kBackendA, now);
  BOOST_TEST(!health.onProbe(kBackendA, ProbeResult::kTimedOut, now));
  BOOST_TEST(!health.isDead(kBackendA));
}

BOOST_AUTO_TEST_CASE(connected_probe_clears_dead_state) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  health.takeProbes(kBackendCount, now);
  BOOST_TEST(health.onProbe(kBackendA, ProbeResult::kTimedOut, now));
  now += core::kProbeRetryInterval;
  health.takeProbes(kBackendCount, now);
  health.onProbe(kBackendA, ProbeResult::kConnected, now);
  BOOST_TEST(!health.isDead(kBackendA));
  BOOST_TEST(!health.isSuspected(kBackendA, now));
}

BOOST_AUTO_TEST_CASE(refused_probe_keeps_backend_suspected) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  health.takeProbes(kBackendCount, now);
  BOOST_TEST(!health.onProbe(kBackendA, ProbeResult::kRefused, now));
  BOOST_TEST(!health.isDead(kBackendA));
  BOOST_TEST(health.isSuspected(kBackendA, now));
}

BOOST_AUTO_TEST_CASE(no_probes_when_most_backends_are_unresponsive) {
  health.onOpening(kBackendA, now);
  health.onOpening(kBackendB, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(3, now).empty());
  BOOST_TEST(health.takeProbes(4, now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(inconclusive_probe_keeps_backend_suspected) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  health.takeProbes(kBackendCount, now);
  BOOST_TEST(!health.onProbe(kBackendA, ProbeResult::kInconclusive, now));
  BOOST_TEST(!health.isDead(kBackendA));
  BOOST_TEST(health.isSuspected(kBackendA, now));
  BOOST_TEST(health.counters().inconclusive == 1U);
}

BOOST_AUTO_TEST_CASE(dead_state_expires_without_confirmation) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  health.takeProbes(kBackendCount, now);
  BOOST_TEST(health.onProbe(kBackendA, ProbeResult::kTimedOut, now));
  const core::Time confirmedAt = now;
  now += core::kProbeRetryInterval;
  health.takeProbes(kBackendCount, now);
  health.onProbe(kBackendA, ProbeResult::kInconclusive, now);
  health.expire(confirmedAt + core::kDeadStateTtl - 1ms);
  BOOST_TEST(health.isDead(kBackendA));
  health.expire(confirmedAt + core::kDeadStateTtl);
  BOOST_TEST(!health.isDead(kBackendA));
  BOOST_TEST(health.isSuspected(kBackendA, confirmedAt + core::kDeadStateTtl));
}

BOOST_AUTO_TEST_CASE(confirmed_dead_state_is_extended) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  health.takeProbes(kBackendCount, now);
  BOOST_TEST(health.onProbe(kBackendA, ProbeResult::kTimedOut, now));
  now += core::kProbeRetryInterval;
  health.takeProbes(kBackendCount, now);
  BOOST_TEST(!health.onProbe(kBackendA, ProbeResult::kTimedOut, now));
  health.expire(now + core::kDeadStateTtl - 1ms);
  BOOST_TEST(health.isDead(kBackendA));
}

BOOST_AUTO_TEST_CASE(resume_clears_dead_state) {
  health.onOpening(kBackendA, now);
  now += 200ms;
  health.takeProbes(kBackendCount, now);
  health.onProbe(kBackendA, ProbeResult::kTimedOut, now);
  health.onResume();
  BOOST_TEST(!health.isDead(kBackendA));
  BOOST_TEST(!health.hasSuspects());
}

BOOST_AUTO_TEST_CASE(resume_clears_unanswered_requests) {
  health.onOpening(kBackendA, now);
  now += 5s;
  health.onResume();
  BOOST_TEST(!health.isSuspected(kBackendA, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
