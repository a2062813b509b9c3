/// @file
/// libFuzzer target: single texts from outside the process: names, addresses, excerpts and values
/// of log lines.
#include <algorithm>
#include <cstdlib>

#include "daemon/log.h"
#include "decoding/excerpt.h"
#include "decoding/name_check.h"
#include "net/address.h"

namespace {

bool isPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character >= ' ' && character <= '~'; });
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge;
  constexpr std::size_t kMaxEscapedBytes = 6;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const std::string excerpt = decoding::Excerpt(text);
  const std::string value = daemon::formatLogValue(text);
  const bool isBounded = excerpt.size() <= decoding::kMaxExcerptBytes * kMaxEscapedBytes + 3 &&
                         value.size() <= daemon::kMaxLogValueBytes * kMaxEscapedBytes + 5;
  if (!isBounded || !isPrintable(excerpt) || !isPrintable(value)) {
    std::abort();
  }
  if (decoding::IsName(text) && size > decoding::kMaxNameBytes) {
    std::abort();
  }
  if (const auto endpoint = net::parseEndpoint(text)) {
    if (net::parseEndpoint(net::formatEndpoint(*endpoint)) != endpoint) {
      std::abort();
    }
  }
  return 0;
}
