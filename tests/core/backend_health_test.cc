#include "core/backend_health.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::ProbeResult;
using namespace std::chrono_literals;

constexpr BackendId kFirst{1};
constexpr BackendId kSecond{2};
constexpr std::size_t kKnown = 10;

struct HealthFixture {
  core::BackendHealth health;
  core::Time now = 100s;
};

BOOST_FIXTURE_TEST_SUITE(BackendHealthTest, HealthFixture)

BOOST_AUTO_TEST_CASE(silence_is_suspected_after_patience_and_an_answer_clears_it) {
  health.onOpening(kFirst, now);
  BOOST_TEST(!health.isSuspected(kFirst, now + core::kAnswerPatience));
  now += core::kAnswerPatience + 1ms;
  BOOST_TEST(health.isSuspected(kFirst, now));
  health.onAnswer(kFirst, now);
  BOOST_TEST(!health.isSuspected(kFirst, now));
}

BOOST_AUTO_TEST_CASE(a_suspect_is_probed_once_at_a_time) {
  health.onOpening(kFirst, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(kKnown, now).size() == 1U);
  BOOST_TEST(health.takeProbes(kKnown, now).empty());
  health.onProbe(kFirst, ProbeResult::kTimedOut, now);
  BOOST_TEST(health.isDead(kFirst));
  BOOST_TEST(health.takeProbes(kKnown, now).empty());
  BOOST_TEST(health.takeProbes(kKnown, now + core::kProbeAgainAfter).size() == 1U);
}

// Something asked after the answer hid it, and a living back end's flows were given up.
BOOST_AUTO_TEST_CASE(an_answer_during_the_probe_counts_though_more_was_asked_since) {
  health.onOpening(kFirst, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(kKnown, now).size() == 1U);
  now += 100ms;
  health.onAnswer(kFirst, now);
  now += 50ms;
  health.onOpening(kFirst, now);
  now += 170ms;
  BOOST_TEST(!health.onProbe(kFirst, ProbeResult::kTimedOut, now));
  BOOST_TEST(!health.isDead(kFirst));
}

BOOST_AUTO_TEST_CASE(a_probe_from_before_a_suspension_proves_nothing) {
  health.onOpening(kFirst, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(kKnown, now).size() == 1U);
  health.onResume();
  health.onOpening(kFirst, now);
  now += 320ms;
  BOOST_TEST(!health.onProbe(kFirst, ProbeResult::kTimedOut, now));
}

BOOST_AUTO_TEST_CASE(an_answer_during_the_probe_outweighs_its_failure) {
  health.onOpening(kFirst, now);
  now += 200ms;
  health.takeProbes(kKnown, now);
  health.onAnswer(kFirst, now);
  BOOST_TEST(!health.onProbe(kFirst, ProbeResult::kTimedOut, now));
  BOOST_TEST(!health.isDead(kFirst));
}

BOOST_AUTO_TEST_CASE(a_dead_back_end_lives_again_when_a_probe_connects) {
  health.onOpening(kFirst, now);
  now += 200ms;
  health.takeProbes(kKnown, now);
  BOOST_TEST(health.onProbe(kFirst, ProbeResult::kTimedOut, now));
  now += core::kProbeAgainAfter;
  health.takeProbes(kKnown, now);
  health.onProbe(kFirst, ProbeResult::kConnected, now);
  BOOST_TEST(!health.isDead(kFirst));
  BOOST_TEST(!health.isSuspected(kFirst, now));
}

BOOST_AUTO_TEST_CASE(a_refused_probe_leaves_it_suspected_and_no_more) {
  health.onOpening(kFirst, now);
  now += 200ms;
  health.takeProbes(kKnown, now);
  BOOST_TEST(!health.onProbe(kFirst, ProbeResult::kRefused, now));
  BOOST_TEST(!health.isDead(kFirst));
  BOOST_TEST(health.isSuspected(kFirst, now));
}

BOOST_AUTO_TEST_CASE(no_probe_is_made_where_most_back_ends_are_silent) {
  health.onOpening(kFirst, now);
  health.onOpening(kSecond, now);
  now += 200ms;
  BOOST_TEST(health.takeProbes(3, now).empty());
  BOOST_TEST(health.takeProbes(4, now).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_probe_that_proves_nothing_leaves_it_suspected_and_no_more) {
  health.onOpening(kFirst, now);
  now += 200ms;
  health.takeProbes(kKnown, now);
  BOOST_TEST(!health.onProbe(kFirst, ProbeResult::kInconclusive, now));
  BOOST_TEST(!health.isDead(kFirst));
  BOOST_TEST(health.isSuspected(kFirst, now));
  BOOST_TEST(health.counters().unproven == 1U);
}

BOOST_AUTO_TEST_CASE(a_death_that_is_not_proven_again_lapses) {
  health.onOpening(kFirst, now);
  now += 200ms;
  health.takeProbes(kKnown, now);
  BOOST_TEST(health.onProbe(kFirst, ProbeResult::kTimedOut, now));
  const core::Time proven = now;
  now += core::kProbeAgainAfter;
  health.takeProbes(kKnown, now);
  health.onProbe(kFirst, ProbeResult::kInconclusive, now);
  health.expire(proven + core::kDeathHolds - 1ms);
  BOOST_TEST(health.isDead(kFirst));
  health.expire(proven + core::kDeathHolds);
  BOOST_TEST(!health.isDead(kFirst));
  BOOST_TEST(health.isSuspected(kFirst, proven + core::kDeathHolds));
}

BOOST_AUTO_TEST_CASE(a_death_that_is_proven_again_holds) {
  health.onOpening(kFirst, now);
  now += 200ms;
  health.takeProbes(kKnown, now);
  BOOST_TEST(health.onProbe(kFirst, ProbeResult::kTimedOut, now));
  now += core::kProbeAgainAfter;
  health.takeProbes(kKnown, now);
  BOOST_TEST(!health.onProbe(kFirst, ProbeResult::kTimedOut, now));
  health.expire(now + core::kDeathHolds - 1ms);
  BOOST_TEST(health.isDead(kFirst));
}

BOOST_AUTO_TEST_CASE(who_was_dead_before_a_suspension_is_not_after_it) {
  health.onOpening(kFirst, now);
  now += 200ms;
  health.takeProbes(kKnown, now);
  health.onProbe(kFirst, ProbeResult::kTimedOut, now);
  health.onResume();
  BOOST_TEST(!health.isDead(kFirst));
  BOOST_TEST(!health.hasSuspects());
}

BOOST_AUTO_TEST_CASE(what_was_unanswered_before_a_suspension_means_nothing) {
  health.onOpening(kFirst, now);
  now += 5s;
  health.onResume();
  BOOST_TEST(!health.isSuspected(kFirst, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
