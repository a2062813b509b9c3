/// Limits on what a client of the admin pages can occupy.
#include "net/http_server.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <stdexcept>
#include <vector>

#include "net/address.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

/// A connection that records what the server does.
struct TestConnection {
  explicit TestConnection(asio::io_context& context, std::uint16_t port)
      : socket(context), timer(context) {
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    receive();
  }

  void send(const std::string& bytes) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
  }

  /// Sends one byte at each interval until the connection is closed.
  void trickle(std::chrono::milliseconds interval) {
    timer.expires_after(interval);
    timer.async_wait([this, interval](const asio::error_code& error) {
      if (!error && !closed) {
        send("x");
        trickle(interval);
      }
    });
  }

  void receive() {
    socket.async_read_some(asio::buffer(buffer),
                           [this](const asio::error_code& error, std::size_t size) {
                             received.append(buffer.data(), size);
                             closed = error.operator bool();
                             if (!closed) {
                               receive();
                             }
                           });
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, 4096> buffer{};
  std::string received;
  bool closed = false;
};

struct HttpServerFixture {
  asio::io_context context;
  net::HttpServer server{context, [](const std::string& path) {
                           if (path == "/broken") {
                             throw std::runtime_error("no page");
                           }
                           return net::HttpResponse{200, "text/plain", path + "\n"};
                         }};

  HttpServerFixture() { BOOST_REQUIRE(server.open({{{127, 0, 0, 1}, false}, 0})); }

  std::unique_ptr<TestConnection> connect() {
    return std::make_unique<TestConnection>(context, server.port());
  }

  /// Runs the event loop until the condition holds or five seconds have passed.
  template <typename Condition>
  bool runUntil(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.run_one_for(10ms);
    }
    return condition();
  }
};

const std::string kRequest = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, HttpServerFixture)

BOOST_AUTO_TEST_CASE(requests_of_one_connection_are_answered_in_turn) {
  const auto connection = connect();
  for (std::size_t i = 1; i <= 3; ++i) {
    connection->send(kRequest);
    BOOST_TEST(runUntil([&] { return connection->received.ends_with("/metrics\n"); }));
    connection->received.clear();
  }
  BOOST_TEST(!connection->closed);
}

// Guards against the end of the process by an exception of a page.
BOOST_AUTO_TEST_CASE(page_that_throws_is_an_internal_server_error) {
  std::string failure;
  server.setFailureListener(
      [&failure](const std::string& path, const char* reason) { failure = path + ": " + reason; });
  const auto connection = connect();
  connection->send("GET /broken HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(runUntil([&] { return connection->received.ends_with("built\n"); }));
  BOOST_TEST(connection->received.starts_with("HTTP/1.1 500 Internal Server Error\r\n"));
  BOOST_TEST(failure == "/broken: no page");
  BOOST_TEST(server.failures() == 1U);
  connection->send(kRequest);
  BOOST_TEST(runUntil([&] { return connection->received.ends_with("/metrics\n"); }));
}

// Guards against connections that last as long as their clients send a byte now and then.
BOOST_AUTO_TEST_CASE(request_that_arrives_slowly_is_closed) {
  server.setExchangeTimeout(200ms);
  const auto connection = connect();
  connection->send("GET /");
  connection->trickle(20ms);
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST(runUntil([&] { return connection->closed; }));
  BOOST_TEST((std::chrono::steady_clock::now() - start < 2s));
}

BOOST_AUTO_TEST_CASE(request_with_long_body_is_closed) {
  const auto connection = connect();
  connection->send("GET / HTTP/1.1\r\nContent-Length: 1000000000\r\n\r\n" +
                   std::string(100'000, 'x'));
  BOOST_TEST(runUntil([&] { return connection->closed; }));
  BOOST_TEST(connection->received.empty());
}

BOOST_AUTO_TEST_CASE(request_with_short_body_is_answered) {
  const auto connection = connect();
  connection->send("GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  BOOST_TEST(runUntil([&] { return connection->received.ends_with("/\n"); }));
}

BOOST_AUTO_TEST_CASE(request_with_long_target_or_header_is_closed) {
  for (const std::string& request :
       {"GET /" + std::string(5000, 'x') + " HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nA: " + std::string(200'000, 'x') + "\r\n\r\n"}) {
    const auto connection = connect();
    connection->send(request);
    BOOST_TEST(runUntil([&] { return connection->closed; }));
    BOOST_TEST(connection->received.empty());
  }
}

// Guards against a daemon that looks unready because idle clients hold all connections.
BOOST_AUTO_TEST_CASE(new_client_is_served_while_others_hold_all_connections) {
  std::vector<std::unique_ptr<TestConnection>> idle;
  for (int i = 0; i < 200; ++i) {
    idle.push_back(connect());
    context.poll();
  }
  const auto connection = connect();
  connection->send(kRequest);
  BOOST_TEST(runUntil([&] { return connection->received.ends_with("/metrics\n"); }));
  const auto open =
      std::count_if(idle.begin(), idle.end(), [](const auto& other) { return !other->closed; });
  BOOST_TEST(open <= 64);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
