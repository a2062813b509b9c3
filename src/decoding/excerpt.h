/// @file
/// Shortens text from outside the process for logs and messages.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cobaltgauge::decoding {

/// Maximum number of bytes that Excerpt() takes from a text.
inline constexpr std::size_t kMaxExcerptBytes = 60;

/// Get the start of a text in printable ASCII, to be put in quotes.  Other
/// characters, double quotes and backslashes are escaped as in JSON; invalid
/// UTF-8 becomes U+FFFD.
/// \return at most six bytes for each byte taken, and "..." if the text was
///         shortened.
std::string Excerpt(std::string_view text,
                    std::size_t maxBytes = kMaxExcerptBytes);

} // namespace cobaltgauge::decoding
