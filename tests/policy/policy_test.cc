#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "policy/policy_evaluator.h"

using namespace cobaltgauge;
using namespace cobaltgauge::policy;

namespace {

PolicyInput input(const std::string& source) {
  return {source,
          "rate-watch",
          {{"a", "hall-1", core::BackendState::kActive, 2000},
           {"b", "hall-2", core::BackendState::kDraining, 1000}}};
}

std::string evaluationError(const std::string& source) {
  PolicyEvaluator evaluator;
  return evaluator.evaluate(input(source)) ? "" : evaluator.lastReason();
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string readPolicy(const char* name) {
  std::ifstream in(std::string(COBALTGAUGE_SOURCE_DIR) + "/docs/policies/" + name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PolicyTest)

BOOST_AUTO_TEST_CASE(WeightsPriorityAndLimitsAreRead) {
  PolicyEvaluator evaluator;
  const auto result = evaluator.evaluate(
      input("function place(class, backend) return backend.capacity / 100 end "
            "function rank(class) if class == 'rate-watch' then return 9 end return 1 end "
            "function limits() return { flows_per_backend = 2000 } end"));
  BOOST_TEST_REQUIRE(result.has_value());
  BOOST_TEST(result->weights == (std::vector<std::uint32_t>{20, 10}),
             boost::test_tools::per_element());
  BOOST_TEST(result->priority == 9U);
  BOOST_TEST(result->limits.flowsPerBackend == 2000U);
  BOOST_TEST(result->limits.newFlowsPerSecond == 0U);
}

BOOST_AUTO_TEST_CASE(ErrorsContainLineAndReason) {
  BOOST_TEST(contains(evaluationError("x = 1"), "must define the function place"));
  BOOST_TEST(contains(evaluationError("\n\nfunction place( end"), "policy:3:"));
  BOOST_TEST(contains(evaluationError("function place()\n error('no') end"), "policy:2: no"));
  BOOST_TEST(contains(evaluationError("function place() return 'x' end"), "got string"));
  BOOST_TEST(contains(evaluationError("function place() return -1 end"), "from 0 to 1000"));
  BOOST_TEST(contains(evaluationError("function place() return 0/0 end"), "from 0 to 1000"));
  BOOST_TEST(
      contains(evaluationError("function place() return 1 end function rank() return 10 end"),
               "result of rank()"));
  BOOST_TEST(
      contains(evaluationError("function place() return 1 end function limits() return 1 end"),
               "must return a table"));
}

BOOST_AUTO_TEST_CASE(InstructionLimitStopsEndlessPolicies) {
  BOOST_TEST(contains(evaluationError("while true do end"), "instruction limit"));
  BOOST_TEST(
      contains(evaluationError("function place() while true do end end"), "instruction limit"));
  BOOST_TEST(contains(evaluationError("function place() return place() + place() end"),
                      "not enough memory"));
}

BOOST_AUTO_TEST_CASE(MemoryLimitStopsPolicies) {
  BOOST_TEST(
      contains(evaluationError("t = {} for i = 1, 1e9 do t[i] = i end"), "not enough memory"));
  BOOST_TEST(
      contains(evaluationError("s = 'x' while true do s = s .. s end"), "not enough memory"));
}

BOOST_AUTO_TEST_CASE(UnsafeFunctionsAreUnavailable) {
  for (const char* name :
       {"io",         "os",           "load",           "loadfile",  "dofile",      "require",
        "debug",      "print",        "collectgarbage", "pcall",     "pairs",       "next",
        "tostring",   "setmetatable", "rawset",         "coroutine", "math.random", "string.find",
        "string.rep", "string.dump",  "string.format"}) {
    const std::string source =
        "assert(" + std::string(name) + " == nil) function place() return 1 end";
    BOOST_TEST(evaluationError(source).empty(), name);
  }
  BOOST_TEST(contains(evaluationError("function place() return ('x'):rep(3) end"), "rep"));
  BOOST_TEST(contains(evaluationError("\x1bLua"), "binary"));
}

BOOST_AUTO_TEST_CASE(ExamplePoliciesEvaluate) {
  PolicyEvaluator evaluator;
  const auto watch = evaluator.evaluate(input(readPolicy("rate_watch_first.lua")));
  BOOST_TEST_REQUIRE(watch.has_value());
  BOOST_TEST(watch->weights == (std::vector<std::uint32_t>{100, 0}),
             boost::test_tools::per_element());
  BOOST_TEST(watch->priority == 9U);
  const auto desk = evaluator.evaluate(input(readPolicy("desk_sessions.lua")));
  BOOST_TEST_REQUIRE(desk.has_value());
  BOOST_TEST(desk->limits.flowsPerBackend == 2000U);
}

BOOST_AUTO_TEST_SUITE_END()
