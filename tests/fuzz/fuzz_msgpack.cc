/// @file
/// libFuzzer target: MessagePack parser. What it accepts must be safe to print and copy.
#include <cstdlib>
#include <sstream>

#include "decoding/msgpack_parser.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge::decoding;
  MsgpackParser parser({.MaxBytes = 2U << 20U, .MaxDepth = 16, .MaxValues = 1U << 19U});
  const auto root = parser.Parse({reinterpret_cast<const char*>(data), size});
  if (!root) {
    if (parser.GetLastReason().empty() || parser.GetLastReason().size() > 100) {
      std::abort();
    }
    return 0;
  }
  const msgpack::object_handle copy = msgpack::clone(root->get());
  std::ostringstream out;
  out << copy.get();
  return 0;
}
