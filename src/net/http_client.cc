#include "net/http_client.h"

#include <http_parser.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <iterator>
#include <limits>
#include <utility>

#include "net/address.h"

namespace cobaltgauge::net {
namespace {

constexpr std::size_t kReadBytes = 16U << 10U;
/// Shorter than the initial TCP retransmission timeout of one second (RFC 6298), so that a lost SYN
/// is retried sooner by a new connection attempt.
constexpr auto kConnectTimeout = std::chrono::milliseconds(200);
/// A response that keeps arriving has to be complete within the request timeout plus this time.
constexpr auto kMaxResponseDuration = std::chrono::seconds(5);
/// TCP keepalive closes a dead connection after idle time + probe count x interval.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;
/// Maximum time that sent data may remain unacknowledged (TCP_USER_TIMEOUT).
constexpr int kUserTimeoutMilliseconds = 3000;

void setOption(asio::ip::tcp::socket& socket, int level, int name, int value) {
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

}  // namespace

/// A connection and its current request.
class HttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& context, const core::Endpoint& server)
      : server_(toTcp(server)), host_(formatEndpoint(server)), socket_(context), timer_(context) {
    settings_ = http_parser_settings{};
    settings_.on_header_field = [](http_parser* parser, const char* data, std::size_t size) {
      return static_cast<Exchange*>(parser->data)->onHeaderName(data, size);
    };
    settings_.on_header_value = [](http_parser* parser, const char* data, std::size_t size) {
      return static_cast<Exchange*>(parser->data)->onHeaderValue(data, size);
    };
    settings_.on_headers_complete = [](http_parser* parser) {
      return static_cast<Exchange*>(parser->data)->onHeadersComplete();
    };
    settings_.on_body = [](http_parser* parser, const char* data, std::size_t size) {
      return static_cast<Exchange*>(parser->data)->onBody(data, size);
    };
    settings_.on_message_complete = [](http_parser* parser) {
      static_cast<Exchange*>(parser->data)->complete_ = true;
      return 0;
    };
  }

  void start(const std::string& target, std::chrono::milliseconds timeout, Handler handler,
             std::function<void()> onProgress) {
    handler_ = std::move(handler);
    onProgress_ = std::move(onProgress);
    request_ = "GET " + target + " HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n";
    result_ = HttpResult{};
    headerName_.clear();
    inHeaderValue_ = false;
    complete_ = false;
    tooLarge_ = false;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    timeout_ = timeout;
    if (connected_) {
      send();
    } else {
      connect();
    }
  }

  bool isReusable() const { return connected_ && !handler_; }

  void close() {
    handler_ = nullptr;
    connected_ = false;
    timer_.cancel();
    asio::error_code ignored;
    socket_.close(ignored);
  }

 private:
  void setTimeout(std::chrono::milliseconds time, const char* reason) {
    timer_.expires_after(time);
    timer_.async_wait([self = shared_from_this(), reason](const asio::error_code& error) {
      if (!error) {
        self->finish(HttpFailure::kTimedOut, reason);
      }
    });
  }

  // Names and values may arrive in several parts. The parser limits the size of the header.
  int onHeaderName(const char* data, std::size_t size) {
    if (std::exchange(inHeaderValue_, false)) {
      headerName_.clear();
    }
    std::transform(data, data + size, std::back_inserter(headerName_), [](unsigned char character) {
      return static_cast<char>(std::tolower(character));
    });
    return 0;
  }

  int onHeaderValue(const char* data, std::size_t size) {
    std::string& value = result_.headers[headerName_];
    if (!std::exchange(inHeaderValue_, true)) {
      value.clear();
    }
    value.append(data, size);
    return 0;
  }

  /// @return 0 to continue. 1 would mean that the response has no body.
  int onHeadersComplete() {
    constexpr std::uint64_t kUnknown = std::numeric_limits<std::uint64_t>::max();
    const std::uint64_t length = parser_.content_length;
    tooLarge_ = length != kUnknown && length > kMaxResponseBytes;
    return tooLarge_ ? -1 : 0;
  }

  int onBody(const char* data, std::size_t size) {
    tooLarge_ = result_.body.size() + size > kMaxResponseBytes;
    if (!tooLarge_) {
      result_.body.append(data, size);
    }
    return tooLarge_ ? 1 : 0;
  }

  void connect() {
    setTimeout(std::min<std::chrono::milliseconds>(timeout_, kConnectTimeout),
               "connection attempt timed out");
    asio::error_code error;
    socket_.open(server_.protocol(), error);
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
        self->finish(HttpFailure::kConnectionLost, error.message());
      });
      return;
    }
    setOption(socket_, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket_, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket_, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(socket_, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(socket_, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
    setOption(socket_, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
    socket_.async_connect(server_, [self = shared_from_this()](const asio::error_code& failure) {
      if (failure) {
        self->finish(HttpFailure::kConnectionLost, failure.message());
        return;
      }
      self->connected_ = true;
      self->send();
    });
  }

  void send() {
    deadline_ = asio::steady_timer::clock_type::now() + timeout_ + kMaxResponseDuration;
    setTimeout(timeout_, "response timed out");
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        if (error) {
                          self->finish(HttpFailure::kConnectionLost, error.message());
                          return;
                        }
                        self->receive();
                      });
  }

  void receive() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
          self->onReceived(error, size);
        });
  }

  void onReceived(const asio::error_code& error, std::size_t size) {
    if (!handler_) {
      return;
    }
    // A length of zero signals the end of the connection, which may complete the body.
    const std::size_t length = error ? 0 : size;
    const std::size_t parsed = http_parser_execute(&parser_, &settings_, buffer_.data(), length);
    if (complete_) {
      result_.status = parser_.status_code;
      connected_ = !error && http_should_keep_alive(&parser_) != 0;
      finish(HttpFailure::kNone, "");
    } else if (error) {
      finish(HttpFailure::kConnectionLost, error.message());
    } else if (tooLarge_) {
      finish(HttpFailure::kTooLarge,
             "the response has more than " + std::to_string(kMaxResponseBytes) + " bytes");
    } else if (parsed != length || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      finish(HttpFailure::kMalformed, http_errno_description(HTTP_PARSER_ERRNO(&parser_)));
    } else {
      onProgress();
      receive();
    }
  }

  void onProgress() {
    if (asio::steady_timer::clock_type::now() < deadline_) {
      setTimeout(timeout_, "incomplete response timed out");
    }
    if (onProgress_) {
      onProgress_();
    }
  }

  void finish(HttpFailure failure, std::string reason) {
    if (!handler_) {
      return;
    }
    Handler handler = std::exchange(handler_, nullptr);
    timer_.cancel();
    result_.failure = failure;
    result_.reason = std::move(reason);
    if (failure != HttpFailure::kNone || !connected_) {
      close();
    }
    const HttpResult result = std::move(result_);
    handler(result);
  }

  asio::ip::tcp::endpoint server_;
  std::string host_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, kReadBytes> buffer_{};
  std::string request_;
  std::chrono::milliseconds timeout_{0};
  asio::steady_timer::time_point deadline_;
  std::function<void()> onProgress_;
  Handler handler_;
  HttpResult result_;
  std::string headerName_;  ///< Name of the header being received.
  bool inHeaderValue_ = false;
  http_parser parser_{};
  http_parser_settings settings_{};
  bool connected_ = false;
  bool complete_ = false;
  bool tooLarge_ = false;
};

HttpClient::HttpClient(asio::io_context& context, const core::Endpoint& server)
    : context_(context), server_(server) {}

HttpClient::~HttpClient() { cancel(); }

void HttpClient::get(const std::string& target, std::chrono::milliseconds timeout,
                     Handler handler) {
  if (exchange_ == nullptr || !exchange_->isReusable()) {
    cancel();
    exchange_ = std::make_shared<Exchange>(context_, server_);
  }
  exchange_->start(target, timeout, std::move(handler), onProgress_);
}

void HttpClient::cancel() {
  if (exchange_ != nullptr) {
    exchange_->close();
    exchange_.reset();
  }
}

}  // namespace cobaltgauge::net
