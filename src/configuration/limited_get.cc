#include "configuration/limited_get.h"

#include <chrono>

#include "configuration/configuration_json.h"

namespace cobaltgauge::configuration {
namespace {

constexpr auto kMaxTransferTime = std::chrono::seconds(30);

}  // namespace

std::optional<httplib::Response> getLimited(httplib::Client& client, const std::string& target,
                                            const httplib::Headers& headers, std::string& reason) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxTransferTime;
  std::string body;
  const char* violation = nullptr;
  const auto receive = [&](const char* data, std::size_t size) {
    if (body.size() + size > kMaxConfigurationBytes) {
      violation = "the response is too large";
    } else if (std::chrono::steady_clock::now() > deadline) {
      violation = "the response takes too long";
    } else {
      body.append(data, size);
    }
    return violation == nullptr;
  };
  const httplib::Result result = client.Get(target, headers, receive);
  if (!result) {
    reason = violation != nullptr ? violation : httplib::to_string(result.error());
    return std::nullopt;
  }
  httplib::Response response = *result;
  response.body = std::move(body);
  return response;
}

}  // namespace cobaltgauge::configuration
