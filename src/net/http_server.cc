#include "net/http_server.h"

#include <http_parser.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <utility>

#include "net/address.h"

namespace cobaltgauge::net {
namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kMaxTargetBytes = 4096;
constexpr int kMaxConnections = 64;
/// Closes unresponsive connections, so that they do not use up the connection limit.
constexpr auto kIdleTimeout = std::chrono::seconds(10);
constexpr int kMethodNotAllowed = 405;

const char* reasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 404:
      return "Not Found";
    case kMethodNotAllowed:
      return "Method Not Allowed";
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
  int connections = 0;
  bool closed = false;
};

/// A connection; handles its requests one after another.
class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::ip::tcp::socket socket, std::shared_ptr<Shared> shared)
      : socket_(std::move(socket)), idle_(socket_.get_executor()), shared_(std::move(shared)) {
    ++shared_->connections;
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    settings_ = http_parser_settings{};
    settings_.on_url = [](http_parser* parser, const char* data, std::size_t size) {
      return static_cast<Connection*>(parser->data)->onTarget(data, size);
    };
    settings_.on_message_complete = [](http_parser* parser) {
      static_cast<Connection*>(parser->data)->complete_ = true;
      http_parser_pause(parser, 1);
      return 0;
    };
  }
  ~Connection() { --shared_->connections; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void receive() {
    idle_.expires_after(kIdleTimeout);
    idle_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      if (const auto self = weak.lock(); self != nullptr && !error) {
        self->close();
      }
    });
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

 private:
  int onTarget(const char* data, std::size_t size) {
    target_.append(data, size);
    return target_.size() > kMaxTargetBytes ? 1 : 0;
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
                                      ? shared_->handler(path)
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
          self->receive();
        });
  }

  void reset() {
    complete_ = false;
    target_.clear();
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  void close() {
    idle_.cancel();
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  asio::ip::tcp::socket socket_;
  asio::steady_timer idle_;
  std::shared_ptr<Shared> shared_;
  std::array<char, kReadBytes> buffer_{};
  std::string target_;
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
    acceptor_.listen(kMaxConnections, error);
  }
  if (error) {
    lastReason_ = "cannot listen on " + formatEndpoint(endpoint) + ": " + error.message();
    return false;
  }
  accept();
  return true;
}

std::uint16_t HttpServer::port() const { return acceptor_.local_endpoint().port(); }

void HttpServer::accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error && shared_->connections < kMaxConnections) {
      std::make_shared<Connection>(std::move(socket), shared_)->receive();
    }
    accept();
  });
}

}  // namespace cobaltgauge::net
