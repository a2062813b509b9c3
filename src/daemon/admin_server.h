/// @file
/// HTTP server of the admin pages. Read-only.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "core/types.h"

namespace httplib {
class Server;
}

namespace cobaltgauge::daemon {

/// A GET request for an admin page.
struct AdminRequest {
  std::string path;  ///< Without the query string.
  std::string flow;  ///< Query parameter of /explain, such as "udp SOURCE:PORT DESTINATION:PORT".
};

struct AdminResponse {
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
};

class AdminServer {
 public:
  /// @param handler called on the server's thread; has to synchronize with the daemon's thread.
  explicit AdminServer(std::function<AdminResponse(const AdminRequest&)> handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Binds the endpoint and starts the server's thread; port 0 selects a free port.
  /// @return false if the endpoint cannot be bound; see lastReason().
  bool open(const core::Endpoint& endpoint);
  std::uint16_t port() const { return port_; }
  const std::string& lastReason() const { return lastReason_; }

 private:
  std::function<AdminResponse(const AdminRequest&)> handler_;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
  std::uint16_t port_ = 0;
  std::string lastReason_;
};

}  // namespace cobaltgauge::daemon
