/// @file
/// Checks names from outside the process that go to logs, metrics and pages.
#pragma once

#include <cstddef>
#include <string_view>

namespace cobaltgauge::decoding {

/// Maximum size of a name: that of a key, which may contain one.
inline constexpr std::size_t kMaxNameBytes = 200;

/// Tell whether a text is valid UTF-8 without control characters and has at
/// most kMaxNameBytes.
bool IsName(std::string_view text);

} // namespace cobaltgauge::decoding
