#include "core/listing_plan.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

using core::ListingPlan;
using core::ListingRange;
using Kind = core::ListingRange::Kind;

BOOST_AUTO_TEST_SUITE(ListingPlanTest)

BOOST_AUTO_TEST_CASE(without_a_place_everything_is_listed) {
  ListingPlan plan;
  plan.begin(std::nullopt);
  BOOST_TEST((plan.range() == ListingRange{Kind::kEverything}));
  BOOST_TEST(!plan.onPage(500, true, "k"));
  BOOST_TEST(plan.hasBegun());
  BOOST_TEST(plan.afterKey() == "k");
  BOOST_TEST(plan.onPage(20, false, "l"));
  BOOST_TEST(plan.isWhole());
}

// 985 daemons before 10,000 back ends: 39 of them in a fine part.
BOOST_AUTO_TEST_CASE(a_large_fleet_reads_what_operators_wrote_and_one_part) {
  ListingPlan plan;
  plan.begin(300);
  BOOST_TEST((plan.range() == ListingRange{Kind::kOperators}));
  BOOST_TEST(!plan.onPage(1, false, "op/config"));
  BOOST_TEST((plan.range() == ListingRange{Kind::kBackendsPart, core::kFineParts, 44}));
  BOOST_TEST(plan.onPage(39, false, "servers/x"));
  BOOST_TEST(!plan.isWhole());
}

BOOST_AUTO_TEST_CASE(a_part_with_too_few_is_followed_by_a_coarse_one) {
  ListingPlan plan;
  plan.begin(0x5a);
  plan.onPage(1, false, "op/config");
  BOOST_TEST(!plan.onPage(3, false, "servers/x"));
  BOOST_TEST((plan.range() == ListingRange{Kind::kBackendsPart, core::kCoarseParts, 5}));
  BOOST_TEST(plan.onPage(40, false, "servers/y"));
  BOOST_TEST(!plan.isWhole());
}

BOOST_AUTO_TEST_CASE(where_few_exist_all_are_listed) {
  ListingPlan plan;
  plan.begin(7);
  plan.onPage(1, false, "op/config");
  BOOST_TEST(!plan.onPage(0, false, ""));
  BOOST_TEST((plan.range() == ListingRange{Kind::kBackends}));
  BOOST_TEST(!plan.onPage(500, true, "servers/x"));
  BOOST_TEST(plan.onPage(12, false, "servers/y"));
  BOOST_TEST(plan.isWhole());
}

// Keys of a form that the parts do not divide: one part is empty, or holds all.
BOOST_AUTO_TEST_CASE(one_page_of_a_part_suffices) {
  ListingPlan plan;
  plan.begin(7);
  plan.onPage(1, false, "op/config");
  BOOST_TEST(plan.onPage(500, true, "servers/x"));
  BOOST_TEST(!plan.isWhole());
}

BOOST_AUTO_TEST_CASE(a_plan_that_begins_again_forgets_where_it_was) {
  ListingPlan plan;
  plan.begin(7);
  plan.onPage(500, true, "op/z");
  plan.begin(7);
  BOOST_TEST(!plan.hasBegun());
  BOOST_TEST(plan.afterKey().empty());
  BOOST_TEST((plan.range() == ListingRange{Kind::kOperators}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
