#include "daemon/policy_weights.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

core::Registration backendIn(const std::string& zone, std::uint32_t capacity = 2) {
  core::Registration registration;
  registration.service = "web";
  registration.zone = zone;
  registration.capacity = capacity;
  return registration;
}

BOOST_AUTO_TEST_SUITE(PolicyWeightsTest)

BOOST_AUTO_TEST_CASE(without_a_program_all_backends_have_the_default_weight) {
  daemon::PolicyWeights weights("a");
  BOOST_TEST(weights.weightOf(backendIn("a")) == core::kDefaultPlacementWeight);
  BOOST_TEST(weights.weightOf(backendIn("b")) == core::kDefaultPlacementWeight);
}

BOOST_AUTO_TEST_CASE(program_receives_zone_service_and_capacity) {
  daemon::PolicyWeights weights("a");
  BOOST_REQUIRE(
      weights.load("function place(class, backend)\n"
                   "  if class ~= 'web' then return 1 end\n"
                   "  return (backend.same_zone and 400 or 100) + backend.capacity\n"
                   "end"));
  BOOST_TEST(weights.weightOf(backendIn("a")) == 402U);
  BOOST_TEST(weights.weightOf(backendIn("b", 5)) == 105U);
}

BOOST_AUTO_TEST_CASE(failing_program_is_rejected_and_the_previous_one_stays) {
  daemon::PolicyWeights weights("a");
  BOOST_REQUIRE(weights.load("function place(class, backend) return 7 end"));
  BOOST_TEST(!weights.load("function place(class, backend) return 'x' end"));
  BOOST_TEST(!weights.lastReason().empty());
  BOOST_TEST(weights.weightOf(backendIn("a")) == 7U);
}

BOOST_AUTO_TEST_CASE(backend_for_which_the_program_fails_has_the_default_weight) {
  daemon::PolicyWeights weights("a");
  BOOST_REQUIRE(
      weights.load("function place(class, backend)\n"
                   "  if backend.same_zone then return 5 end\n"
                   "  return nil\n"
                   "end"));
  BOOST_TEST(weights.weightOf(backendIn("a")) == 5U);
  BOOST_TEST(weights.weightOf(backendIn("b")) == core::kDefaultPlacementWeight);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
