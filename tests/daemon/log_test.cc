#include "daemon/log.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

BOOST_AUTO_TEST_SUITE(LogTest)

BOOST_AUTO_TEST_CASE(plain_values_are_not_quoted) {
  BOOST_TEST(daemon::formatLogValue("10.0.0.1:80") == "10.0.0.1:80");
  BOOST_TEST(daemon::formatLogValue("") == "\"\"");
  BOOST_TEST(daemon::formatLogValue("a b") == "\"a b\"");
  BOOST_TEST(daemon::formatLogValue("a=\"b\\\n") == "\"a=\\\"b\\\\\\n\"");
}

// Guards against lines as long as an entry of the store, and against bytes that a reader of the
// log would take for the end of a line or for a terminal sequence.
BOOST_AUTO_TEST_CASE(value_from_outside_is_short_and_printable) {
  const std::string value = daemon::formatLogValue(std::string(900'000, 'x'));
  BOOST_TEST(value.size() == daemon::kMaxLogValueBytes + 5);
  BOOST_TEST(value.ends_with("x...\""));
  BOOST_TEST(daemon::formatLogValue("a\r\x1b[2J") == "\"a\\r\\u001b[2J\"");
  BOOST_TEST(daemon::formatLogValue("\xff\xfe") == "\"\\ufffd\\ufffd\"");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
