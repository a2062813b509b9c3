/// @file
/// HTTP GET with a limit on the response, by cpp-httplib.
#pragma once

#include <httplib.h>

#include <optional>
#include <string>

namespace cobaltgauge::configuration {

/// Sends a GET request. The response may have at most kMaxConfigurationBytes and may take at most
/// 30 seconds in total.
/// @param reason set if there is no response; does not quote what the server sent.
std::optional<httplib::Response> getLimited(httplib::Client& client, const std::string& target,
                                            const httplib::Headers& headers, std::string& reason);

}  // namespace cobaltgauge::configuration
