#include "ctl/offline_commands.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "support/nested_documents.h"

using namespace cobaltgauge::ctl;
using nlohmann::json;

namespace {

json configuration(int version, int backends) {
  json list = json::array();
  for (int i = 1; i <= backends; ++i) {
    list.push_back(
        {{"name", "b" + std::to_string(i)}, {"address", "127.0.0.1"}, {"port", 1000 + i}});
  }
  return {{"version", version},
          {"services",
           {{{"name", "desk"},
             {"address", "10.0.0.1"},
             {"port", 5683},
             {"policy", "function place() return 100 end"},
             {"backends", list}}}}};
}

bool contains(const CommandResult& result, const std::string& part) {
  return result.output.find(part) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OfflineCommandsTest)

BOOST_AUTO_TEST_CASE(CheckReportsInvalidField) {
  BOOST_TEST(checkConfiguration(configuration(1, 2).dump()).ok);
  json invalid = configuration(1, 2);
  invalid["services"][0]["port"] = 0;
  const CommandResult result = checkConfiguration(invalid.dump());
  BOOST_TEST(!result.ok);
  BOOST_TEST(contains(result, "service 'desk'.port"));
}

BOOST_AUTO_TEST_CASE(PolicyTestPrintsBucketShares) {
  const CommandResult result = testPolicies(configuration(1, 4).dump());
  BOOST_TEST(result.ok);
  BOOST_TEST(contains(result, "25.00 %"));
}

BOOST_AUTO_TEST_CASE(PolicyOfOneServiceCanBeReplaced) {
  const std::string text = configuration(1, 2).dump();
  const CommandResult result = testPolicy(
      text, "desk", "function place(c, b) if b.name == 'b1' then return 300 end return 100 end");
  BOOST_TEST(contains(result, "75.00 %"));
  BOOST_TEST(!testPolicy(text, "absent", "x").ok);
  BOOST_TEST(contains(testPolicy(text, "desk", "function place("), "policy:1:"));
}

BOOST_AUTO_TEST_CASE(DiffListsChanges) {
  json after = configuration(2, 3);
  after["services"][0]["backends"][0]["state"] = "leaving";
  const CommandResult result = compareConfigurations(configuration(1, 2).dump(), after.dump());
  BOOST_TEST(result.ok);
  BOOST_TEST(contains(result, "+ back end b3"));
  BOOST_TEST(contains(result, "~ back end b1 leaves"));
  BOOST_TEST(contains(result, "buckets that move"));
}

BOOST_AUTO_TEST_CASE(DiffWarnsWhenVersionDoesNotIncrease) {
  const std::string text = configuration(1, 2).dump();
  const CommandResult result = compareConfigurations(text, text);
  BOOST_TEST(!result.ok);
  BOOST_TEST(contains(result, "does not rise"));
}

// Guards against the end of the program by a stack overflow.
BOOST_AUTO_TEST_CASE(DeeplyNestedFilesAreRefused) {
  const std::string nested = cobaltgauge::tests::nestedLists(250'000);
  const std::string text = R"({"version":1,"services":[{"name":"desk","policy":)" + nested + "}]}";
  for (const CommandResult& result :
       {checkConfiguration(text), testPolicies(text), testPolicy(text, "desk", "x = 1"),
        compareConfigurations(text, text), drainStatus(nested, "b1")}) {
    BOOST_TEST(!result.ok);
    BOOST_TEST(contains(result, "more than 16 levels"));
  }
}

BOOST_AUTO_TEST_CASE(DrainStatusReadsTheServicesPage) {
  const std::string page =
      R"([{"name":"desk","backends":[{"name":"b1","state":"leaving","buckets":0},)"
      R"({"name":"b2","state":"active","buckets":7}]}])";
  BOOST_TEST(drainStatus(page, "b1").output == "b1 of desk is leaving and gets no new flow\n");
  BOOST_TEST(contains(drainStatus(page, "b2"), "gets new flows from 7 buckets"));
  BOOST_TEST(!drainStatus(page, "b3").ok);
}

// Guards against an exception that nobody catches.
BOOST_AUTO_TEST_CASE(OtherPagesHaveNoDrainStatus) {
  for (const char* page : {"", "1", "{}", "[1]", R"([{"backends":[{}]}])",
                           R"([{"backends":[{"name":"b1","buckets":"many"}]}])"}) {
    BOOST_TEST(!drainStatus(page, "b1").ok);
  }
}

BOOST_AUTO_TEST_SUITE_END()
