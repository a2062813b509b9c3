#include "core/relay/change_log.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "support/store_fixtures.h"

namespace cobaltgauge::tests {
namespace {

core::StoreChange Removal(core::Revision revision)
{
  return { "servers/" + std::to_string(revision),
           revision,
           core::RemovedItem{} };
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
  BOOST_TEST(log.Since(10)->empty());
}

BOOST_AUTO_TEST_CASE(gives_what_is_newer)
{
  const core::ChangeLog log = MakeLog(13);
  BOOST_REQUIRE(log.Since(11).has_value());
  BOOST_TEST(log.Since(11)->size() == 2U);
  BOOST_TEST(log.Since(13)->empty());
  BOOST_TEST(log.Since(99)->empty());
}

// A listing's pages arrive one after the other; only its end is a revision.
BOOST_AUTO_TEST_CASE(a_batch_that_is_not_closed_is_not_given)
{
  core::ChangeLog log = MakeLog(11);
  log.Append(Removal(14));
  log.Close(11);
  BOOST_TEST(log.Since(11)->empty());
  log.Close(15);
  BOOST_TEST(log.Since(11)->size() == 1U);
  BOOST_TEST(log.Since(14)->size() == 1U);
}

// Ten thousand routes to thirty followers would fill a small machine's link.
BOOST_AUTO_TEST_CASE(a_heavy_batch_is_left_out)
{
  core::ChangeLog log = MakeLog(12);
  core::RouteDelta delta;
  delta.dropped.resize(core::kHeaviestBatch);
  log.Append({ "op/config", 13, delta });
  log.Close(13);
  BOOST_TEST(!log.Since(12).has_value());
  BOOST_TEST(log.GetBase() == 13U);
  log.Append(Removal(14));
  log.Close(14);
  BOOST_TEST(log.Since(13)->size() == 1U);
}

BOOST_AUTO_TEST_CASE(is_bounded)
{
  const core::ChangeLog log = MakeLog(10 + 2 * core::kHeaviestLog);
  BOOST_TEST(log.GetBase() >= 10 + core::kHeaviestLog);
  BOOST_TEST(!log.Since(log.GetBase() - 1).has_value());
  BOOST_TEST(log.Since(log.GetBase())->size() <= core::kMostBatches);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
