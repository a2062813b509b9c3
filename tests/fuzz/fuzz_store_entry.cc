/// @file
/// libFuzzer target: the value of an item of the store, as another writer may put it there. It must
/// not affect the other items of the response.
#include <cstdlib>
#include <msgpack.hpp>

#include "platform/store_items.h"
#include "support/base64.h"

namespace {

using namespace cobaltgauge;

void packItem(msgpack::packer<msgpack::sbuffer>& packer, const std::string& key,
              const std::string& value, std::uint64_t revision) {
  packer.pack_map(3);
  packer.pack(std::string("key")).pack(key);
  packer.pack(std::string("value")).pack(value);
  packer.pack(std::string("revision")).pack(revision);
}

/// @return a listing with the value as a registration, as the configuration, and a valid item.
std::string makeListing(const std::string& value) {
  const std::string valid =
      R"({"service":"web","address":"10.0.0.9:80","zone":"a","capacity":2,"state":"ready"})";
  msgpack::sbuffer buffer;
  msgpack::packer packer(buffer);
  packer.pack_map(2);
  packer.pack(std::string("at")).pack(9);
  packer.pack(std::string("items")).pack_array(3);
  packItem(packer, "op/config", value, 1);
  packItem(packer, "servers/i-1", value, 2);
  packItem(packer, "servers/i-2", tests::encodeBase64(valid), 3);
  return {buffer.data(), buffer.size()};
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr int kOk = 200;
  constexpr std::size_t kMaxReasonBytes = 500;
  const core::StoreReply reply = platform::StoreItems().parse(
      {net::HttpFailure::kNone,
       kOk,
       {},
       makeListing(tests::encodeBase64({reinterpret_cast<const char*>(data), size}))});
  const bool isWhole = reply.outcome == core::ReadOutcome::kSucceeded &&
                       reply.changes.size() == 3 &&
                       std::holds_alternative<core::Registration>(reply.changes[2].item);
  if (!isWhole) {
    std::abort();
  }
  for (const core::StoreChange& change : reply.changes) {
    const auto* unreadable = std::get_if<core::UnreadableItem>(&change.item);
    if (unreadable != nullptr &&
        (unreadable->reason.empty() || unreadable->reason.size() > kMaxReasonBytes)) {
      std::abort();
    }
  }
  return 0;
}
