#include "decoding/name_check.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace cobaltgauge::tests {
namespace {

BOOST_AUTO_TEST_SUITE(NameCheckTest)

BOOST_AUTO_TEST_CASE(printable_text_is_a_name)
{
  BOOST_TEST(decoding::IsName(""));
  BOOST_TEST(decoding::IsName("desk-sessions.v1 \"a\""));
  BOOST_TEST(
    decoding::IsName("P\xc3\xb5hjatiib \xe2\x82\xac \xf0\x9f\x9b\xab"));
  BOOST_TEST(decoding::IsName(std::string(200, 'x')));
}

BOOST_AUTO_TEST_CASE(other_text_is_no_name)
{
  BOOST_TEST(!decoding::IsName(std::string(201, 'x')));
  BOOST_TEST(!decoding::IsName("\xff\xfe\xff\xfe"));
  BOOST_TEST(!decoding::IsName("\xed\xa0\x80"));
  BOOST_TEST(!decoding::IsName("\xc0\xaf"));
  BOOST_TEST(!decoding::IsName("a\xc3"));
  BOOST_TEST(!decoding::IsName("a\nb"));
  BOOST_TEST(!decoding::IsName(std::string("a\0b", 3)));
  BOOST_TEST(!decoding::IsName("\x7f"));
  BOOST_TEST(!decoding::IsName("\xc2\x9b"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
