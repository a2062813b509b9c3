/// Limits of the JSON parser: nothing is built from a document that exceeds
/// one.
#include "decoding/json_parser.h"

#include <boost/test/unit_test.hpp>

#include "support/nested_documents.h"

namespace cobaltgauge::tests {
namespace {

constexpr decoding::DecodingLimits kLimits{ .MaxBytes = 1U << 20U,
                                            .MaxDepth = 16,
                                            .MaxValues = 1000 };

std::string ReasonFor(const std::string& text)
{
  decoding::JsonParser parser(kLimits);
  BOOST_TEST(!parser.Parse(text).has_value());
  return parser.GetLastReason();
}

BOOST_AUTO_TEST_SUITE(JsonParserTest)

BOOST_AUTO_TEST_CASE(document_within_limits_is_parsed)
{
  decoding::JsonParser parser(kLimits);
  const auto root = parser.Parse(R"({"a":[1,-2,2.5,true,null,"x"],"b":{}})");
  BOOST_REQUIRE(root.has_value());
  BOOST_TEST(root->at("a").size() == 6U);
  BOOST_TEST(parser.Parse(nestedLists(16)).has_value());
}

// Guards against a stack overflow when a deep document is printed or
// converted.
BOOST_AUTO_TEST_CASE(deep_document_is_refused)
{
  BOOST_TEST(ReasonFor(nestedLists(17)) == "more than 16 levels");
  BOOST_TEST(ReasonFor(nestedLists(400'000)) == "more than 16 levels");
  BOOST_TEST(ReasonFor(nestedTables(100'000)) == "more than 16 levels");
  BOOST_TEST(ReasonFor(std::string(400'000, '[')) == "more than 16 levels");
}

BOOST_AUTO_TEST_CASE(document_with_many_values_is_refused)
{
  std::string wide = "[0";
  for (int i = 0; i < 1000; ++i) {
    wide += ",0";
  }
  BOOST_TEST(ReasonFor(wide + "]") == "more than 1000 values");
  std::string keys = "{\"a\":0";
  for (int i = 0; i < 500; ++i) {
    keys += ",\"a\":0";
  }
  BOOST_TEST(ReasonFor(keys + "}") == "more than 1000 values");
}

BOOST_AUTO_TEST_CASE(large_document_is_refused)
{
  const std::string text = "\"" + std::string(kLimits.MaxBytes, 'x') + "\"";
  BOOST_TEST(ReasonFor(text) == "more than 1048576 bytes");
}

// Guards against messages as long as the document.
BOOST_AUTO_TEST_CASE(reason_does_not_quote_the_document)
{
  BOOST_TEST(ReasonFor("{\"a\":\"" + std::string(900'000, 'x')) ==
             "not valid JSON at byte 900007");
  BOOST_TEST(ReasonFor("") == "not valid JSON at byte 1");
  BOOST_TEST(ReasonFor("\"\xff\xfe\"") == "not valid JSON at byte 2");
  BOOST_TEST(ReasonFor("[1] 2") == "not valid JSON at byte 5");
  BOOST_TEST(ReasonFor("[1e999]").starts_with("not valid JSON at byte"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
