#include "core/relay/seed_group.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

/// A daemon that knows two seeds, and what the first of them answers.
struct SeedGroupFixture
{
  core::Endpoint First = endpoint(9, 1, 7720);
  core::Endpoint Second = endpoint(9, 2, 7720);
  core::SeedGroup Seeds{ endpoint(9, 8, 7720) };
  core::RelayTiming Timing;
  core::Time Now = 100s;

  SeedGroupFixture()
  {
    this->Seeds.Set({ this->First, this->Second });
    this->Seeds.OnTick(this->Now);
  }

  core::ViewUpdate AnswerAged(core::Duration age) const
  {
    core::ViewUpdate update;
    update.sender = this->First;
    update.echoUs = 1;
    update.clockUs = 5'000'000'000;
    update.confirmedUs =
      update.clockUs - static_cast<std::uint64_t>(age.count());
    return update;
  }
};

BOOST_FIXTURE_TEST_SUITE(SeedGroupTest, SeedGroupFixture)

BOOST_AUTO_TEST_CASE(seeds_are_asked_in_turn)
{
  const core::Endpoint first = this->Seeds.GetNext();
  const core::Endpoint second = this->Seeds.GetNext();
  BOOST_TEST((first != second));
  BOOST_TEST((this->Seeds.GetNext() == first));
}

BOOST_AUTO_TEST_CASE(a_seed_does_not_ask_itself_and_is_not_covered)
{
  core::SeedGroup own(this->First);
  own.Set({ this->First, this->Second });
  own.OnTick(this->Now);
  BOOST_TEST(own.IsSelfSeed());
  BOOST_TEST((own.GetNext() == this->Second));
  BOOST_TEST(!own.Contains(this->First));
  BOOST_TEST(!own.IsCovered(this->Now));
}

BOOST_AUTO_TEST_CASE(seeds_count_until_they_have_been_silent)
{
  BOOST_TEST(this->Seeds.IsCovered(this->Now));
  this->Now += core::kSeedLivenessWindow;
  this->Seeds.OnTick(this->Now);
  BOOST_TEST(!this->Seeds.IsCovered(this->Now));
  this->Seeds.OnUpdate(this->AnswerAged(0s), this->Timing, this->Now);
  BOOST_TEST(this->Seeds.IsCovered(this->Now));
}

BOOST_AUTO_TEST_CASE(an_old_view_shows_that_a_seed_reads_in_vain)
{
  const core::Duration limit =
    this->Timing.SeedReadsAfter + core::kSeedReadAttemptWindow;
  this->Seeds.OnUpdate(this->AnswerAged(limit - 1ms), this->Timing, this->Now);
  BOOST_TEST(!this->Seeds.HasFailed(this->Now));
  this->Seeds.OnUpdate(this->AnswerAged(limit), this->Timing, this->Now);
  BOOST_TEST(this->Seeds.HasFailed(this->Now));
  // It is believed for a while, and until a seed is served again.
  BOOST_TEST(!this->Seeds.HasFailed(this->Now + core::kSeedLivenessWindow));
  this->Seeds.OnUpdate(this->AnswerAged(10ms), this->Timing, this->Now);
  BOOST_TEST(!this->Seeds.HasFailed(this->Now));
}

BOOST_AUTO_TEST_CASE(what_says_nothing_of_the_store_shows_no_failure)
{
  core::ViewUpdate pushed = this->AnswerAged(10s);
  pushed.echoUs = 0;
  core::ViewUpdate part = this->AnswerAged(10s);
  part.confirmedUs = 0;
  core::ViewUpdate stranger = this->AnswerAged(10s);
  stranger.sender = endpoint(9, 30, 7720);
  for (const core::ViewUpdate& update : { pushed, part, stranger }) {
    this->Seeds.OnUpdate(update, this->Timing, this->Now);
    BOOST_TEST(!this->Seeds.HasFailed(this->Now));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
