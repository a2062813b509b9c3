#include "core/listing_plan.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

using core::ListingPlan;
using core::ListingRange;
using Kind = core::ListingRange::Kind;

BOOST_AUTO_TEST_SUITE(ListingPlanTest)

BOOST_AUTO_TEST_CASE(without_sampling_lists_everything) {
  ListingPlan plan;
  plan.begin(std::nullopt);
  BOOST_TEST((plan.range() == ListingRange{Kind::kEverything}));
  BOOST_TEST(!plan.onPage(500, true, "k"));
  BOOST_TEST(plan.hasStarted());
  BOOST_TEST(plan.afterKey() == "k");
  BOOST_TEST(plan.onPage(20, false, "l"));
  BOOST_TEST(plan.coversAllBackends());
}

// With 10,000 backends a fine partition holds 39 on average.
BOOST_AUTO_TEST_CASE(sample_reads_operator_items_and_one_partition) {
  ListingPlan plan;
  plan.begin(300);
  BOOST_TEST((plan.range() == ListingRange{Kind::kOperators}));
  BOOST_TEST(!plan.onPage(1, false, "op/config"));
  BOOST_TEST((plan.range() == ListingRange{Kind::kBackendPartition, core::kFinePartitions, 44}));
  BOOST_TEST(plan.onPage(39, false, "servers/x"));
  BOOST_TEST(!plan.coversAllBackends());
}

BOOST_AUTO_TEST_CASE(small_partition_is_followed_by_coarse_partition) {
  ListingPlan plan;
  plan.begin(0x5a);
  plan.onPage(1, false, "op/config");
  BOOST_TEST(!plan.onPage(3, false, "servers/x"));
  BOOST_TEST((plan.range() == ListingRange{Kind::kBackendPartition, core::kCoarsePartitions, 5}));
  BOOST_TEST(plan.onPage(40, false, "servers/y"));
  BOOST_TEST(!plan.coversAllBackends());
}

BOOST_AUTO_TEST_CASE(few_backends_are_all_listed) {
  ListingPlan plan;
  plan.begin(7);
  plan.onPage(1, false, "op/config");
  BOOST_TEST(!plan.onPage(0, false, ""));
  BOOST_TEST((plan.range() == ListingRange{Kind::kBackends}));
  BOOST_TEST(!plan.onPage(500, true, "servers/x"));
  BOOST_TEST(plan.onPage(12, false, "servers/y"));
  BOOST_TEST(plan.coversAllBackends());
}

// If the keys are not spread over the partitions, one partition may be empty or hold all of them.
BOOST_AUTO_TEST_CASE(one_page_of_partition_suffices) {
  ListingPlan plan;
  plan.begin(7);
  plan.onPage(1, false, "op/config");
  BOOST_TEST(plan.onPage(500, true, "servers/x"));
  BOOST_TEST(!plan.coversAllBackends());
}

BOOST_AUTO_TEST_CASE(begin_resets_position) {
  ListingPlan plan;
  plan.begin(7);
  plan.onPage(500, true, "op/z");
  plan.begin(7);
  BOOST_TEST(!plan.hasStarted());
  BOOST_TEST(plan.afterKey().empty());
  BOOST_TEST((plan.range() == ListingRange{Kind::kOperators}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
