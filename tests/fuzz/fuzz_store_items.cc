/// @file
/// libFuzzer target: an answer of the platform's store, and what the view does with it.
#include "core/backend_registry.h"
#include "core/view_updater.h"
#include "platform/store_items.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge;
  constexpr int kOk = 200;
  const std::string body(reinterpret_cast<const char*>(data), size);
  const core::StoreReply reply =
      platform::StoreItems().parse({net::HttpFailure::kNone, kOk, {}, body});
  core::EqualWeights weights;
  core::BackendRegistry backends(std::chrono::seconds(60), weights);
  core::RouteTable routes(1);
  core::ViewUpdater updater(backends, routes, [](const core::ViewChange&) {});
  for (const core::StoreChange& change : reply.changes) {
    updater.onChange(change, std::chrono::seconds(100));
  }
  updater.onListed({}, reply.at, std::chrono::seconds(100));
  return 0;
}
