#include "decoding/excerpt.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

BOOST_AUTO_TEST_SUITE(ExcerptTest)

BOOST_AUTO_TEST_CASE(short_text_is_unchanged)
{
  BOOST_TEST(decoding::Excerpt("ready") == "ready");
  BOOST_TEST(decoding::Excerpt("").empty());
}

// Guards against log lines as long as an entry of the store.
BOOST_AUTO_TEST_CASE(long_text_is_shortened)
{
  BOOST_TEST(decoding::Excerpt(std::string(900'000, 'x'), 4) == "xxxx...");
  BOOST_TEST(decoding::Excerpt(std::string(900'000, '\xff')).size() < 400U);
}

// Guards against forged log lines and terminal sequences.
BOOST_AUTO_TEST_CASE(other_characters_are_escaped)
{
  BOOST_TEST(decoding::Excerpt("a\nlevel=info \"\x1b[2J") ==
             "a\\nlevel=info \\\"\\u001b[2J");
  BOOST_TEST(decoding::Excerpt("\xc2\x9b") == "\\u009b");
  BOOST_TEST(decoding::Excerpt("\xff\xfe") == "\\ufffd\\ufffd");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
