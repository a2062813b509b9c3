#include "platform/store_items.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "net/address.h"
#include "support/base64.h"

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

core::StoreReply parse(int status, const std::string& body) {
  return platform::StoreItems().parse({net::HttpFailure::kNone, status, {}, body});
}

core::StoreReply parseItems(const std::string& items) {
  return parse(200, R"({"items":[)" + items + R"(],"has-more":true,"at":530})");
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

BOOST_AUTO_TEST_CASE(reads_become_request_targets) {
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

BOOST_AUTO_TEST_CASE(partitions_select_id_prefixes) {
  using Kind = core::ListingRange::Kind;
  const platform::StoreItems items;
  core::StoreRead read;
  read.stale = true;
  read.range = {Kind::kOperators};
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=op/&stale=1");
  read.range = {Kind::kBackendPartition, core::kFinePartitions, 0x0a};
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=servers/i-0a&stale=1");
  read.range = {Kind::kBackendPartition, core::kFinePartitions, 0xf3};
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=servers/i-f3&stale=1");
  read.range = {Kind::kBackendPartition, core::kCoarsePartitions, 0x0f};
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=servers/i-f&stale=1");
  read.range = {Kind::kBackends};
  read.afterKey = "servers/i-7f";
  BOOST_TEST(items.target(read) == "/kv-range?path-prefix=servers/&after=servers/i-7f&stale=1");
}

BOOST_AUTO_TEST_CASE(server_becomes_registration) {
  const core::StoreReply reply = parseItems(item("servers/i-1fa13cd8c2", kServer));
  BOOST_REQUIRE(reply.changes.size() == 1U);
  BOOST_TEST(reply.revision == 530U);
  BOOST_TEST(reply.hasMore);
  BOOST_TEST(reply.lastKey == "servers/i-1fa13cd8c2");
  const auto& registration = std::get<core::Registration>(reply.changes[0].item);
  BOOST_TEST((registration.id == core::BackendId{0x1fa13cd8c2}));
  BOOST_TEST(registration.service == "web");
  BOOST_TEST(net::formatEndpoint(registration.endpoint) == "10.128.0.9:8080");
  BOOST_TEST(registration.capacity == 2U);
  BOOST_TEST(registration.remainingWarmUp.count() == 700);
  BOOST_TEST((registration.state == core::BackendState::kActive));
}

/// @return a server item as base64-encoded JSON; the given fields are replaced, or removed if null.
std::string server(const nlohmann::json& changes) {
  nlohmann::json entry = {{"service", "web"}, {"address", "10.128.0.9:8080"},
                          {"zone", "a"},      {"version", "v1"},
                          {"capacity", 2},    {"state", "ready"},
                          {"sequence", 4},    {"warmup-left-ms", 0}};
  entry.merge_patch(changes);
  return encodeBase64(entry.dump());
}

BOOST_AUTO_TEST_CASE(start_time_is_read) {
  const core::StoreReply reply =
      parseItems(item("servers/i-1f", server({{"born", 1'700'000'000'123}})));
  const auto& registration = std::get<core::Registration>(reply.changes.at(0).item);
  BOOST_TEST(registration.startedAtMs == 1'700'000'000'123U);
}

// Guards against new flows to a backend whose registration is invalid.
BOOST_AUTO_TEST_CASE(invalid_server_fields_are_unreadable) {
  BOOST_TEST(unreadableReason("servers/i-1f", server({{"zone", nullptr}})) ==
             "missing field 'zone'");
  BOOST_TEST(!unreadableReason("servers/i-1f", server({{"capacity", nullptr}})).empty());
  BOOST_TEST(!unreadableReason("servers/i-1f", server({{"capacity", -1}})).empty());
  BOOST_TEST(!unreadableReason("servers/i-1f", server({{"capacity", "two"}})).empty());
  BOOST_TEST(unreadableReason("servers/i-1f", server({{"capacity", 4294967297}})) ==
             "capacity 4294967297 is above 1048576");
  BOOST_TEST(!unreadableReason("servers/i-1f", server({{"warmup-left-ms", 1e18}})).empty());
  BOOST_TEST(!unreadableReason("servers/i-1f", server({{"born", "today"}})).empty());
  BOOST_TEST(!unreadableReason("servers/i-1f", server({{"state", "asleep"}})).empty());
  BOOST_TEST(!unreadableReason("servers/i-1f", server({{"zone", 7}})).empty());
}

BOOST_AUTO_TEST_CASE(configuration_has_request_and_service_traits) {
  // {"version":7,"routes":[{"name":"r","host":"198.18.0.1","path-prefix":"/8443/","service":"web",
  //  "type":"unsafe","timeout-ms":3000,"latency-goal-ms":250.0,"priority":2,
  //  "allowed-regions":["north"]}],
  //  "services":[{"name":"web","warmup-s":2.5,"warmup-per-s":4.0},{"name":"api"}]}
  constexpr const char* kTraits =
      "eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOlt7Im5hbWUiOiJyIiwiaG9zdCI6IjE5OC4xOC4wLjEiLCJwYXRoLXByZWZp"
      "eCI6Ii84NDQzLyIsInNlcnZpY2UiOiJ3ZWIiLCJ0eXBlIjoidW5zYWZlIiwidGltZW91dC1tcyI6MzAwMCwibGF0"
      "ZW5jeS1nb2FsLW1zIjoyNTAuMCwicHJpb3JpdHkiOjIsImFsbG93ZWQtcmVnaW9ucyI6WyJub3J0aCJdfV0sInNl"
      "cnZpY2VzIjpbeyJuYW1lIjoid2ViIiwid2FybXVwLXMiOjIuNSwid2FybXVwLXBlci1zIjo0LjB9LHsibmFtZSI6"
      "ImFwaSJ9XX0=";
  const core::StoreReply reply = parseItems(item("op/config", kTraits));
  const auto& set = std::get<core::RouteSet>(reply.changes.at(0).item);
  const core::Route& route = set.routes.at(0);
  BOOST_TEST((route.kind == core::RequestKind::kUnsafe));
  BOOST_TEST(route.timeout.count() == 3000);
  BOOST_TEST(route.latencyGoal.count() == 250);
  BOOST_TEST(route.priority == 2U);
  BOOST_TEST(route.allowedRegions.at(0) == "north");
  BOOST_TEST(set.services.at(0).warmUp.count() == 2500);
  BOOST_TEST(set.services.at(0).warmUpRateLimit == 4.0);
  BOOST_TEST(set.services.at(1).warmUpRateLimit == 0.0);
}

BOOST_AUTO_TEST_CASE(evacuation_zone_is_read_from_key) {
  // {} as base64.
  const core::StoreReply reply = parseItems(item("op/evacuate/hall-c", "e30="));
  BOOST_REQUIRE(reply.changes.size() == 1U);
  BOOST_TEST(reply.changes[0].key == "op/evacuate/hall-c");
  BOOST_TEST(std::get<core::ZoneEvacuation>(reply.changes[0].item).zone == "hall-c");
  BOOST_TEST(unreadableReason("op/evacuate/", "e30=") == "evacuation without a zone name");
}

BOOST_AUTO_TEST_CASE(configuration_becomes_routes) {
  const core::StoreReply reply = parseItems(item("op/config", kConfig));
  const auto& routes = std::get<core::RouteSet>(reply.changes.at(0).item);
  BOOST_TEST(routes.version == 7U);
  BOOST_TEST(routes.idleTimeout.count() == 15000);
  BOOST_REQUIRE(routes.routes.size() == 2U);
  BOOST_TEST(net::formatEndpoint(routes.routes[0].endpoint) == "198.18.0.1:8443");
  BOOST_TEST(routes.routes[0].targets[1].weight == 10U);
  BOOST_TEST(routes.routes[1].targets[0].service == "api");
}

BOOST_AUTO_TEST_CASE(events_report_removals_and_other_keys_are_skipped) {
  const core::StoreReply reply =
      parse(200, R"({"events":[{"key":"servers/i-1","revision":5,"gone":true},
                        {"key":"other/x","revision":6,"value":""}],"at":6})");
  BOOST_REQUIRE(reply.changes.size() == 1U);
  BOOST_TEST(std::holds_alternative<core::RemovedItem>(reply.changes[0].item));
  BOOST_TEST(reply.lastKey == "other/x");
}

BOOST_AUTO_TEST_CASE(unreadable_item_has_reason) {
  BOOST_TEST(unreadableReason("servers/i-1", "???") == "value is not valid base64");
  BOOST_TEST(unreadableReason("servers/i-xyz", kServer) == "id is not a hexadecimal number");
  BOOST_TEST(!unreadableReason("servers/i-1", "e30=").empty());
  BOOST_TEST(!unreadableReason("op/config", "e30=").empty());
  BOOST_TEST(!unreadableReason("op/config", "bm8=").empty());
}

BOOST_AUTO_TEST_CASE(statuses_map_to_outcomes) {
  BOOST_TEST((parse(410, "").outcome == ReadOutcome::kHistoryGone));
  BOOST_TEST((parse(429, "").outcome == ReadOutcome::kThrottled));
  BOOST_TEST((parse(503, "").outcome == ReadOutcome::kUnavailable));
  BOOST_TEST((parse(200, "{\"items\":[").outcome == ReadOutcome::kMalformed));
  BOOST_TEST((parse(200, "{}").outcome == ReadOutcome::kMalformed));
}

BOOST_AUTO_TEST_CASE(store_era_is_read_from_every_response) {
  const platform::StoreItems items;
  const auto eraOf = [&items](int status, const std::string& era) {
    return items
        .parse({net::HttpFailure::kNone, status, {{"store-era", era}}, R"({"items":[],"at":5})"})
        .revision.era;
  };
  BOOST_TEST((eraOf(200, "3") == core::StoreEra{3}));
  BOOST_TEST((eraOf(410, "3") == core::StoreEra{3}));
  BOOST_TEST((eraOf(503, "3") == core::StoreEra{3}));
  BOOST_TEST((parse(200, R"({"items":[],"at":5})").revision.era == core::StoreEra{0}));
}

BOOST_AUTO_TEST_CASE(invalid_store_era_makes_response_malformed) {
  const platform::StoreItems items;
  for (const std::string era : {"x", "-1", "3x", "99999999999999999999"}) {
    const core::StoreReply reply =
        items.parse({net::HttpFailure::kNone, 200, {{"store-era", era}}, R"({"items":[],"at":5})"});
    BOOST_TEST((reply.outcome == ReadOutcome::kMalformed));
    BOOST_TEST(reply.reason == "era '" + era + "' is not a number");
  }
}

/// @return the JSON text as msgpack.
std::string asMsgpack(const std::string& text) {
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(nlohmann::json::parse(text));
  return {bytes.begin(), bytes.end()};
}

// Guards against a msgpack response that yields other items than the same response in JSON.
BOOST_AUTO_TEST_CASE(msgpack_and_json_responses_are_equivalent) {
  const std::string text = R"({"items":[)" + item("op/config", kConfig) + "," +
                           item("servers/i-7f", kServer) + R"(],"has-more":true,"at":530})";
  const core::StoreReply json = parse(200, text);
  const core::StoreReply msgpack = parse(200, asMsgpack(text));
  BOOST_TEST(msgpack.revision == 530U);
  BOOST_TEST(msgpack.hasMore);
  BOOST_REQUIRE(msgpack.changes.size() == 2U);
  BOOST_TEST((std::get<core::RouteSet>(msgpack.changes[0].item).routes ==
              std::get<core::RouteSet>(json.changes[0].item).routes));
  BOOST_TEST((std::get<core::Registration>(msgpack.changes[1].item) ==
              std::get<core::Registration>(json.changes[1].item)));
}

BOOST_AUTO_TEST_CASE(truncated_or_oversized_msgpack_is_malformed) {
  const std::string complete = asMsgpack(R"({"events":[],"at":530})");
  BOOST_TEST((parse(200, complete).outcome == ReadOutcome::kSucceeded));
  for (std::size_t size = 0; size < complete.size(); ++size) {
    const core::StoreReply reply = parse(200, complete.substr(0, size));
    BOOST_TEST((reply.outcome == ReadOutcome::kMalformed));
  }
  const std::vector<std::string> malformed{
      "\xdd\xff\xff\xff\xff",                               // A list of 4 billion.
      "\xdf\xff\xff\xff\xff",                               // A table of 4 billion.
      std::string(1000, '\x91'),                            // Lists in lists.
      complete + complete,                                  // Two documents.
      std::string("\x81\xa2").append("at").append("\xff"),  // A negative revision.
  };
  for (const std::string& bytes : malformed) {
    const core::StoreReply reply = parse(200, bytes);
    BOOST_TEST((reply.outcome == ReadOutcome::kMalformed));
    BOOST_TEST(!reply.reason.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
