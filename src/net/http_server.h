/// @file
/// Asynchronous HTTP server for GET requests: readiness, metrics and admin pages. Uses http-parser.
/// Limits the number of connections to protect the process's file descriptors; beyond the limit, a
/// new connection replaces the oldest.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
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

/// Maximum time from the end of a response, or the start of the connection, to the end of the next
/// response. Received bytes do not extend it.
inline constexpr std::chrono::milliseconds kExchangeTimeout{10'000};

class HttpServer {
 public:
  /// Called with the path of each GET request, without its query.
  using Handler = std::function<HttpResponse(const std::string& path)>;

  /// Called with the path and the reason if the handler throws.
  using FailureListener = std::function<void(const std::string& path, const char* reason)>;

  /// @param handler may throw std::exception; the response is then status 500.
  HttpServer(asio::io_context& context, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return false if the endpoint cannot be bound; see lastReason().
  bool open(const core::Endpoint& endpoint);
  std::uint16_t port() const;
  void setFailureListener(FailureListener listener);
  /// @return the number of requests whose handler threw.
  std::uint64_t failures() const;
  /// Sets the maximum time of one request and its response, for later requests.
  void setExchangeTimeout(std::chrono::milliseconds timeout);
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
