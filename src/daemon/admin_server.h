/// @file
/// HTTP admin page: metrics as text, and the daemon's view as JSON. Read-only.
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

/// One question of an operator.
struct AdminRequest {
  std::string path;  ///< Without query.
  std::string flow;  ///< Parameter of /explain: "udp SOURCE DESTINATION".
};

struct AdminResponse {
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
};

class AdminServer {
 public:
  /// @param handler called on the server's thread; must hand over to the daemon's thread itself.
  explicit AdminServer(std::function<AdminResponse(const AdminRequest&)> handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// @return false where the endpoint cannot be bound; see lastReason().
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
