#include "core/relay/peer_clocks.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

struct PeerClocksFixture
{
  static constexpr core::Duration kAhead = 1000s;

  core::PeerClocks Clocks;
  core::Endpoint Peer = endpoint(9, 1, 7720);

  static std::uint64_t ToUs(core::Time time)
  {
    return static_cast<std::uint64_t>(time.count());
  }

  /// A response to a request sent at `requestedAt`, written at `writtenAt`,
  /// with a view that was confirmed at `confirmed`, all on the local clock.
  core::ViewUpdate MakeUpdate(core::Time requestedAt,
                              core::Time writtenAt,
                              core::Time confirmed) const
  {
    core::ViewUpdate update;
    update.sender = this->Peer;
    update.echoUs = ToUs(requestedAt);
    update.clockUs = ToUs(writtenAt + kAhead);
    update.confirmedUs = ToUs(confirmed + kAhead);
    return update;
  }
};

BOOST_FIXTURE_TEST_SUITE(PeerClocksTest, PeerClocksFixture)

BOOST_AUTO_TEST_CASE(delay_makes_a_view_look_older_only)
{
  const core::ViewUpdate update = this->MakeUpdate(100s, 100s + 300ms, 99s);
  this->Clocks.RecordOffset(update, 100s + 400ms);
  const auto confirmed = this->Clocks.GetConfirmedAt(update, 100s + 400ms);
  BOOST_REQUIRE(confirmed.has_value());
  BOOST_TEST((*confirmed == 99s - 300ms));
}

BOOST_AUTO_TEST_CASE(peer_without_response_has_unknown_clock)
{
  core::ViewUpdate push = this->MakeUpdate(100s, 100s, 99s);
  push.echoUs = 0;
  this->Clocks.RecordOffset(push, 100s);
  BOOST_TEST(!this->Clocks.GetConfirmedAt(push, 100s).has_value());
}

BOOST_AUTO_TEST_CASE(late_response_is_ignored)
{
  const core::ViewUpdate late = this->MakeUpdate(100s, 100s, 99s);
  const core::Time now = 100s + core::kSubscriptionLease + 1ms;
  this->Clocks.RecordOffset(late, now);
  BOOST_TEST(!this->Clocks.GetConfirmedAt(late, now).has_value());
}

BOOST_AUTO_TEST_CASE(confirmation_is_never_in_the_future)
{
  const core::ViewUpdate update = this->MakeUpdate(100s, 100s, 300s);
  this->Clocks.RecordOffset(update, 101s);
  BOOST_TEST((*this->Clocks.GetConfirmedAt(update, 101s) == 101s));
}

BOOST_AUTO_TEST_CASE(clock_offset_is_removed_with_its_peer_and_on_expiry)
{
  const core::ViewUpdate update = this->MakeUpdate(100s, 100s, 99s);
  this->Clocks.RecordOffset(update, 100s);
  this->Clocks.Expire(100s + core::kClockOffsetTtl);
  BOOST_TEST(this->Clocks.GetConfirmedAt(update, 100s).has_value());
  this->Clocks.Expire(100s + core::kClockOffsetTtl + 1ms);
  BOOST_TEST(!this->Clocks.GetConfirmedAt(update, 100s).has_value());
  this->Clocks.RecordOffset(update, 100s);
  this->Clocks.Remove(this->Peer);
  BOOST_TEST(!this->Clocks.GetConfirmedAt(update, 100s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
