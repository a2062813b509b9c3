/// Limits of the TOML parser.
#include "decoding/toml_parser.h"

#include <boost/test/unit_test.hpp>

namespace cobaltgauge::tests {
namespace {

std::string Repeat(const std::string& unit, std::size_t count)
{
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += unit;
  }
  return text;
}

std::string ReasonFor(const std::string& text)
{
  decoding::TomlParser parser;
  BOOST_TEST(!parser.Parse(text).has_value());
  return parser.GetLastReason();
}

BOOST_AUTO_TEST_SUITE(TomlParserTest)

BOOST_AUTO_TEST_CASE(document_within_limits_is_parsed)
{
  decoding::TomlParser parser;
  const auto root =
    parser.Parse("[a.b]\nc.d = \"10.0.0.1:80\" # e.g. this\nx = [1.5, 2.5]\n");
  BOOST_REQUIRE(root.has_value());
  BOOST_TEST(root->at_path("a.b.c.d").value_or("") ==
             std::string("10.0.0.1:80"));
}

// Guards against the end of the process by a stack overflow, when it frees the
// table that each part of a key makes.
BOOST_AUTO_TEST_CASE(long_dotted_keys_are_refused)
{
  const std::string expected = "more than 31 dots without a separator";
  const std::string key = Repeat("a.", 200'000) + "a";
  BOOST_TEST(ReasonFor("[" + key + "]\n") == expected);
  BOOST_TEST(ReasonFor("[[" + key + "]]\n") == expected);
  BOOST_TEST(ReasonFor(key + " = 1\n") == expected);
  BOOST_TEST(ReasonFor("b = { " + key + " = 1 }\n") == expected);
  BOOST_TEST(ReasonFor("\"#\"." + key + " = 1\n") == expected);
  decoding::TomlParser parser;
  BOOST_TEST(!parser.Parse("a = 1\n" + key + " = 1\n").has_value());
  BOOST_TEST(parser.GetLastLine() == 2U);
}

BOOST_AUTO_TEST_CASE(nested_values_are_refused)
{
  BOOST_TEST(
    ReasonFor("a = " + Repeat("[", 100'000) + Repeat("]", 100'000)).size() <
    400U);
  BOOST_TEST(
    ReasonFor("a = " + Repeat("{a=", 100'000) + "1" + Repeat("}", 100'000))
      .size() < 400U);
}

// The deepest document within the limits is freed on a small stack.
BOOST_AUTO_TEST_CASE(deepest_document_is_accepted_or_refused)
{
  const std::string key = Repeat("a.", 31) + "a";
  std::string text = "[" + key + "]\n" + key + " = ";
  for (int i = 0; i < 127; ++i) {
    text += "[{" + key + " = ";
  }
  text += "1" + Repeat("}]", 127) + "\n";
  decoding::TomlParser parser;
  const bool accepted = parser.Parse(text).has_value();
  BOOST_TEST((accepted || !parser.GetLastReason().empty()));
}

BOOST_AUTO_TEST_CASE(reasons_are_short)
{
  BOOST_TEST(ReasonFor(Repeat(" ", (1U << 20U) + 1)) ==
             "more than 1048576 bytes");
  BOOST_TEST(ReasonFor(Repeat("x", 1'000'000)).size() < 400U);
  BOOST_TEST(ReasonFor("a = \"" + Repeat("x", 1'000'000)).size() < 400U);
  BOOST_TEST(ReasonFor(std::string("\xff\xfe\x00", 3)).size() < 400U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
