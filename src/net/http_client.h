/// @file
/// Asynchronous HTTP/1.1 client with one persistent connection and one request at a time. Uses
/// http-parser. TCP keepalive and TCP_USER_TIMEOUT detect a dead connection during long polls.
#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "core/types.h"
#include "net/http_result.h"

namespace cobaltgauge::net {

class HttpClient {
 public:
  using Handler = std::function<void(const HttpResult&)>;

  HttpClient(asio::io_context& context, const core::Endpoint& server);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a GET request. `handler` is called once, unless cancel() is called first.
  /// @param target encoded path and query.
  /// @param timeout maximum time without received data; a response may take longer in total.
  void get(const std::string& target, std::chrono::milliseconds timeout, Handler handler);

  /// Calls `listener` after each received part of a response except the last one.
  void setProgressListener(std::function<void()> listener) { onProgress_ = std::move(listener); }

  /// Aborts the current request and closes the connection.
  void cancel();

 private:
  class Exchange;

  asio::io_context& context_;
  core::Endpoint server_;
  std::function<void()> onProgress_;
  std::shared_ptr<Exchange> exchange_;
};

}  // namespace cobaltgauge::net
