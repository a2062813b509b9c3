/// @file
/// Result of an HTTP request.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cobaltgauge::net {

/// Maximum size of the body of a response.
inline constexpr std::size_t kMaxResponseBytes = 8U << 20U;

enum class HttpFailure : std::uint8_t {
  kNone,
  kTimedOut,
  kConnectionLost,
  kMalformed,
  kTooLarge,  ///< The body exceeds kMaxResponseBytes.
};

/// Response or failure of a request; on failure only `failure` and `reason` are valid.
struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  int status = 0;
  std::map<std::string, std::string> headers =
      {};  ///< Names in lower case; the last value of repeated headers.
  std::string body = {};
  std::string reason = {};  ///< Describes a failure.

  /// @param name header name in lower case.
  /// @return the value, or an empty view if the response lacks the header.
  std::string_view header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
  }
};

}  // namespace cobaltgauge::net
