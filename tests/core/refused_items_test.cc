/// Items of the store that cannot be read: each is reported once, whatever shows it again.
#include "core/refused_items.h"

#include <boost/test/unit_test.hpp>

#include "core/constants.h"
#include "core/view_updater.h"
#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

struct RefusedItemsFixture {
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::RouteTable routes{1};
  std::vector<core::ViewChange> reports;
  core::ViewUpdater updater{backends, routes,
                            [this](const core::ViewChange& change) { report(change); }};
  core::Time now = 100s;

  void report(const core::ViewChange& change) {
    if (change.kind == core::ViewChange::Kind::kUnreadable) {
      reports.push_back(change);
    }
  }

  static core::StoreChange unreadable(const std::string& key, core::Revision revision) {
    return {key, revision, core::UnreadableItem{"more than 16 levels", 500'012}};
  }
};

BOOST_FIXTURE_TEST_SUITE(RefusedItemsTest, RefusedItemsFixture)

BOOST_AUTO_TEST_CASE(report_has_key_size_and_reason) {
  updater.onChange(unreadable("servers/i-1", 7), now);
  BOOST_REQUIRE(reports.size() == 1U);
  BOOST_TEST(reports[0].key == "servers/i-1");
  BOOST_TEST(reports[0].revision == 7U);
  BOOST_TEST(reports[0].size == 500'012U);
  BOOST_TEST(reports[0].reason == "more than 16 levels");
}

// Guards against a log line for each listing while the item stays in the store.
BOOST_AUTO_TEST_CASE(item_is_reported_once_for_each_revision) {
  updater.onListedItem(unreadable("servers/i-1", 7), now);
  updater.onListed({"servers/i-1"}, 8, now);
  updater.onListedItem(unreadable("servers/i-1", 7), now);
  updater.onMissingItem(unreadable("servers/i-1", 7), now);
  updater.onChange(unreadable("servers/i-1", 7), now);
  BOOST_TEST(reports.size() == 1U);
  updater.onChange(unreadable("servers/i-1", 9), now);
  BOOST_TEST(reports.size() == 2U);
  BOOST_TEST(updater.refusedItems().total() == 2U);
  BOOST_TEST(updater.refusedItems().size() == 1U);
}

BOOST_AUTO_TEST_CASE(item_on_a_page_of_missing_backends_is_reported) {
  updater.onMissingItem(unreadable("servers/i-1", 7), now);
  BOOST_TEST(reports.size() == 1U);
}

BOOST_AUTO_TEST_CASE(item_that_is_gone_or_readable_is_forgotten) {
  updater.onChange(unreadable("servers/i-1", 7), now);
  updater.onChange({"servers/i-1", 8, core::RemovedItem{}}, now);
  BOOST_TEST(updater.refusedItems().size() == 0U);
  updater.onChange(unreadable("servers/i-2", 9), now);
  updater.onChange({"servers/i-2", 10, core::Registration{}}, now);
  BOOST_TEST(updater.refusedItems().size() == 0U);
  updater.onListedItem(unreadable("servers/i-3", 11), now);
  updater.onListed({}, 12, now);
  BOOST_TEST(updater.refusedItems().size() == 0U);
}

// Guards against memory that grows with the entries of another writer.
BOOST_AUTO_TEST_CASE(number_of_remembered_items_is_limited) {
  for (std::uint64_t id = 0; id < 5000; ++id) {
    updater.onChange(unreadable("servers/" + std::to_string(id), 7), now);
  }
  BOOST_TEST(updater.refusedItems().size() == core::kMaxRefusedItems);
  BOOST_TEST(updater.refusedItems().total() == 5000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
