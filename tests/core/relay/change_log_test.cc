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

BOOST_AUTO_TEST_CASE(returns_nothing_before_the_first_listing)
{
  const core::ChangeLog log;
  BOOST_TEST(!log.Since(0).has_value());
}

BOOST_AUTO_TEST_CASE(first_listing_is_the_base)
{
  core::ChangeLog log;
  log.Append(Removal(9));
  log.Close(10);
  BOOST_TEST(!log.Since(9).has_value());
  BOOST_REQUIRE(log.Since(10).has_value());
  BOOST_TEST(log.Since(10)->Changes.empty());
}

BOOST_AUTO_TEST_CASE(returns_newer_changes)
{
  const core::ChangeLog log = MakeLog(13);
  BOOST_REQUIRE(log.Since(11).has_value());
  BOOST_TEST(log.Since(11)->Changes.size() == 2U);
  BOOST_TEST(log.Since(13)->Changes.empty());
  BOOST_TEST(log.Since(99)->Changes.empty());
}

// Only the end of a listing is a consistent revision, not each of its pages.
BOOST_AUTO_TEST_CASE(open_batch_is_not_returned)
{
  core::ChangeLog log = MakeLog(11);
  log.Append(Removal(14));
  log.Close(11);
  BOOST_TEST(log.Since(11)->Changes.empty());
  log.Close(15);
  BOOST_TEST(log.Since(11)->Changes.size() == 1U);
  BOOST_TEST(log.Since(14)->Changes.size() == 1U);
}

// Sending a very large route change to all followers would saturate a slow
// link.
BOOST_AUTO_TEST_CASE(oversized_change_is_omitted)
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

// Guards against all followers reading the store after a large batch.
BOOST_AUTO_TEST_CASE(large_batch_is_returned_in_parts)
{
  constexpr core::Revision kLast = 10 + 3 * core::kMaxBatchItems;
  core::ChangeLog log;
  log.Close(10);
  // The store responds in the order of keys, not of revisions.
  for (core::Revision revision = kLast; revision > 10;
       revision = revision - 1) {
    log.Append(Removal(revision));
  }
  log.Close(kLast + 5);
  core::Revision have = 10;
  std::size_t parts = 0;
  std::size_t changes = 0;
  for (; have < kLast + 5; ++parts) {
    const auto range = log.Since(have);
    BOOST_REQUIRE(range.has_value());
    BOOST_REQUIRE(range->EndRevision > have);
    BOOST_TEST(range->Changes.size() <= core::kMaxBatchItems);
    for (const core::StoreChange& change : range->Changes) {
      BOOST_TEST(change.revision > have);
      BOOST_TEST(change.revision <= range->EndRevision);
    }
    changes += range->Changes.size();
    have = range->EndRevision;
  }
  BOOST_TEST(have == kLast + 5);
  BOOST_TEST(parts == 3U);
  BOOST_TEST(changes == 3 * core::kMaxBatchItems);
}

BOOST_AUTO_TEST_CASE(changes_of_one_revision_are_not_split)
{
  core::ChangeLog log;
  log.Close(10);
  for (std::size_t i = 0; i <= core::kMaxBatchItems; ++i) {
    log.Append({ "servers/" + std::to_string(i), 12, core::RemovedItem{} });
  }
  log.Append(Removal(13));
  log.Close(13);
  const auto range = log.Since(10);
  BOOST_REQUIRE(range.has_value());
  BOOST_TEST(range->Changes.size() == core::kMaxBatchItems + 1);
  BOOST_TEST(range->EndRevision == 12U);
}

// A listing does not give the revisions of removals.  Splitting it could hide
// a removal from followers permanently.
BOOST_AUTO_TEST_CASE(large_listing_is_omitted)
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

BOOST_AUTO_TEST_CASE(log_size_is_bounded)
{
  const core::ChangeLog log = MakeLog(10 + 2 * core::kMaxLogItems);
  BOOST_TEST(log.GetBase() >=
             10 + 2 * core::kMaxLogItems - core::kMaxLogBatches);
  BOOST_TEST(!log.Since(log.GetBase() - 1).has_value());
  BOOST_TEST(log.Since(log.GetBase())->Changes.size() <= core::kMaxLogBatches);
}

// A page of the first listing may show a change newer than the listing's
// revision, which the following watch delivers again without effect.
// Followers must not miss it.
BOOST_AUTO_TEST_CASE(first_listing_with_newer_items_moves_the_base)
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

BOOST_AUTO_TEST_CASE(newer_items_of_a_later_listing_are_returned_again)
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

BOOST_AUTO_TEST_CASE(omitted_batch_with_newer_items_moves_the_base)
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
