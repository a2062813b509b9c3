#include "core/outlier/response_time_tracker.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using namespace std::chrono_literals;

/// Ten backends of one service that respond in turn.
struct ResponseTimeTrackerFixture
{
  static constexpr std::uint64_t kBackends = 10;

  core::ResponseTimeTracker Tracker;
  core::ServiceId Service{ 1 };
  core::Time Now = 100s;

  /// Record responses; the first `slow` backends take four times as long.
  void RecordResponses(std::uint64_t slow, int rounds)
  {
    for (int round = 0; round < rounds; ++round) {
      for (std::uint64_t id = 1; id <= kBackends; ++id) {
        this->Now += 10ms;
        this->Tracker.OnResponse(BackendId{ id },
                                 this->Service,
                                 id <= slow ? 200ms : 50ms,
                                 this->Now);
      }
    }
  }

  double GetSlowdown(std::uint64_t id) const
  {
    return this->Tracker.GetSlowdown(
      BackendId{ id }, this->Service, this->Now);
  }
};

BOOST_FIXTURE_TEST_SUITE(ResponseTimeTrackerTest, ResponseTimeTrackerFixture)

BOOST_AUTO_TEST_CASE(equally_fast_backends_are_not_slow)
{
  this->RecordResponses(0, 20);
  for (std::uint64_t id = 1; id <= kBackends; ++id) {
    BOOST_TEST(this->GetSlowdown(id) == 1.0);
  }
}

BOOST_AUTO_TEST_CASE(slow_third_of_backends_is_detected)
{
  this->RecordResponses(0, 20);
  this->RecordResponses(3, 10);
  for (std::uint64_t id = 1; id <= kBackends; ++id) {
    BOOST_TEST((this->GetSlowdown(id) > 2.5) == (id <= 3));
  }
}

BOOST_AUTO_TEST_CASE(single_slow_response_is_ignored)
{
  this->RecordResponses(0, 20);
  this->RecordResponses(1, 1);
  this->RecordResponses(0, 2);
  BOOST_TEST(this->GetSlowdown(1) == 1.0);
}

BOOST_AUTO_TEST_CASE(slowdown_requires_minimum_responses)
{
  this->RecordResponses(0, 20);
  for (std::uint32_t i = 1; i < core::kMinResponsesForMean; ++i) {
    this->Tracker.OnResponse(BackendId{ 77 }, this->Service, 1s, this->Now);
    BOOST_TEST(this->GetSlowdown(77) == 1.0);
  }
  this->Tracker.OnResponse(BackendId{ 77 }, this->Service, 1s, this->Now);
  BOOST_TEST(this->GetSlowdown(77) == core::kMaxLatencyRatio);
}

BOOST_AUTO_TEST_CASE(slowdown_expires_without_responses)
{
  this->RecordResponses(0, 20);
  this->RecordResponses(1, 10);
  BOOST_TEST(this->GetSlowdown(1) > 2.5);
  this->Now += core::kResponseTimeTtl + 1s;
  BOOST_TEST(this->GetSlowdown(1) == 1.0);
  this->Tracker.Expire(this->Now);
  BOOST_TEST(this->GetSlowdown(1) == 1.0);
}

BOOST_AUTO_TEST_CASE(services_have_separate_medians)
{
  this->RecordResponses(0, 20);
  for (int i = 0; i < 10; ++i) {
    this->Tracker.OnResponse(
      BackendId{ 50 }, core::ServiceId{ 2 }, 900ms, this->Now);
  }
  BOOST_TEST(this->Tracker.GetSlowdown(
               BackendId{ 50 }, core::ServiceId{ 2 }, this->Now) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
