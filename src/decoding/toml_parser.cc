#include "decoding/toml_parser.h"

#include <utility>

#include "decoding/excerpt.h"

namespace cobaltgauge::decoding {
namespace {

/// Maximum number of parts of a dotted key.  Values nest up to 256 deep, so
/// tables nest up to 4,096 deep.
constexpr std::size_t kMaxKeyParts = 32;
constexpr std::size_t kMaxReasonBytes = 300;

/// Find a key with too many parts.  Dots are counted in strings and comments
/// too: what looks like their begin may be part of a quoted key.
/// \return its line, counted from one, or zero if there is none.
std::size_t FindLongKey(std::string_view text)
{
  std::size_t line = 1;
  std::size_t parts = 1;
  for (const char character : text) {
    if (character == '.') {
      if (++parts > kMaxKeyParts) {
        return line;
      }
    } else if (std::string_view("\n=,[]{}").find(character) !=
               std::string_view::npos) {
      parts = 1;
      line += character == '\n' ? 1 : 0;
    }
  }
  return 0;
}

} // namespace

std::nullopt_t TomlParser::Fail(std::size_t line, std::string reason)
{
  this->LastLine = line;
  this->LastReason = std::move(reason);
  return std::nullopt;
}

std::optional<toml::table> TomlParser::Parse(std::string_view text)
{
  if (text.size() > kMaxTomlBytes) {
    return this->Fail(0,
                      "more than " + std::to_string(kMaxTomlBytes) + " bytes");
  }
  if (const std::size_t line = FindLongKey(text)) {
    return this->Fail(line,
                      "more than " + std::to_string(kMaxKeyParts - 1) +
                        " dots without a separator");
  }
  try {
    return toml::parse(text);
  } catch (const toml::parse_error& error) {
    return this->Fail(error.source().begin.line,
                      Excerpt(error.description(), kMaxReasonBytes));
  }
}

} // namespace cobaltgauge::decoding
