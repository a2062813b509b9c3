/// Limits of the MessagePack parser: nothing is allocated for a document that
/// exceeds one.
#include "decoding/msgpack_parser.h"

#include <boost/test/unit_test.hpp>

#include "support/nested_documents.h"

namespace cobaltgauge::tests {
namespace {

constexpr decoding::DecodingLimits kLimits{ .MaxBytes = 1U << 20U,
                                            .MaxDepth = 16,
                                            .MaxValues = 1000 };

std::string ReasonFor(const std::string& bytes)
{
  decoding::MsgpackParser parser(kLimits);
  BOOST_TEST(!parser.Parse(bytes).has_value());
  return parser.GetLastReason();
}

std::string Repeat(const std::string& unit, std::size_t count)
{
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += unit;
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(MsgpackParserTest)

BOOST_AUTO_TEST_CASE(document_within_limits_is_parsed)
{
  decoding::MsgpackParser parser(kLimits);
  // {"a": [1, "xy"]}
  const std::string bytes = "\x81\xa1\x61\x92\x01\xa2xy";
  const auto root = parser.Parse(bytes);
  BOOST_REQUIRE(root.has_value());
  const msgpack::object& value = root->get().via.map.ptr[0].val;
  BOOST_TEST(value.via.array.size == 2U);
  BOOST_TEST(value.via.array.ptr[1].via.str.ptr == bytes.data() + 6);
}

BOOST_AUTO_TEST_CASE(deep_document_is_refused)
{
  BOOST_TEST(ReasonFor(nestedMsgpackLists(17)) == "more than 16 levels");
  BOOST_TEST(ReasonFor(nestedMsgpackLists(400'000)) == "more than 16 levels");
  BOOST_TEST(ReasonFor(Repeat("\x81\xa1k", 300'000)) == "more than 16 levels");
  BOOST_TEST(ReasonFor(Repeat("\x81", 400'000)) == "more than 16 levels");
}

// Guards against allocating what a header declares: nested lists and tables of
// a megabyte declared 780 MB.
BOOST_AUTO_TEST_CASE(document_that_declares_more_than_it_holds_is_refused)
{
  const std::string padding(100, '\x00');
  BOOST_TEST(ReasonFor(std::string("\xdd\x00\x00\x03\xe8", 5) + padding) ==
             "more than 105 values");
  BOOST_TEST(ReasonFor(Repeat("\xdf\xff\xff\xff\xff", 16)) ==
             "more than 80 values");
  BOOST_TEST(ReasonFor(Repeat(std::string("\xdc\x00\x40", 3), 16) +
                       std::string(2000, '\x00')) == "more than 1000 values");
}

BOOST_AUTO_TEST_CASE(document_with_many_values_is_refused)
{
  BOOST_TEST(ReasonFor(std::string("\xdc\x03\xe9", 3) +
                       std::string(1001, '\x00')) == "more than 1000 values");
}

BOOST_AUTO_TEST_CASE(invalid_document_has_a_short_reason)
{
  BOOST_TEST(ReasonFor("") == "truncated MessagePack");
  BOOST_TEST(ReasonFor("\x92\x01") == "truncated MessagePack");
  BOOST_TEST(ReasonFor("\xdb\x7f\xff\xff\xff") == "truncated MessagePack");
  BOOST_TEST(ReasonFor("\xc1") == "not valid MessagePack");
  BOOST_TEST(ReasonFor("\x01\x01") == "unexpected bytes after the document");
  BOOST_TEST(ReasonFor(std::string((1U << 20U) + 1, '\x00')) ==
             "more than 1048576 bytes");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
