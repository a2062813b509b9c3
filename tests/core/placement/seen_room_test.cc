/// Room of zones as a daemon's own openings show it.
#include "core/placement/seen_room.h"

#include <boost/test/unit_test.hpp>

#include "core/placement/placement_limits.h"
#include "core/placement/waiting.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;
using core::OpeningOutcome;

struct SeenFixture
{
  static constexpr core::ServiceId kService{ 7 };
  static constexpr core::ZoneId kOwn{ 1 };
  static constexpr core::ZoneId kOther{ 2 };
  core::SeenRoom Room;
  core::Time Now = 100s;

  /// Ends forty openings a second.
  void End(core::ZoneId zone,
           int count,
           core::Duration took,
           OpeningOutcome outcome = OpeningOutcome::kServed)
  {
    for (int opening = 0; opening < count; ++opening) {
      this->Now += 25ms;
      this->Room.OnOpeningEnded(
        { core::BackendId{ 1 }, kService, zone, 0, outcome, took }, this->Now);
    }
  }
  double DemandOf(core::ZoneId zone) const
  {
    return core::GetDemand(*this->Room.GetRoom(kService, zone, this->Now));
  }
};

BOOST_FIXTURE_TEST_SUITE(SeenRoomSuite, SeenFixture)

BOOST_AUTO_TEST_CASE(NothingIsKnownOfAServiceWithoutOpenings)
{
  BOOST_TEST(!this->Room.GetRoom(kService, kOwn, this->Now).has_value());
}

BOOST_AUTO_TEST_CASE(UsualAnswersShowRoom)
{
  this->End(kOwn, 80, 40ms);
  BOOST_TEST(this->DemandOf(kOwn) == 0);
  // Nothing is known of the other zone, and of an own one after a while.
  BOOST_TEST(this->DemandOf(kOther) == core::kUntriedUse,
             boost::test_tools::tolerance(1e-9));
  this->Now += 2s;
  BOOST_TEST(this->DemandOf(kOwn) == core::kUntriedUse,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(LongAnswersAndRejectionsShowThatThereIsNone)
{
  this->End(kOwn, 80, 40ms);
  this->End(kOwn, 16, 120ms);
  BOOST_TEST(this->DemandOf(kOwn) > 0.65);
  this->End(kOwn, 16, 5ms, OpeningOutcome::kTurnedAway);
  BOOST_TEST(this->DemandOf(kOwn) > 1.0);
  this->End(kOwn, 60, 40ms);
  BOOST_TEST(this->DemandOf(kOwn) == 0);
}

// With few served their times tell nothing, and the zone looked empty.
BOOST_AUTO_TEST_CASE(AZoneThatRejectsMostIsNotEmpty)
{
  this->End(kOwn, 80, 40ms);
  this->Now += 3s;
  this->End(kOwn, 2, 40ms);
  this->End(kOwn, 8, 5ms, OpeningOutcome::kTurnedAway);
  BOOST_TEST(this->DemandOf(kOwn) > 1.0);
}

BOOST_AUTO_TEST_CASE(ABurstDoesNotMakeLongAnswersUsual)
{
  this->End(kOwn, 80, 40ms);
  this->End(kOwn, 400, 120ms);
  BOOST_TEST(this->DemandOf(kOwn) > 0.6);
}

BOOST_AUTO_TEST_CASE(SilenceIsNotWantOfRoom)
{
  this->End(kOwn, 80, 40ms);
  this->End(kOwn, 16, 1000ms, OpeningOutcome::kSilent);
  BOOST_TEST(this->DemandOf(kOwn) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
