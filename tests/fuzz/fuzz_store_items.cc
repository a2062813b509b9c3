/// @file
/// libFuzzer target: responses of the platform's store, applied to a view and to a store
/// reader while the store era changes as in a restore.
#include "core/backend_registry.h"
#include "core/store_reader.h"
#include "core/view_updater.h"
#include "platform/store_items.h"
#include "sim/seeded_random.h"

namespace {

using namespace cobaltgauge;
using namespace std::chrono_literals;

struct View {
  core::EqualWeights weights;
  core::BackendRegistry backends{60s, weights};
  core::RouteTable routes{1};
  core::ViewUpdater updater{backends, routes, [](const core::ViewChange&) {}};
};

core::StoreReply parse(const std::string& body, std::uint8_t era) {
  constexpr int kOk = 200;
  return platform::StoreItems().parse(
      {net::HttpFailure::kNone, kOk, {{"store-era", std::to_string(era)}}, body});
}

/// Delivers the response repeatedly, with store eras taken from its bytes.
void feedReader(const std::string& body) {
  View view;
  sim::SeededRandom random(1);
  core::StoreReader reader(view.updater, random);
  core::Time now = 100s;
  for (std::size_t i = 0; i < std::min<std::size_t>(body.size(), 8); ++i) {
    now = std::max(now, reader.nextReadAt());
    if (reader.nextRead(now)) {
      reader.onReply(parse(body, static_cast<std::uint8_t>(body[i]) % 4), now);
    }
  }
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string body(reinterpret_cast<const char*>(data), size);
  const core::StoreReply reply = parse(body, 0);
  View view;
  for (const core::StoreChange& change : reply.changes) {
    view.updater.onChange(change, 100s);
  }
  view.updater.onListed({}, reply.revision, 100s);
  feedReader(body);
  return 0;
}
