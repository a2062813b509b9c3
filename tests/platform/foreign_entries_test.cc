/// Entries that another writer may put into the store. Each names no backend and leaves the other
/// entries of the response in effect.
#include <boost/test/unit_test.hpp>
#include <map>
#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include "platform/store_items.h"
#include "support/base64.h"
#include "support/nested_documents.h"
#include "support/peak_memory.h"

namespace cobaltgauge::tests {
namespace {

constexpr std::size_t kMaxReasonBytes = 500;

nlohmann::json item(const std::string& key, const std::string& value, std::uint64_t revision) {
  return {{"key", key}, {"value", encodeBase64(value)}, {"revision", revision}};
}

std::string validServer() {
  return R"({"service":"web","address":"10.128.0.9:8080","zone":"a","capacity":2,)"
         R"("state":"ready"})";
}

/// @return the reply to a listing that holds the entry between two valid ones, encoded as
///     MessagePack, as bodies are on this platform.
core::StoreReply list(const std::string& key, const std::string& value) {
  const nlohmann::json body = {{"items",
                                {item("servers/i-1", validServer(), 1), item(key, value, 2),
                                 item("servers/i-3", validServer(), 3)}},
                               {"has-more", false},
                               {"at", 9}};
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(body);
  return platform::StoreItems().parse(
      {net::HttpFailure::kNone, 200, {}, std::string(bytes.begin(), bytes.end())});
}

/// Checks that the entry is unreadable, for a short reason, and the others are read.
void checkIsRefused(const std::string& value, const std::string& key = "servers/i-2") {
  const core::StoreReply reply = list(key, value);
  BOOST_REQUIRE(reply.outcome == core::ReadOutcome::kSucceeded);
  BOOST_REQUIRE(reply.changes.size() == 3U);
  BOOST_TEST(std::holds_alternative<core::Registration>(reply.changes[0].item));
  BOOST_TEST(std::holds_alternative<core::Registration>(reply.changes[2].item));
  const auto* unreadable = std::get_if<core::UnreadableItem>(&reply.changes[1].item);
  BOOST_REQUIRE(unreadable != nullptr);
  BOOST_TEST(!unreadable->reason.empty());
  BOOST_TEST(unreadable->reason.size() <= kMaxReasonBytes);
}

std::string inField(const std::string& field, const std::string& json) {
  return "{\"" + field + "\":" + json + "}";
}

BOOST_AUTO_TEST_SUITE(ForeignEntriesTest)

// Guards against the end of every daemon by a stack overflow, again and again, while an entry of
// another writer with deeply nested lists is in the store.
BOOST_AUTO_TEST_CASE(deeply_nested_json_names_no_backend) {
  checkIsRefused(inField("service", nestedLists(250'000)));
  checkIsRefused(inField("service", nestedTables(150'000)));
  checkIsRefused(inField("other", nestedLists(500'000)));
  checkIsRefused(inField("service", std::string(500'000, '[')));
  checkIsRefused(nestedTables(170'000));
  checkIsRefused(inField("routes", nestedLists(250'000)), "op/config");
}

BOOST_AUTO_TEST_CASE(deeply_nested_msgpack_names_no_backend) {
  checkIsRefused(nestedMsgpackLists(1'000'000));
  checkIsRefused("\x81\xa7service" + nestedMsgpackLists(900'000));
  checkIsRefused("\x81\xa6routes" + nestedMsgpackLists(900'000), "op/config");
}

BOOST_AUTO_TEST_CASE(msgpack_that_declares_more_than_it_holds_names_no_backend) {
  std::string bytes;
  while (bytes.size() < 100) {
    bytes += "\xdf\x7f\xff\xff\xff";
  }
  checkIsRefused(bytes);
  checkIsRefused(bytes + std::string(900'000, '\x01'));
}

// Guards against log lines as long as the entry.
BOOST_AUTO_TEST_CASE(reason_is_short_whatever_the_entry_holds) {
  const std::string longText(900'000, 'x');
  checkIsRefused(inField("service", "\"" + longText));
  checkIsRefused(R"({"service":"web","address":")" + longText + R"(","zone":"a"})");
  checkIsRefused(R"({"service":"web","address":"10.0.0.1:1","zone":"a","capacity":2,"state":")" +
                 longText + "\"}");
  checkIsRefused(longText);
  checkIsRefused(inField(longText, "1"));
}

std::string repeat(const std::string& unit, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  return text;
}

// Guards against the end of a daemon on a machine of 256 MB, while it reads an entry of the largest
// size that the store accepts.
BOOST_AUTO_TEST_CASE(entry_of_the_largest_size_costs_a_quarter_of_the_memory) {
  constexpr std::size_t kEntryBytes = 1'000'000;
  constexpr std::int64_t kQuarterKilobytes = 65'536;
  const std::vector<std::string> entries{
      "[0" + repeat(",0", kEntryBytes) + "]",
      R"({"a":[0)" + repeat(",[]", kEntryBytes) + "]}",
      R"({"a":0)" + repeat(R"(,"":0)", kEntryBytes) + "}",
      R"({"a":[0)" + repeat(R"(,{"":0})", kEntryBytes) + "]}",
      R"({"a":")" + repeat("\\u00ff", kEntryBytes) + R"("})",
      "\xdd" + std::string("\x00\x0f\x42\x40", 4) + std::string(kEntryBytes, '\x01'),
      "\xdf" + std::string("\x00\x07\xa1\x20", 4) + std::string(kEntryBytes, '\xa0'),
      repeat("\xdf\xff\xff\xff\xff", kEntryBytes),
      nestedLists(kEntryBytes / 2),
      nestedMsgpackLists(kEntryBytes)};
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto growth = peakGrowthOf([&] { list("servers/i-2", entries[i]); });
    BOOST_TEST_CONTEXT("entry " << i) {
      BOOST_REQUIRE(growth.has_value());
      BOOST_TEST(*growth < kQuarterKilobytes);
    }
  }
}

// Guards against text that a page, a metric or a log could not show.
BOOST_AUTO_TEST_CASE(text_that_is_no_name_is_refused) {
  const auto entry = [](const std::string& field, const std::string& text) {
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    std::map<std::string, std::string> texts{{"service", "web"},
                                             {"address", "10.128.0.9:8080"},
                                             {"zone", "a"},
                                             {"version", "v1"},
                                             {"state", "ready"}};
    texts[field] = text;
    packer.pack_map(static_cast<std::uint32_t>(texts.size()) + 1);
    for (const auto& [name, value] : texts) {
      packer.pack(name).pack(value);
    }
    packer.pack(std::string("capacity")).pack(2);
    return std::string(buffer.data(), buffer.size());
  };
  const core::StoreReply valid = list("servers/i-2", entry("zone", "P\xc3\xb5hja"));
  BOOST_TEST(std::holds_alternative<core::Registration>(valid.changes.at(1).item));
  for (const char* field : {"service", "zone", "version"}) {
    checkIsRefused(entry(field, "\xff\xfe\xff\xfe"));
    checkIsRefused(entry(field, "a\nlevel=info"));
    checkIsRefused(entry(field, std::string(201, 'x')));
    checkIsRefused(entry(field, std::string(900'000, 'x')));
  }
}

BOOST_AUTO_TEST_CASE(evacuation_of_a_zone_that_is_no_name_is_refused) {
  checkIsRefused("{}", "op/evacuate/a\nb");
  checkIsRefused("{}", "op/evacuate/a\x7f");
}

BOOST_AUTO_TEST_CASE(unreadable_item_has_the_size_of_its_value) {
  const core::StoreReply reply = list("servers/i-2", nestedLists(1000));
  BOOST_TEST(std::get<core::UnreadableItem>(reply.changes.at(1).item).size == 2000U);
}

BOOST_AUTO_TEST_CASE(key_beyond_the_limit_names_no_backend) {
  checkIsRefused(validServer(), "servers/i-" + std::string(300'000, '2'));
  const core::StoreReply reply = list("servers/i-" + std::string(300'000, '2'), validServer());
  BOOST_TEST(reply.changes.at(1).key.size() == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
