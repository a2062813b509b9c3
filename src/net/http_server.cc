#include "net/http_server.h"

#include <http_parser.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <list>
#include <utility>

#include "net/address.h"

namespace cobaltgauge::net {
namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kMaxTargetBytes = 4096;
/// Requests have no use for a body; a short one is ignored. The parser limits the header.
constexpr std::size_t kMaxBodyBytes = 4096;
constexpr std::size_t kMaxConnections = 64;
constexpr int kMethodNotAllowed = 405;
constexpr int kInternalServerError = 500;

const char* reasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case kMethodNotAllowed:
      return "Method Not Allowed";
    case kInternalServerError:
      return "Internal Server Error";
    default:
      return "Service Unavailable";
  }
}

std::string render(const HttpResponse& response, bool keepAlive) {
  return "HTTP/1.1 " + std::to_string(response.status) + " " + reasonPhrase(response.status) +
         "\r\nContent-Type: " + response.contentType +
         "\r\nContent-Length: " + std::to_string(response.body.size()) +
         (keepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n") + response.body;
}

}  // namespace

struct HttpServer::Shared {
  Handler handler;
  FailureListener onFailure;
  std::uint64_t failures = 0;
  std::list<Connection*> connections;  ///< Oldest first.
  std::chrono::milliseconds exchangeTimeout = kExchangeTimeout;
  bool closed = false;
};

/// A connection; handles its requests one after another.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), deadline_(socket_.get_executor()), shared_(std::move(shared)) {
    position_ = shared_->connections.insert(shared_->connections.end(), this);
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    settings_ = http_parser_settings{};
    settings_.on_url = [](http_parser* parser, const char* data, std::size_t size) {
      return static_cast<Connection*>(parser->data)->onTarget(data, size);
    };
    settings_.on_body = [](http_parser* parser, const char*, std::size_t size) {
      return static_cast<Connection*>(parser->data)->onBody(size);
    };
    settings_.on_message_complete = [](http_parser* parser) {
      static_cast<Connection*>(parser->data)->complete_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
  }
  ~Connection() { shared_->connections.erase(position_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Waits for a request and answers it.
  void serve() {
    deadline_.expires_after(shared_->exchangeTimeout);
    deadline_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      if (const auto self = weak.lock(); self != nullptr && !error) {
        self->close();
      }
    });
    receive();
  }

  void close() {
    deadline_.cancel();
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

 private:
  void receive() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
          if (error || self->shared_->closed) {
            self->close();
            return;
          }
          self->parse(size);
        });
  }

  int onTarget(const char* data, std::size_t size) {
    target_.append(data, size);
    return target_.size() > kMaxTargetBytes ? 1 : 0;
  }

  int onBody(std::size_t size) {
    bodyBytes_ += size;
    return bodyBytes_ > kMaxBodyBytes ? 1 : 0;
  }

  void parse(std::size_t size) {
    http_parser_execute(&parser_, &settings_, buffer_.data(), size);
    if (complete_) {
      respond();
    } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      close();
    } else {
      receive();
    }
  }

  void respond() {
    const bool keepAlive = http_should_keep_alive(&parser_) != 0;
    const std::string path = target_.substr(0, target_.find('?'));
    const HttpResponse response = parser_.method == HTTP_GET
                                      ? handle(path)
                                      : HttpResponse{kMethodNotAllowed, "text/plain", "GET only\n"};
    output_ = render(response, keepAlive);
    asio::async_write(
        socket_, asio::buffer(output_),
        [self = shared_from_this(), keepAlive](const asio::error_code& error, std::size_t) {
          if (error || !keepAlive || self->shared_->closed) {
            self->close();
            return;
          }
          self->reset();
          self->serve();
        });
  }

  /// A page that cannot be built is an error of the request, not of the process.
  HttpResponse handle(const std::string& path) {
    try {
      return shared_->handler(path);
    } catch (const std::exception& error) {
      ++shared_->failures;
      if (shared_->onFailure) {
        shared_->onFailure(path, error.what());
      }
      return {kInternalServerError, "text/plain", "the page could not be built\n"};
    }
  }

  void reset() {
    complete_ = false;
    target_.clear();
    bodyBytes_ = 0;
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer deadline_;
  std::shared_ptr<Shared> shared_;
  std::list<Connection*>::iterator position_;
  std::array<char, kReadBytes> buffer_{};
  std::string target_;
  std::size_t bodyBytes_ = 0;
  std::string output_;
  http_parser parser_{};
  http_parser_settings settings_{};
  bool complete_ = false;
};

HttpServer::HttpServer(asio::io_context& context, Handler handler)
    : acceptor_(context), shared_(std::make_shared<Shared>()) {
  shared_->handler = std::move(handler);
}

HttpServer::~HttpServer() { shared_->closed = true; }

bool HttpServer::open(const core::Endpoint& endpoint) {
  const asio::ip::tcp::endpoint local = toTcp(endpoint);
  asio::error_code error;
  acceptor_.open(local.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(local, error);
  }
  if (!error) {
    acceptor_.listen(static_cast<int>(kMaxConnections), error);
  }
  if (error) {
    lastReason_ = "cannot listen on " + formatEndpoint(endpoint) + ": " + error.message();
    return false;
  }
  accept();
  return true;
}

void HttpServer::setFailureListener(FailureListener listener) {
  shared_->onFailure = std::move(listener);
}

std::uint64_t HttpServer::failures() const { return shared_->failures; }

void HttpServer::setExchangeTimeout(std::chrono::milliseconds timeout) {
  shared_->exchangeTimeout = timeout;
}

std::uint16_t HttpServer::port() const { return acceptor_.local_endpoint().port(); }

void HttpServer::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      // A new client is served even if others hold all connections open.
      if (shared_->connections.size() >= kMaxConnections) {
        shared_->connections.front()->close();
      }
      std::make_shared<Connection>(std::move(socket), shared_)->serve();
    }
    accept();
  });
}

}  // namespace cobaltgauge::net
