#include "ctl/admin_client.h"

#include "configuration/limited_get.h"
#include "net/address.h"

namespace cobaltgauge::ctl {
namespace {

constexpr int kStatusOk = 200;
constexpr time_t kTimeoutSeconds = 5;

}  // namespace

std::optional<std::string> AdminClient::get(const std::string& path, const std::string& flow) {
  httplib::Client client(net::formatAddress(daemon_.address), daemon_.port);
  client.set_connection_timeout(kTimeoutSeconds);
  client.set_read_timeout(kTimeoutSeconds);
  httplib::Params parameters;
  if (!flow.empty()) {
    parameters.emplace("flow", flow);
  }
  std::string reason;
  const std::optional<httplib::Response> result = configuration::getLimited(
      client, httplib::append_query_params(path, parameters), httplib::Headers{}, reason);
  if (!result) {
    lastReason_ = net::formatEndpoint(daemon_) + path + ": " + reason;
    return std::nullopt;
  }
  if (result->status != kStatusOk) {
    lastReason_ = net::formatEndpoint(daemon_) + path + ": " + result->body;
    return std::nullopt;
  }
  return result->body;
}

}  // namespace cobaltgauge::ctl
