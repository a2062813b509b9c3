/// @file
/// libFuzzer target: JSON parser. What it accepts must be safe to print, convert and copy.
#include <cstdlib>

#include "decoding/json_parser.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge::decoding;
  JsonParser parser({.MaxBytes = 2U << 20U, .MaxDepth = 16, .MaxValues = 1U << 19U});
  const auto root = parser.Parse({reinterpret_cast<const char*>(data), size});
  if (!root) {
    if (parser.GetLastReason().empty() || parser.GetLastReason().size() > 100) {
      std::abort();
    }
    return 0;
  }
  nlohmann::json copy;
  copy = *root;
  const std::string text = copy.dump();
  const auto packed = nlohmann::json::to_msgpack(copy);
  const auto again = parser.Parse(text);
  if (packed.empty() || !again || *again != copy) {
    std::abort();
  }
  return 0;
}
