/// @file
/// Parses MessagePack documents from outside the process with msgpack-c.
#pragma once

#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "decoding/decoding_limits.h"

namespace cobaltgauge::decoding {

/** \class MsgpackParser
 * \brief Parse MessagePack within limits.
 *
 * The header of a list or table declares how many values follow, and the
 * library allocates that many before it reads the first.  A document is
 * therefore scanned without allocating anything first: it may declare no more
 * values than it has bytes.
 */
class MsgpackParser
{
public:
  explicit MsgpackParser(const DecodingLimits& limits)
    : Limits(limits)
  {
  }

  /// Parse a document, which must take up all bytes.
  /// \return the root, whose strings refer to `bytes`; nothing if the document
  ///         is invalid or exceeds a limit.
  std::optional<msgpack::object_handle> Parse(std::string_view bytes);

  /// Explain the last failure in at most a hundred bytes, none of which come
  /// from the document.
  const std::string& GetLastReason() const { return this->LastReason; }

private:
  std::nullopt_t Fail(std::string reason);

  DecodingLimits Limits;
  std::string LastReason;
};

} // namespace cobaltgauge::decoding
