/// @file
/// Tests each invariant with a history that violates it and one at the limit that does not.
#include "sim/history_checker.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>

#include "support/nested_documents.h"

using namespace cobaltgauge::sim;

namespace {

Event event(std::int64_t time, EventKind kind, const std::string& actor,
            const std::string& session = {}, const std::string& request = {},
            const std::string& detail = {}) {
  return {time, kind, actor, "web", session, request, detail};
}

/// A history without violations: one session, one request, one large response.
std::vector<Event> cleanHistory() {
  return {event(1, EventKind::kSessionAtBackend, "b1", "s1"),
          event(2, EventKind::kSessionOpened, "c1", "s1"),
          event(3, EventKind::kRequestSent, "c1", "s1", "r1"),
          event(4, EventKind::kRequestExecuted, "b1", "s1", "r1"),
          event(5, EventKind::kRequestDone, "c1", "s1", "r1"),
          event(6, EventKind::kResponseComplete, "c1", "s1", "r2")};
}

CheckerReport check(std::vector<Event> added) {
  std::vector<Event> events = cleanHistory();
  events.insert(events.end(), added.begin(), added.end());
  return checkHistory(std::move(events), CheckerBounds{});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HistoryCheckerTest)

BOOST_AUTO_TEST_CASE(CleanHistoryHasNoViolation) {
  const CheckerReport report = check({});
  BOOST_TEST(report.ok());
  BOOST_TEST(report.sessions == 1U);
  BOOST_TEST(report.requests == 1U);
  BOOST_TEST(report.executions == 1U);
}

BOOST_AUTO_TEST_CASE(SessionOnTwoBackendsIsBroken) {
  BOOST_TEST(check({event(7, EventKind::kSessionAtBackend, "b2", "s1")}).brokenSessions == 1U);
}

BOOST_AUTO_TEST_CASE(SessionUnknownToItsBackendIsBroken) {
  BOOST_TEST(check({event(7, EventKind::kSessionUnknown, "b2", "s1")}).brokenSessions == 1U);
  BOOST_TEST(check({event(7, EventKind::kSessionBroken, "c1", "s1")}).brokenSessions == 1U);
}

BOOST_AUTO_TEST_CASE(DuplicateExecutionIsReported) {
  BOOST_TEST(check({event(7, EventKind::kRequestExecuted, "b2", "s1", "r1")}).doubleExecutions ==
             1U);
  BOOST_TEST(check({event(7, EventKind::kRequestDuplicate, "b1", "s1", "r1")}).ok());
}

BOOST_AUTO_TEST_CASE(FalseRefusalIsReportedInEitherOrder) {
  BOOST_TEST(check({event(7, EventKind::kRequestRefused, "c1", "s1", "r1")}).falseRefusals == 1U);
  BOOST_TEST(check({event(7, EventKind::kRequestRefused, "c1", "s1", "r9"),
                    event(9, EventKind::kRequestExecuted, "b1", "s1", "r9")})
                 .falseRefusals == 1U);
  BOOST_TEST(check({event(7, EventKind::kRequestRefused, "c1", "s1", "r9")}).ok());
}

BOOST_AUTO_TEST_CASE(ResponseWithoutExecutionIsReported) {
  BOOST_TEST(check({event(7, EventKind::kRequestDone, "c1", "s1", "r9")}).lostRequests == 1U);
}

BOOST_AUTO_TEST_CASE(MisdeliveryAndInvalidResponseAreReported) {
  BOOST_TEST(check({event(7, EventKind::kMisdelivered, "b2")}).misdelivered == 1U);
  BOOST_TEST(check({event(7, EventKind::kResponseInvalid, "c1", "s1", "r2")}).invalidResponses ==
             1U);
}

BOOST_AUTO_TEST_CASE(LateSessionOnDrainingBackendIsReported) {
  const Event draining = event(1000, EventKind::kBackendDraining, "b2");
  BOOST_TEST(check({draining, event(4000, EventKind::kSessionAtBackend, "b2", "s2")}).ok());
  BOOST_TEST(
      check({draining, event(4001, EventKind::kSessionAtBackend, "b2", "s2")}).lateNewSessions ==
      1U);
}

BOOST_AUTO_TEST_CASE(DelaysAreMeasuredFromTheEndOfAnOutage) {
  const std::vector<Event> outage{
      event(500, EventKind::kFault, "operator", "", "", "platform_down"),
      event(1000, EventKind::kBackendDraining, "b2"),
      event(6000, EventKind::kSessionAtBackend, "b2", "s2"),
      event(8000, EventKind::kFault, "operator", "", "", "platform_up")};
  BOOST_TEST(check(outage).ok());
  std::vector<Event> late = outage;
  late.push_back(event(11001, EventKind::kSessionAtBackend, "b2", "s3"));
  BOOST_TEST(check(late).lateNewSessions == 1U);
}

BOOST_AUTO_TEST_CASE(RevertedConfigurationIsReported) {
  const auto active = [](std::int64_t time, const char* version) {
    return event(time, EventKind::kConfigurationActive, "lb-1", "", "", version);
  };
  BOOST_TEST(check({active(10, "1"), active(20, "2"), active(30, "2")}).ok());
  BOOST_TEST(check({active(10, "2"), active(20, "1")}).configurationViolations == 1U);
}

BOOST_AUTO_TEST_CASE(SlowConfigurationIsReported) {
  const auto publish = event(1000, EventKind::kConfigurationPublished, "operator", "", "", "2");
  const auto first = event(10, EventKind::kConfigurationActive, "lb-1", "", "", "1");
  const auto at = [](std::int64_t time) {
    return event(time, EventKind::kConfigurationActive, "lb-1", "", "", "2");
  };
  BOOST_TEST(check({first, publish, at(10000)}).ok());
  BOOST_TEST(check({first, publish, at(10001)}).configurationViolations == 1U);
  // Daemons that start after the publication are not counted.
  BOOST_TEST(check({publish, at(60000)}).ok());
}

BOOST_AUTO_TEST_CASE(ImbalanceIsMaximumOverMean) {
  const CheckerReport report = check({event(7, EventKind::kSessionAtBackend, "b2", "s2"),
                                      event(8, EventKind::kSessionAtBackend, "b2", "s3")});
  BOOST_TEST(report.imbalance.at("web") == 4.0 / 3, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(EventLinesRoundTrip) {
  HistoryReader reader;
  const Event written = event(77, EventKind::kRequestRefused, "c\"1", "s1", "r1", "x y");
  const auto read = reader.parseLine(toLine(written));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST(toLine(*read) == toLine(written));
  for (const char* bad :
       {"", "[]", "{}", "{\"t\":1}", "{\"t\":1,\"kind\":\"x\"}", "{\"t\":\"1\",\"kind\":\"stray\"}",
        "{\"t\":1,\"kind\":\"stray\",\"extra\":\"\"}"}) {
    BOOST_TEST(!reader.parseLine(bad).has_value(), bad);
    BOOST_TEST(!reader.lastReason().empty());
  }
}

// Guards against memory for a line of any length, and messages as long as the line.
BOOST_AUTO_TEST_CASE(LongOrNestedLinesAreRefused) {
  HistoryReader reader;
  BOOST_TEST(!reader
                  .parseLine(R"({"t":1,"kind":"fault","detail":)" +
                             cobaltgauge::tests::nestedLists(20'000) + "}")
                  .has_value());
  BOOST_TEST(reader.lastReason() == "more than 4 levels");
  const std::string longText(60'000, 'x');
  BOOST_TEST(!reader.parseLine("{\"" + longText + "\":\"\"}").has_value());
  BOOST_TEST(reader.lastReason().size() < 500U);
  BOOST_TEST(!reader.parseLine(R"({"t":1,"kind":")" + longText + "\"}").has_value());
  BOOST_TEST(reader.lastReason().size() < 500U);
  const std::string path = "history_checker_test." + std::to_string(getpid());
  std::ofstream(path) << R"({"t":1,"kind":"fault"})"
                      << "\n"
                      << std::string(5'000'000, 'x') << "\n";
  BOOST_TEST(!reader.readFile(path).has_value());
  BOOST_TEST(reader.lastReason() == path + ":2: line is too long or unreadable");
  std::remove(path.c_str());
}

BOOST_AUTO_TEST_SUITE_END()
