/// @file
/// Asynchronous HTTP server for GET requests: readiness, metrics and admin pages. Uses http-parser.
/// Limits the number of connections to protect the process's file descriptors.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/types.h"

namespace cobaltgauge::net {

struct HttpResponse {
  int status = 200;
  std::string contentType = "text/plain";
  std::string body;
};

class HttpServer {
 public:
  /// Called with the path of each GET request, without its query.
  using Handler = std::function<HttpResponse(const std::string& path)>;

  HttpServer(asio::io_context& context, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return false if the endpoint cannot be bound; see lastReason().
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
