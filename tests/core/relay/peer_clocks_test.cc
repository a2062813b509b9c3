#include "core/relay/peer_clocks.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

/// A peer whose clock is 1,000 s ahead.
struct PeerClocksFixture
{
  static constexpr core::Duration kAhead = 1000s;

  core::PeerClocks Clocks;
  core::Endpoint Peer = endpoint(9, 1, 7720);

  static std::uint64_t ToUs(core::Time time)
  {
    return static_cast<std::uint64_t>(time.count());
  }

  /// An answer to what was asked at `asked`, written at `written` and telling
  /// of a view that was confirmed at `confirmed`, all on this daemon's clock.
  core::ViewUpdate Answer(core::Time asked,
                          core::Time written,
                          core::Time confirmed) const
  {
    core::ViewUpdate update;
    update.sender = this->Peer;
    update.echoUs = ToUs(asked);
    update.clockUs = ToUs(written + kAhead);
    update.confirmedUs = ToUs(confirmed + kAhead);
    return update;
  }
};

BOOST_FIXTURE_TEST_SUITE(PeerClocksTest, PeerClocksFixture)

BOOST_AUTO_TEST_CASE(a_view_looks_older_by_a_delay_and_never_younger)
{
  const core::ViewUpdate update = this->Answer(100s, 100s + 300ms, 99s);
  this->Clocks.Note(update, 100s + 400ms);
  const auto confirmed = this->Clocks.GetConfirmation(update, 100s + 400ms);
  BOOST_REQUIRE(confirmed.has_value());
  BOOST_TEST((*confirmed == 99s - 300ms));
}

BOOST_AUTO_TEST_CASE(a_peer_that_never_answered_has_no_clock)
{
  core::ViewUpdate push = this->Answer(100s, 100s, 99s);
  push.echoUs = 0;
  this->Clocks.Note(push, 100s);
  BOOST_TEST(!this->Clocks.GetConfirmation(push, 100s).has_value());
}

BOOST_AUTO_TEST_CASE(an_answer_that_took_too_long_tells_nothing)
{
  const core::ViewUpdate late = this->Answer(100s, 100s, 99s);
  const core::Time now = 100s + core::kSubscriptionLease + 1ms;
  this->Clocks.Note(late, now);
  BOOST_TEST(!this->Clocks.GetConfirmation(late, now).has_value());
}

BOOST_AUTO_TEST_CASE(nothing_is_confirmed_in_the_future)
{
  const core::ViewUpdate update = this->Answer(100s, 100s, 300s);
  this->Clocks.Note(update, 101s);
  BOOST_TEST((*this->Clocks.GetConfirmation(update, 101s) == 101s));
}

BOOST_AUTO_TEST_CASE(a_clock_is_forgotten_with_its_peer_and_in_time)
{
  const core::ViewUpdate update = this->Answer(100s, 100s, 99s);
  this->Clocks.Note(update, 100s);
  this->Clocks.Expire(100s + core::kClockOffsetTtl);
  BOOST_TEST(this->Clocks.GetConfirmation(update, 100s).has_value());
  this->Clocks.Expire(100s + core::kClockOffsetTtl + 1ms);
  BOOST_TEST(!this->Clocks.GetConfirmation(update, 100s).has_value());
  this->Clocks.Note(update, 100s);
  this->Clocks.Forget(this->Peer);
  BOOST_TEST(!this->Clocks.GetConfirmation(update, 100s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
