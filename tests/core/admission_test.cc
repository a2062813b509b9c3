#include "core/admission.h"

#include <boost/test/unit_test.hpp>

using namespace cobaltgauge::core;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AdmissionTest)

BOOST_AUTO_TEST_CASE(NoRateAdmitsEverything) {
  AdmissionTokenBucket bucket(0);
  for (int i = 0; i < 1000; ++i) {
    BOOST_TEST_REQUIRE(bucket.admit(0, 1s));
  }
}

BOOST_AUTO_TEST_CASE(LowPriorityIsRefusedBeforeHighPriority) {
  AdmissionTokenBucket bucket(100);
  int low = 0;
  while (bucket.admit(0, 1s)) {
    ++low;
  }
  int high = 0;
  while (bucket.admit(AdmissionTokenBucket::kMaxPriority, 1s)) {
    ++high;
  }
  BOOST_TEST(low == 50);
  BOOST_TEST(high == 50);
}

BOOST_AUTO_TEST_CASE(TokensRefillAtTheRate) {
  AdmissionTokenBucket bucket(10);
  while (bucket.admit(9, 1s)) {
  }
  BOOST_TEST(bucket.retryAfter(9).count() == 1);
  int admitted = 0;
  while (bucket.admit(9, 1500ms)) {
    ++admitted;
  }
  BOOST_TEST(admitted == 5);
}

BOOST_AUTO_TEST_SUITE_END()
