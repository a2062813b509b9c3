#include "platform/store_items.h"

#include <boost/test/unit_test.hpp>

#include "net/address.h"

namespace cobaltgauge::tests {
namespace {

using core::ReadOutcome;

// Values of the items below, as base64:
// {"service":"web","address":"10.128.0.9:8080","zone":"a","version":"v1","capacity":2,
//  "state":"ready","warmup-left-ms":700,"sequence":4}
constexpr const char* kServer =
    "eyJzZXJ2aWNlIjoid2ViIiwiYWRkcmVzcyI6IjEwLjEyOC4wLjk6ODA4MCIsInpvbmUiOiJhIiwidmVyc2lvbiI6InYxIi"
    "wiY2FwYWNpdHkiOjIsInN0YXRlIjoicmVhZHkiLCJ3YXJtdXAtbGVmdC1tcyI6NzAwLCJzZXF1ZW5jZSI6NH0=";
// {"version":7,"routes":[{"name":"r","host":"198.18.0.1","path-prefix":"/8443/",
//  "traffic-split":[{"service":"web","weight":90},{"service":"api","weight":10}]},
//  {"name":"s","host":"198.18.0.2","path-prefix":"/443/","service":"api"}],
//  "services":[],"limits":{"idle-timeout-ms":15000}}
constexpr const char* kConfig =
    "eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOlt7Im5hbWUiOiJyIiwiaG9zdCI6IjE5OC4xOC4wLjEiLCJwYXRoLXByZWZpeCI6Ii"
    "84NDQzLyIsInRyYWZmaWMtc3BsaXQiOlt7InNlcnZpY2UiOiJ3ZWIiLCJ3ZWlnaHQiOjkwfSx7InNlcnZpY2UiOiJhcGki"
    "LCJ3ZWlnaHQiOjEwfV19LHsibmFtZSI6InMiLCJob3N0IjoiMTk4LjE4LjAuMiIsInBhdGgtcHJlZml4IjoiLzQ0My8iLC"
    "JzZXJ2aWNlIjoiYXBpIn1dLCJzZXJ2aWNlcyI6W10sImxpbWl0cyI6eyJpZGxlLXRpbWVvdXQtbXMiOjE1MDAwfX0=";

std::string item(const std::string& key, const std::string& value) {
  return R"({"key":")" + key + R"(","value":")" + value +
         R"(","revision":12,"created":3,"lease":0})";
}

core::StoreReply parseItems(const std::string& items) {
  return platform::StoreItems().parse(200,
                                      R"({"items":[)" + items + R"(],"has-more":true,"at":530})");
}

std::string unreadableReason(const std::string& key, const std::string& value) {
  const core::StoreReply reply = parseItems(item(key, value));
  BOOST_REQUIRE(reply.changes.size() == 1U);
  const auto* unreadable = std::get_if<core::UnreadableItem>(&reply.changes[0].item);
  BOOST_REQUIRE(unreadable != nullptr);
  BOOST_TEST(reply.changes[0].revision == 12U);
  return unreadable->reason;
}

BOOST_AUTO_TEST_SUITE(StoreItemsTest)

BOOST_AUTO_TEST_CASE(reads_are_paths_with_queries) {
  const platform::StoreItems items;
  core::StoreRead read;
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=");
  read.afterKey = "servers/i-7f";
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=&after=servers/i-7f");
  read.stale = true;
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=&after=servers/i-7f&stale=1");
  read.kind = core::StoreRead::Kind::kWatch;
  read.afterRevision = 411;
  read.wait = std::chrono::milliseconds(300);
  BOOST_TEST(items.target(read) == "/kv-watch?path-prefix=&after=411&wait-ms=300");
}

BOOST_AUTO_TEST_CASE(a_server_becomes_a_registration) {
  const core::StoreReply reply = parseItems(item("servers/i-1fa13cd8c2", kServer));
  BOOST_REQUIRE(reply.changes.size() == 1U);
  BOOST_TEST(reply.at == 530U);
  BOOST_TEST(reply.hasMore);
  BOOST_TEST(reply.lastKey == "servers/i-1fa13cd8c2");
  const auto& registration = std::get<core::Registration>(reply.changes[0].item);
  BOOST_TEST((registration.id == core::BackendId{0x1fa13cd8c2}));
  BOOST_TEST(registration.service == "web");
  BOOST_TEST(net::formatEndpoint(registration.endpoint) == "10.128.0.9:8080");
  BOOST_TEST(registration.capacity == 2U);
  BOOST_TEST(registration.warmUpLeft.count() == 700);
  BOOST_TEST((registration.state == core::BackendState::kActive));
}

BOOST_AUTO_TEST_CASE(a_configuration_becomes_routes) {
  const core::StoreReply reply = parseItems(item("op/config", kConfig));
  const auto& routes = std::get<core::RouteSet>(reply.changes.at(0).item);
  BOOST_TEST(routes.version == 7U);
  BOOST_TEST(routes.idleTimeout.count() == 15000);
  BOOST_REQUIRE(routes.routes.size() == 2U);
  BOOST_TEST(net::formatEndpoint(routes.routes[0].endpoint) == "198.18.0.1:8443");
  BOOST_TEST(routes.routes[0].targets[1].weight == 10U);
  BOOST_TEST(routes.routes[1].targets[0].service == "api");
}

BOOST_AUTO_TEST_CASE(events_carry_removals_and_other_keys_are_skipped) {
  const core::StoreReply reply = platform::StoreItems().parse(
      200, R"({"events":[{"key":"servers/i-1","revision":5,"gone":true},
                        {"key":"other/x","revision":6,"value":""}],"at":6})");
  BOOST_REQUIRE(reply.changes.size() == 1U);
  BOOST_TEST(std::holds_alternative<core::RemovedItem>(reply.changes[0].item));
  BOOST_TEST(reply.lastKey == "other/x");
}

BOOST_AUTO_TEST_CASE(an_unreadable_item_says_why) {
  BOOST_TEST(unreadableReason("servers/i-1", "???") == "value is no base64");
  BOOST_TEST(unreadableReason("servers/i-xyz", kServer) == "id is no hexadecimal number");
  BOOST_TEST(!unreadableReason("servers/i-1", "e30=").empty());
  BOOST_TEST(!unreadableReason("op/config", "e30=").empty());
  BOOST_TEST(!unreadableReason("op/config", "bm8=").empty());
}

BOOST_AUTO_TEST_CASE(statuses_are_told_apart) {
  const platform::StoreItems items;
  BOOST_TEST((items.parse(410, "").outcome == ReadOutcome::kHistoryGone));
  BOOST_TEST((items.parse(429, "").outcome == ReadOutcome::kThrottled));
  BOOST_TEST((items.parse(503, "").outcome == ReadOutcome::kUnavailable));
  BOOST_TEST((items.parse(200, "{\"items\":[").outcome == ReadOutcome::kMalformed));
  BOOST_TEST((items.parse(200, "{}").outcome == ReadOutcome::kMalformed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
