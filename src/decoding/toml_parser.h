/// @file
/// Parses TOML files with toml++.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <string_view>

namespace cobaltgauge::decoding {

/// Maximum size of a TOML document.
inline constexpr std::size_t kMaxTomlBytes = 1U << 20U;

/** \class TomlParser
 * \brief Parse TOML within limits.
 *
 * toml++ limits the nesting of values, but makes a table in a table for each
 * part of a dotted key, and frees them by a function that calls itself once
 * for each.
 */
class TomlParser
{
public:
  /// Parse a document.
  /// \return nothing if it is invalid or exceeds a limit.
  std::optional<toml::table> Parse(std::string_view text);

  /// Explain the last failure in a few hundred bytes at most.
  const std::string& GetLastReason() const { return this->LastReason; }

  /// Get the line of the last failure, counted from one; zero if it has none.
  std::size_t GetLastLine() const { return this->LastLine; }

private:
  std::nullopt_t Fail(std::size_t line, std::string reason);

  std::string LastReason;
  std::size_t LastLine = 0;
};

} // namespace cobaltgauge::decoding
