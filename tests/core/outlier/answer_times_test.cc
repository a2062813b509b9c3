#include "core/outlier/answer_times.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;
using namespace std::chrono_literals;

/// Ten back ends of one service that answer in turn.
struct AnswerTimesFixture
{
  static constexpr std::uint64_t kBackends = 10;

  core::AnswerTimes Times;
  core::ServiceId Service{ 1 };
  core::Time Now = 100s;

  /// The first `slow` back ends take four times as long.
  void Answer(std::uint64_t slow, int rounds)
  {
    for (int round = 0; round < rounds; ++round) {
      for (std::uint64_t id = 1; id <= kBackends; ++id) {
        this->Now += 10ms;
        this->Times.OnAnswer(BackendId{ id },
                             this->Service,
                             id <= slow ? 200ms : 50ms,
                             this->Now);
      }
    }
  }

  double Slowness(std::uint64_t id) const
  {
    return this->Times.GetSlowness(BackendId{ id }, this->Service, this->Now);
  }
};

BOOST_FIXTURE_TEST_SUITE(AnswerTimesTest, AnswerTimesFixture)

BOOST_AUTO_TEST_CASE(back_ends_that_answer_alike_are_not_slow)
{
  this->Answer(0, 20);
  for (std::uint64_t id = 1; id <= kBackends; ++id) {
    BOOST_TEST(this->Slowness(id) == 1.0);
  }
}

BOOST_AUTO_TEST_CASE(a_third_that_is_slow_is_told_from_the_rest)
{
  this->Answer(0, 20);
  this->Answer(3, 10);
  for (std::uint64_t id = 1; id <= kBackends; ++id) {
    BOOST_TEST((this->Slowness(id) > 2.5) == (id <= 3));
  }
}

BOOST_AUTO_TEST_CASE(one_late_answer_makes_no_back_end_slow)
{
  this->Answer(0, 20);
  this->Answer(1, 1);
  this->Answer(0, 2);
  BOOST_TEST(this->Slowness(1) == 1.0);
}

BOOST_AUTO_TEST_CASE(too_few_answers_say_nothing)
{
  this->Answer(0, 20);
  for (std::uint32_t i = 1; i < core::kMinResponsesForMean; ++i) {
    this->Times.OnAnswer(BackendId{ 77 }, this->Service, 1s, this->Now);
    BOOST_TEST(this->Slowness(77) == 1.0);
  }
  this->Times.OnAnswer(BackendId{ 77 }, this->Service, 1s, this->Now);
  BOOST_TEST(this->Slowness(77) == core::kMaxLatencyRatio);
}

BOOST_AUTO_TEST_CASE(a_back_end_that_got_nothing_more_is_tried_again)
{
  this->Answer(0, 20);
  this->Answer(1, 10);
  BOOST_TEST(this->Slowness(1) > 2.5);
  this->Now += core::kResponseTimeTtl + 1s;
  BOOST_TEST(this->Slowness(1) == 1.0);
  this->Times.Expire(this->Now);
  BOOST_TEST(this->Slowness(1) == 1.0);
}

BOOST_AUTO_TEST_CASE(services_are_not_compared_with_each_other)
{
  this->Answer(0, 20);
  for (int i = 0; i < 10; ++i) {
    this->Times.OnAnswer(
      BackendId{ 50 }, core::ServiceId{ 2 }, 900ms, this->Now);
  }
  BOOST_TEST(this->Times.GetSlowness(
               BackendId{ 50 }, core::ServiceId{ 2 }, this->Now) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
