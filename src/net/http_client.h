/// @file
/// One HTTP/1.1 request at a time over a kept connection, on the caller's event loop. Parsing is
/// http-parser's. Keep-alive probes and TCP_USER_TIMEOUT tell a dead connection while a request
/// waits long for its answer.
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

  /// Sends a GET; `handler` is called once, unless cancel() comes first.
  /// @param timeout longest silence of the server; an answer may take longer while parts arrive.
  /// @param target path and query, already encoded.
  void get(const std::string& target, std::chrono::milliseconds timeout, Handler handler);

  /// Calls `listener` with each part of an answer but the last.
  void setProgressListener(std::function<void()> listener) { onProgress_ = std::move(listener); }

  /// Gives the request under way up and closes the connection.
  void cancel();

 private:
  class Exchange;

  asio::io_context& context_;
  core::Endpoint server_;
  std::function<void()> onProgress_;
  std::shared_ptr<Exchange> exchange_;
};

}  // namespace cobaltgauge::net
