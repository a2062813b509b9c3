#include "core/outlier/outlier_detector.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "core/outlier/response_deadlines.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using core::OutlierDetector;
using core::OutlierReport;
using namespace std::chrono_literals;

constexpr BackendId kUnresponsive{ 7 };
constexpr BackendId kOther{ 8 };

/// A daemon that detects outliers and one that reports to it, both with many
/// responses in time.
struct DetectorFixture
{
  OutlierDetector Authority{ 1 };
  OutlierDetector Follower{ 2 };
  core::Time Now = 100s;

  DetectorFixture()
  {
    for (int i = 0; i < 100; ++i) {
      this->Authority.OnResponse();
      this->Follower.OnResponse();
    }
  }

  void Report(std::uint64_t reporter, BackendId backend)
  {
    this->Authority.ProcessReport({ { { backend, reporter } } }, this->Now);
  }
};

BOOST_FIXTURE_TEST_SUITE(OutlierDetectorTest, DetectorFixture)

// Unresponsive backends must be detected even if each daemon sees only one or
// two of their flows.
BOOST_AUTO_TEST_CASE(late_responses_at_two_daemons_make_an_outlier)
{
  this->Follower.OnLateResponse(kUnresponsive);
  const OutlierReport report = this->Follower.TakeReport();
  BOOST_TEST(this->Authority.ProcessReport(report, this->Now).empty());
  BOOST_TEST(!this->Authority.IsOutlier(kUnresponsive));
  this->Authority.OnLateResponse(kUnresponsive);
  const auto detected =
    this->Authority.ProcessReport(this->Authority.TakeReport(), this->Now);
  BOOST_REQUIRE(detected.size() == 1U);
  BOOST_TEST((detected[0] == kUnresponsive));
  BOOST_TEST(this->Authority.IsOutlier(kUnresponsive));
  BOOST_TEST(!this->Authority.IsOutlier(kOther));
  this->Follower.SetOutliers(this->Authority.GetOutliers(), this->Now);
  BOOST_TEST(this->Follower.IsOutlier(kUnresponsive));
}

BOOST_AUTO_TEST_CASE(reports_of_one_daemon_are_not_enough)
{
  for (int i = 0; i < 10; ++i) {
    this->Report(5, kUnresponsive);
  }
  BOOST_TEST(!this->Authority.IsOutlier(kUnresponsive));
}

BOOST_AUTO_TEST_CASE(expired_observations_are_ignored)
{
  this->Report(5, kUnresponsive);
  this->Now += core::kOutlierEvidenceWindow + 1ms;
  this->Report(6, kUnresponsive);
  BOOST_TEST(!this->Authority.IsOutlier(kUnresponsive));
}

BOOST_AUTO_TEST_CASE(outlier_state_expires_without_new_reports)
{
  this->Report(5, kUnresponsive);
  this->Report(6, kUnresponsive);
  this->Now += core::kOutlierEjectionTime - 1ms;
  this->Authority.Expire(this->Now);
  BOOST_TEST(this->Authority.IsOutlier(kUnresponsive));
  this->Now += 1ms;
  this->Authority.Expire(this->Now);
  BOOST_TEST(!this->Authority.IsOutlier(kUnresponsive));
}

BOOST_AUTO_TEST_CASE(received_outlier_list_expires)
{
  this->Follower.SetOutliers({ kUnresponsive }, this->Now);
  this->Follower.Expire(this->Now + core::kOutlierEjectionTime);
  BOOST_TEST(!this->Follower.IsOutlier(kUnresponsive));
}

BOOST_AUTO_TEST_CASE(received_outlier_list_replaces_the_previous_one)
{
  this->Follower.SetOutliers({ kUnresponsive }, this->Now);
  this->Follower.SetOutliers({ kOther }, this->Now);
  BOOST_TEST(!this->Follower.IsOutlier(kUnresponsive));
  BOOST_TEST(this->Follower.IsOutlier(kOther));
}

// A daemon on a lossy link sees late responses of all backends.
BOOST_AUTO_TEST_CASE(daemon_with_mostly_late_responses_withholds_reports)
{
  OutlierDetector lossy{ 3 };
  for (int i = 0; i < 9; ++i) {
    lossy.OnResponse();
  }
  for (std::uint64_t id = 1; id <= 20; ++id) {
    lossy.OnLateResponse(BackendId{ id });
  }
  BOOST_TEST(lossy.TakeReport().observations.size() == 3U);
  BOOST_TEST(lossy.GetCounters().Withheld == 17U);
}

BOOST_AUTO_TEST_CASE(pending_observations_are_bounded)
{
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    for (int i = 0; i < 10; ++i) {
      this->Follower.OnResponse();
    }
    this->Follower.OnLateResponse(BackendId{ id });
  }
  BOOST_TEST(this->Follower.TakeReport().observations.size() ==
             core::kMaxObservations);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ResponseDeadlinesTest)

BOOST_AUTO_TEST_CASE(responses_become_due_in_order)
{
  core::ResponseDeadlines deadlines;
  deadlines.Add(core::FlowFingerprint{ 1 }, 10, 1s);
  deadlines.Add(core::FlowFingerprint{ 2 }, 20, 2s);
  BOOST_TEST(
    deadlines.TakeDue(1s + core::kLateResponseThreshold - 1ms).empty());
  const auto due = deadlines.TakeDue(1s + core::kLateResponseThreshold);
  BOOST_REQUIRE(due.size() == 1U);
  BOOST_TEST((due[0].Flow == core::FlowFingerprint{ 1 }));
  BOOST_TEST(due[0].DataEnd == 10U);
  deadlines.Clear();
  BOOST_TEST(deadlines.TakeDue(10s).empty());
}

BOOST_AUTO_TEST_CASE(queue_is_bounded)
{
  core::ResponseDeadlines deadlines;
  for (std::size_t i = 0; i < 2 * core::kMaxPendingResponses; ++i) {
    deadlines.Add(core::FlowFingerprint{ i }, 1, 1s);
  }
  BOOST_TEST(deadlines.TakeDue(10s).size() == core::kMaxPendingResponses);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
