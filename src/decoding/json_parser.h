/// @file
/// Parses JSON documents from outside the process with nlohmann::json.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "decoding/decoding_limits.h"

namespace cobaltgauge::decoding {

/** \class JsonParser
 * \brief Parse JSON within limits.
 *
 * The tree type of the library is converted, printed and copied by functions
 * that call themselves once for each level.  A document is therefore scanned
 * without building anything first, and the tree is built only if it is within
 * the limits.
 */
class JsonParser
{
public:
  explicit JsonParser(const DecodingLimits& limits)
    : Limits(limits)
  {
  }

  /// Parse a document.
  /// \return nothing if it is invalid or exceeds a limit.
  std::optional<nlohmann::json> Parse(std::string_view text);

  /// Explain the last failure in at most a hundred bytes, none of which come
  /// from the document.
  const std::string& GetLastReason() const { return this->LastReason; }

private:
  DecodingLimits Limits;
  std::string LastReason;
};

} // namespace cobaltgauge::decoding
