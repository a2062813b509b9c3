#include "decoding/name_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cobaltgauge::decoding {
namespace {

bool IsPrintableAscii(unsigned char byte)
{
  return byte >= 0x20 && byte < 0x7f;
}

bool IsValidUtf8(std::string_view text)
{
  try {
    nlohmann::json(text).dump();
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

/// Tell whether valid UTF-8 has a character of U+0000 to U+001F or U+007F to
/// U+009F.
bool HasControlCharacter(std::string_view text)
{
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    const bool isSecondBlock = byte == 0xc2 && i + 1 < text.size() &&
      static_cast<unsigned char>(text[i + 1]) < 0xa0;
    if (byte < 0x20 || byte == 0x7f || isSecondBlock) {
      return true;
    }
  }
  return false;
}

} // namespace

bool IsName(std::string_view text)
{
  if (text.size() > kMaxNameBytes) {
    return false;
  }
  // Nearly all names are ASCII.
  return std::all_of(text.begin(), text.end(), &IsPrintableAscii) ||
    (IsValidUtf8(text) && !HasControlCharacter(text));
}

} // namespace cobaltgauge::decoding
