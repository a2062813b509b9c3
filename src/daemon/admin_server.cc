#include "daemon/admin_server.h"

#include <httplib.h>

#include <chrono>

#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

/// Requests have no use for a body.
constexpr std::size_t kMaxRequestBytes = 4096;
constexpr auto kReadTimeout = std::chrono::seconds(2);

}  // namespace

AdminServer::AdminServer(std::function<AdminResponse(const AdminRequest&)> handler)
    : handler_(std::move(handler)), server_(std::make_unique<httplib::Server>()) {
  server_->set_payload_max_length(kMaxRequestBytes);
  server_->set_read_timeout(kReadTimeout);
  server_->new_task_queue = [] { return new httplib::ThreadPool(1); };
  server_->Get(".*", [this](const httplib::Request& request, httplib::Response& response) {
    const AdminResponse adminResponse = handler_({request.path, request.get_param_value("flow")});
    response.status = adminResponse.status;
    response.set_content(adminResponse.body, adminResponse.contentType);
  });
}

AdminServer::~AdminServer() {
  server_->stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool AdminServer::open(const core::Endpoint& endpoint) {
  const std::string host = net::formatAddress(endpoint.address);
  int port = endpoint.port;
  const bool bound =
      port == 0 ? (port = server_->bind_to_any_port(host)) > 0 : server_->bind_to_port(host, port);
  if (!bound) {
    lastReason_ = "cannot bind admin endpoint " + net::formatEndpoint(endpoint);
    return false;
  }
  port_ = static_cast<std::uint16_t>(port);
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  return true;
}

}  // namespace cobaltgauge::daemon
