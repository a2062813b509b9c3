#include "configuration/configuration_json.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "support/nested_documents.h"

using namespace cobaltgauge;
using namespace cobaltgauge::configuration;
using nlohmann::json;

namespace {

json makeBackend(const std::string& name, int port) {
  return {{"name", name}, {"address", "127.0.0.1"}, {"port", port}};
}

json makeService(const std::string& name, int number) {
  return {{"name", name},
          {"address", "10.0.0." + std::to_string(number)},
          {"port", 5683},
          {"protocol", "udp"},
          {"policy", "function place() return 1 end"},
          {"backends", {makeBackend("a", 1000 + number), makeBackend("b", 2000 + number)}}};
}

json makeRoot() {
  return {{"version", 3}, {"services", {makeService("x", 1), makeService("y", 2)}}};
}

/// @return the error message, or an empty string if the configuration is valid.
std::string compileError(const json& root) {
  ConfigurationParser parser;
  const auto document = parser.parse(root.dump());
  if (!document) {
    return parser.lastReason();
  }
  JsonConfigurationCompiler compiler;
  return compiler.compile(*document) ? "" : compiler.lastReason();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationJsonTest)

BOOST_AUTO_TEST_CASE(ValidConfigurationIsCompiled) {
  BOOST_TEST(compileError(makeRoot()) == "");
  ConfigurationParser parser;
  JsonConfigurationCompiler compiler;
  const auto services = compiler.compile(*parser.parse(makeRoot().dump()));
  BOOST_TEST_REQUIRE(services.has_value());
  BOOST_TEST(services->size() == 2U);
  BOOST_TEST(services->front().backends.size() == 2U);
  BOOST_TEST(services->front().backends[0].weight == 1U);
  BOOST_TEST(!services->front().tracked);
}

BOOST_AUTO_TEST_CASE(UdpServiceWithLimitsIsTracked) {
  json root = makeRoot();
  root["services"][0]["policy"] =
      "function place() return 1 end function limits() return {flows_per_backend = 9} end";
  ConfigurationParser parser;
  JsonConfigurationCompiler compiler;
  const auto services = compiler.compile(*parser.parse(root.dump()));
  BOOST_TEST(services->front().tracked);
}

BOOST_AUTO_TEST_CASE(ErrorsNameServiceFieldAndAllowedValues) {
  const auto errorAfter = [](auto change) {
    json root = makeRoot();
    change(root);
    return compileError(root);
  };
  BOOST_TEST(errorAfter([](json& r) { r["version"] = 0; }) ==
             "configuration.version: must be a whole number from 1 to 9223372036854775807, got 0");
  BOOST_TEST(errorAfter([](json& r) { r["extra"] = 1; }) ==
             "configuration.extra: unknown field; allowed are version, services");
  BOOST_TEST(errorAfter([](json& r) { r["services"][0]["port"] = 70000; }) ==
             "service 'x'.port: must be a whole number from 1 to 65535, got 70000");
  BOOST_TEST(errorAfter([](json& r) { r["services"][0]["address"] = "nowhere"; }) ==
             "service 'x'.address: must be an IPv4 or IPv6 address, got \"nowhere\"");
  BOOST_TEST(errorAfter([](json& r) { r["services"][0]["protocol"] = "sctp"; }) ==
             "service 'x'.protocol: must be one of udp, tcp, got \"sctp\"");
  BOOST_TEST(errorAfter([](json& r) { r["services"][0]["refusal"] = "reset"; }) ==
             "service 'x'.refusal: reset needs protocol tcp");
  BOOST_TEST(errorAfter([](json& r) { r["services"][0]["backends"][1]["name"] = "a"; }) ==
             "service 'x'.backends[1].name: 'a' is used twice");
  BOOST_TEST(errorAfter([](json& r) { r["services"][0]["backends"][1].erase("port"); }) ==
             "service 'x'.backends[1].port: missing; a whole number from 1 to 65535 is required");
  BOOST_TEST(errorAfter([](json& r) { r["services"][0]["backends"][0]["state"] = "gone"; }) ==
             "service 'x'.backends[0].state: must be one of active, leaving, got \"gone\"");
  BOOST_TEST(errorAfter([](json& r) {
               r["services"][0]["policy"] = "function place(";
             }).starts_with("service 'x'.policy: policy:1:"));
}

BOOST_AUTO_TEST_CASE(ConflictingServicesAreRejected) {
  json root = makeRoot();
  root["services"][1]["name"] = "x";
  BOOST_TEST(compileError(root).starts_with("service 'x': name is used twice"));
  root = makeRoot();
  root["services"][1]["address"] = "10.0.0.1";
  BOOST_TEST(compileError(root) == "service 'y': address, port and protocol already belong to 'x'");
  root = makeRoot();
  root["services"][1]["backends"][0]["port"] = 1001;
  BOOST_TEST(compileError(root) ==
             "service 'y': back end 'a' at 127.0.0.1:1001 already belongs to service 'x'");
}

BOOST_AUTO_TEST_CASE(InvalidDocumentsAreRejected) {
  ConfigurationParser parser;
  for (const char* text : {"", "{", "[]", "null", "7", "{\"version\":1}",
                           "{\"version\":1,\"services\":[7]}", "{\"version\":1,\"services\":{}}"}) {
    BOOST_TEST(!parser.parse(text).has_value(), text);
    BOOST_TEST(!parser.lastReason().empty(), text);
  }
}

BOOST_AUTO_TEST_CASE(BackendsOfEvacuatedZonesAreDraining) {
  json root = makeRoot();
  root["services"][0]["backends"][0]["zone"] = "hall-1";
  root["services"][0]["backends"][1]["zone"] = "hall-2";
  root["services"][0]["evacuated_zones"] = {"hall-2", "hall-9"};
  ConfigurationParser parser;
  JsonConfigurationCompiler compiler;
  const auto services = compiler.compile(*parser.parse(root.dump()));
  BOOST_TEST_REQUIRE(services.has_value());
  const std::vector<core::Backend>& backends = services->front().backends;
  BOOST_TEST((backends[0].state == core::BackendState::kActive));
  BOOST_TEST((backends[1].state == core::BackendState::kDraining));
  root["services"][0]["evacuated_zones"] = {7};
  BOOST_TEST(compileError(root).find("evacuated_zones") != std::string::npos);
  root["services"][0]["evacuated_zones"] = "hall-2";
  BOOST_TEST(compileError(root).find("evacuated_zones") != std::string::npos);
}

// Guards against the end of cobaltgaugectl and of the daemon by a stack overflow, when a part of
// the configuration is printed.
BOOST_AUTO_TEST_CASE(DeeplyNestedConfigurationIsRefused) {
  const std::string nested = tests::nestedLists(250'000);
  ConfigurationParser parser;
  for (const std::string& text :
       {nested, R"({"version":1,"services":[{"name":"a","address":)" + nested + "}]}",
        R"({"version":1,"services":)" + nested + "}", tests::nestedTables(100'000)}) {
    BOOST_TEST(!parser.parse(text).has_value());
    BOOST_TEST(parser.lastReason() == "configuration: more than 16 levels");
  }
  JsonConfigurationCompiler compiler;
  const core::ConfigurationDocument document{1, {{"a", nested, 0}}};
  BOOST_TEST(!compiler.compile(document).has_value());
  BOOST_TEST(compiler.lastReason() == "service 'a': more than 16 levels");
}

// Guards against messages as long as the configuration.
BOOST_AUTO_TEST_CASE(ErrorMessagesAreShort) {
  const std::string longText(900'000, 'x');
  json root = makeRoot();
  root["services"][0][longText] = 1;
  BOOST_TEST(compileError(root).size() < 500U);
  root = makeRoot();
  root["services"][0]["address"] = longText;
  BOOST_TEST(compileError(root).size() < 500U);
  root = makeRoot();
  root["services"][0]["evacuated_zones"] = json::array({json::array({longText})});
  BOOST_TEST(compileError(root).size() < 500U);
}

BOOST_AUTO_TEST_SUITE_END()
