#include "core/outlier/outlier_detector.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "core/outlier/answer_deadlines.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::OutlierDetector;
using core::OutlierReport;
using namespace std::chrono_literals;

constexpr BackendId kSilent{ 7 };
constexpr BackendId kOther{ 8 };

/// A daemon that decides, with one whose answers go well in front of it.
struct DetectorFixture
{
  OutlierDetector Root{ 1 };
  OutlierDetector Follower{ 2 };
  core::Time Now = 100s;

  DetectorFixture()
  {
    for (int i = 0; i < 100; ++i) {
      this->Root.OnAnswered();
      this->Follower.OnAnswered();
    }
  }

  void Report(std::uint64_t reporter, BackendId backend)
  {
    this->Root.Decide({ { { backend, reporter } } }, this->Now);
  }
};

BOOST_FIXTURE_TEST_SUITE(OutlierDetectorTest, DetectorFixture)

// Thirteen of 120 back ends said they were well and left every caller without
// an answer; no daemon saw more than a flow or two of each (cflc-quotes-grown,
// trouble-1).
BOOST_AUTO_TEST_CASE(late_answers_at_two_daemons_make_an_outlier)
{
  this->Follower.OnLate(kSilent);
  const OutlierReport report = this->Follower.TakeReport();
  BOOST_TEST(this->Root.Decide(report, this->Now).empty());
  BOOST_TEST(!this->Root.IsOutlier(kSilent));
  this->Root.OnLate(kSilent);
  const auto found = this->Root.Decide(this->Root.TakeReport(), this->Now);
  BOOST_REQUIRE(found.size() == 1U);
  BOOST_TEST((found[0] == kSilent));
  BOOST_TEST(this->Root.IsOutlier(kSilent));
  BOOST_TEST(!this->Root.IsOutlier(kOther));
  this->Follower.Adopt(this->Root.GetOutliers(), this->Now);
  BOOST_TEST(this->Follower.IsOutlier(kSilent));
}

BOOST_AUTO_TEST_CASE(one_daemon_alone_decides_nothing)
{
  for (int i = 0; i < 10; ++i) {
    this->Report(5, kSilent);
  }
  BOOST_TEST(!this->Root.IsOutlier(kSilent));
}

BOOST_AUTO_TEST_CASE(old_observations_do_not_count)
{
  this->Report(5, kSilent);
  this->Now += core::kOutlierEvidenceWindow + 1ms;
  this->Report(6, kSilent);
  BOOST_TEST(!this->Root.IsOutlier(kSilent));
}

BOOST_AUTO_TEST_CASE(a_verdict_ends_without_new_evidence)
{
  this->Report(5, kSilent);
  this->Report(6, kSilent);
  this->Now += core::kOutlierEjectionTime - 1ms;
  this->Root.Expire(this->Now);
  BOOST_TEST(this->Root.IsOutlier(kSilent));
  this->Now += 1ms;
  this->Root.Expire(this->Now);
  BOOST_TEST(!this->Root.IsOutlier(kSilent));
}

BOOST_AUTO_TEST_CASE(a_list_that_is_not_renewed_ends)
{
  this->Follower.Adopt({ kSilent }, this->Now);
  this->Follower.Expire(this->Now + core::kOutlierEjectionTime);
  BOOST_TEST(!this->Follower.IsOutlier(kSilent));
}

BOOST_AUTO_TEST_CASE(a_list_replaces_the_one_before)
{
  this->Follower.Adopt({ kSilent }, this->Now);
  this->Follower.Adopt({ kOther }, this->Now);
  BOOST_TEST(!this->Follower.IsOutlier(kSilent));
  BOOST_TEST(this->Follower.IsOutlier(kOther));
}

// A daemon on a lossy link sees late answers of all back ends.
BOOST_AUTO_TEST_CASE(a_daemon_to_which_much_is_late_suspects_itself)
{
  OutlierDetector lossy{ 3 };
  for (int i = 0; i < 9; ++i) {
    lossy.OnAnswered();
  }
  for (std::uint64_t id = 1; id <= 20; ++id) {
    lossy.OnLate(BackendId{ id });
  }
  BOOST_TEST(lossy.TakeReport().observations.size() == 3U);
  BOOST_TEST(lossy.GetCounters().Withheld == 17U);
}

BOOST_AUTO_TEST_CASE(what_is_remembered_is_bounded)
{
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    for (int i = 0; i < 10; ++i) {
      this->Follower.OnAnswered();
    }
    this->Follower.OnLate(BackendId{ id });
  }
  BOOST_TEST(this->Follower.TakeReport().observations.size() ==
             core::kMaxObservations);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnswerDeadlinesTest)

BOOST_AUTO_TEST_CASE(answers_fall_due_in_order)
{
  core::AnswerDeadlines deadlines;
  deadlines.Expect(core::FlowFingerprint{ 1 }, 10, 1s);
  deadlines.Expect(core::FlowFingerprint{ 2 }, 20, 2s);
  BOOST_TEST(
    deadlines.TakeDue(1s + core::kLateResponseThreshold - 1ms).empty());
  const auto due = deadlines.TakeDue(1s + core::kLateResponseThreshold);
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST((due[0].Flow == core::FlowFingerprint{ 1 }));
  BOOST_TEST(due[0].DataEnd == 10U);
  deadlines.Clear();
  BOOST_TEST(deadlines.TakeDue(10s).empty());
}

BOOST_AUTO_TEST_CASE(the_queue_is_bounded)
{
  core::AnswerDeadlines deadlines;
  for (std::size_t i = 0; i < 2 * core::kMaxPendingResponses; ++i) {
    deadlines.Expect(core::FlowFingerprint{ i }, 1, 1s);
  }
  BOOST_TEST(deadlines.TakeDue(10s).size() == core::kMaxPendingResponses);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
