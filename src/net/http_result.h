/// @file
/// What an HTTP request gave.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cobaltgauge::net {

enum class HttpFailure : std::uint8_t { kNone, kTimedOut, kConnectionLost, kMalformed };

/// What a request gave; the other fields count only without failure.
struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  int status = 0;
  std::map<std::string, std::string> headers =
      {};  ///< Names in lower case; of equal ones the last.
  std::string body = {};
  std::string reason = {};  ///< Of a failure.

  /// @param name in lower case. @return the header's value, empty where the answer has none.
  std::string_view header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
  }
};

}  // namespace cobaltgauge::net
