/// @file
/// Answers GET requests on the caller's event loop: readiness, metrics and operators' pages.
/// Parsing is http-parser's. Bounded in connections, so that nobody can use up the descriptors.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/types.h"

namespace cobaltgauge::net {

/// One handler.
struct HttpResponse {
  int status = 200;
  std::string contentType = "text/plain";
  std::string body;
};

class HttpServer {
 public:
  /// @param handler called with the path of each GET, without its query.
  using Handler = std::function<HttpResponse(const std::string& path)>;

  HttpServer(asio::io_context& context, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return false where the endpoint cannot be bound; see lastReason().
  bool open(const core::Endpoint& endpoint);
  std::uint16_t port() const;
  const std::string& lastReason() const { return lastReason_; }

 private:
  class Connection;
  struct Shared;

  void accept();

  asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<Shared> shared_;
  std::string lastReason_;
};

}  // namespace cobaltgauge::net
