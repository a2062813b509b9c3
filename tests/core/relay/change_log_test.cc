#include "core/relay/change_log.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

core::StoreChange Removal(core::Revision revision)
{
  return { "servers/" + toString(revision), revision, core::RemovedItem{} };
}

/// A log of one change for each revision from 11 to `last`.
core::ChangeLog MakeLog(core::Revision last)
{
  core::ChangeLog log;
  log.Close(10);
  for (core::Revision revision = 11; revision <= last; ++revision) {
    log.Append(Removal(revision));
    log.Close(revision);
  }
  return log;
}

BOOST_AUTO_TEST_SUITE(ChangeLogTest)

BOOST_AUTO_TEST_CASE(knows_nothing_before_the_first_view)
{
  const core::ChangeLog log;
  BOOST_TEST(!log.Since(0).has_value());
}

BOOST_AUTO_TEST_CASE(the_first_view_is_the_base)
{
  core::ChangeLog log;
  log.Append(Removal(9));
  log.Close(10);
  BOOST_TEST(!log.Since(9).has_value());
  BOOST_REQUIRE(log.Since(10).has_value());
  BOOST_TEST(log.Since(10)->Changes.empty());
}

BOOST_AUTO_TEST_CASE(gives_what_is_newer)
{
  const core::ChangeLog log = MakeLog(13);
  BOOST_REQUIRE(log.Since(11).has_value());
  BOOST_TEST(log.Since(11)->Changes.size() == 2U);
  BOOST_TEST(log.Since(13)->Changes.empty());
  BOOST_TEST(log.Since(99)->Changes.empty());
}

// A listing's pages arrive one after the other; only its end is a revision.
BOOST_AUTO_TEST_CASE(a_batch_that_is_not_closed_is_not_given)
{
  core::ChangeLog log = MakeLog(11);
  log.Append(Removal(14));
  log.Close(11);
  BOOST_TEST(log.Since(11)->Changes.empty());
  log.Close(15);
  BOOST_TEST(log.Since(11)->Changes.size() == 1U);
  BOOST_TEST(log.Since(14)->Changes.size() == 1U);
}

// Ten thousand routes to thirty followers would fill a small machine's link.
BOOST_AUTO_TEST_CASE(a_heavy_change_is_left_out)
{
  core::ChangeLog log = MakeLog(12);
  core::RouteDelta delta;
  delta.dropped.resize(core::kMaxBatchItems);
  log.Append({ "op/config", 13, delta });
  log.Close(13);
  BOOST_TEST(!log.Since(12).has_value());
  BOOST_TEST(log.GetBase() == 13U);
  log.Append(Removal(14));
  log.Close(14);
  BOOST_TEST(log.Since(13)->Changes.size() == 1U);
}

// 295 daemons read the store for each batch of back ends that came back after
// an outage, 1,528 times on a day (cflc-quotes-large trouble-3).
BOOST_AUTO_TEST_CASE(a_heavy_batch_is_given_in_parts)
{
  constexpr core::Revision kLast = 10 + 3 * core::kMaxBatchItems;
  core::ChangeLog log;
  log.Close(10);
  // The store answers by key, not by revision.
  for (core::Revision revision = kLast; revision > 10;
       revision = revision - 1) {
    log.Append(Removal(revision));
  }
  log.Close(kLast + 5);
  core::Revision have = 10;
  std::size_t parts = 0;
  std::size_t changes = 0;
  for (; have < kLast + 5; ++parts) {
    const auto excerpt = log.Since(have);
    BOOST_REQUIRE(excerpt.has_value());
    BOOST_REQUIRE(excerpt->Reached > have);
    BOOST_TEST(excerpt->Changes.size() <= core::kMaxBatchItems);
    for (const core::StoreChange& change : excerpt->Changes) {
      BOOST_TEST(change.revision > have);
      BOOST_TEST(change.revision <= excerpt->Reached);
    }
    changes += excerpt->Changes.size();
    have = excerpt->Reached;
  }
  BOOST_TEST(have == kLast + 5);
  BOOST_TEST(parts == 3U);
  BOOST_TEST(changes == 3 * core::kMaxBatchItems);
}

BOOST_AUTO_TEST_CASE(changes_of_one_revision_stay_together)
{
  core::ChangeLog log;
  log.Close(10);
  for (std::size_t i = 0; i <= core::kMaxBatchItems; ++i) {
    log.Append({ "servers/" + std::to_string(i), 12, core::RemovedItem{} });
  }
  log.Append(Removal(13));
  log.Close(13);
  const auto excerpt = log.Since(10);
  BOOST_REQUIRE(excerpt.has_value());
  BOOST_TEST(excerpt->Changes.size() == core::kMaxBatchItems + 1);
  BOOST_TEST(excerpt->Reached == 12U);
}

// A listing does not say when an item vanished: a part of it, taken for
// complete up to some revision, would hide that for good.
BOOST_AUTO_TEST_CASE(a_heavy_listing_is_left_out)
{
  core::ChangeLog log = MakeLog(12);
  for (std::size_t i = 0; i <= core::kMaxBatchItems; ++i) {
    log.Append(Removal(13 + i));
  }
  log.MarkIndivisible();
  const core::Revision listed = 13 + core::kMaxBatchItems;
  log.Close(listed);
  BOOST_TEST(!log.Since(12).has_value());
  BOOST_TEST(log.GetBase() == listed);
}

BOOST_AUTO_TEST_CASE(is_bounded)
{
  const core::ChangeLog log = MakeLog(10 + 2 * core::kMaxLogItems);
  BOOST_TEST(log.GetBase() >=
             10 + 2 * core::kMaxLogItems - core::kMaxLogBatches);
  BOOST_TEST(!log.Since(log.GetBase() - 1).has_value());
  BOOST_TEST(log.Since(log.GetBase())->Changes.size() <= core::kMaxLogBatches);
}

// Seen: a back end that had announced its end got flows from followers 3.0 s
// later.  The daemon that read the store had just started: a later page of its
// first listing showed the end, newer than the first page, from which the log
// began.  The watch from there showed it again, and nothing had changed.
BOOST_AUTO_TEST_CASE(a_first_listing_that_shows_more_than_its_place_is_no_base)
{
  core::ChangeLog log;
  log.Append(Removal(40));
  log.Append(Removal(60));
  log.Begin(58);
  log.Close(61);
  BOOST_TEST(!log.Since(58).has_value());
  BOOST_TEST(!log.Since(59).has_value());
  BOOST_REQUIRE(log.Since(60).has_value());
  BOOST_TEST(log.Since(60)->Changes.empty());
}

BOOST_AUTO_TEST_CASE(
  what_a_later_listing_shows_beyond_its_place_is_told_from_there)
{
  core::ChangeLog log;
  log.Close(50);
  log.MarkIndivisible();
  log.Append(Removal(55));
  log.Append(Removal(60));
  log.Close(58);
  log.Close(61);
  const auto fromPlace = log.Since(58);
  BOOST_REQUIRE(fromPlace.has_value());
  BOOST_REQUIRE(fromPlace->Changes.size() == 1U);
  BOOST_TEST(fromPlace->Changes[0].revision == 60U);
  BOOST_TEST(log.Since(50)->Changes.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(a_batch_that_is_left_out_is_no_base_for_what_it_showed)
{
  core::ChangeLog log;
  log.Close(50);
  for (std::size_t i = 0; i <= core::kMaxLogItems; ++i) {
    log.Append(Removal(51 + i));
  }
  log.Close(58);
  BOOST_TEST(!log.Since(58).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
