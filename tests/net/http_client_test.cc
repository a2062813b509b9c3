#include "net/http_client.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "net/address.h"

namespace cobaltgauge::tests {
namespace {

using namespace std::chrono_literals;

/// Responds to one request with a header and then, at intervals, the first `parts` bytes of a body
/// of `length` bytes.
class SlowServer {
 public:
  SlowServer(asio::io_context& context, std::size_t length, std::size_t parts,
             std::chrono::milliseconds interval)
      : acceptor_(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        socket_(context),
        timer_(context),
        header_("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n"),
        partsRemaining_(parts),
        interval_(interval) {
    acceptor_.async_accept(socket_, [this](const asio::error_code& error) {
      if (!error) {
        asio::write(socket_, asio::buffer(header_));
        sendPart();
      }
    });
  }

  core::Endpoint endpoint() const {
    return {{{127, 0, 0, 1}, false}, acceptor_.local_endpoint().port()};
  }

 private:
  void sendPart() {
    if (partsRemaining_-- == 0) {
      return;
    }
    timer_.expires_after(interval_);
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        asio::write(socket_, asio::buffer("x", 1));
        sendPart();
      }
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::string header_;
  std::size_t partsRemaining_;
  std::chrono::milliseconds interval_;
};

struct ClientFixture {
  asio::io_context context;
  std::optional<net::HttpResult> result;
  std::size_t progress = 0;

  void get(const core::Endpoint& server, std::chrono::milliseconds timeout) {
    net::HttpClient client(context, server);
    client.setProgressListener([this] { ++progress; });
    client.get("/", timeout, [this](const net::HttpResult& received) {
      result = received;
      context.stop();
    });
    context.run();
  }
};

BOOST_FIXTURE_TEST_SUITE(HttpClientTest, ClientFixture)

// Guards against aborting a large response that arrives slowly but steadily.
BOOST_AUTO_TEST_CASE(timeout_restarts_with_each_received_part) {
  SlowServer server(context, 30, 30, 50ms);
  get(server.endpoint(), 1000ms);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->failure == net::HttpFailure::kNone));
  BOOST_TEST(result->body.size() == 30U);
  BOOST_TEST(progress > 0U);
}

BOOST_AUTO_TEST_CASE(incomplete_response_times_out) {
  SlowServer server(context, 30, 2, 1ms);
  get(server.endpoint(), 300ms);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->failure == net::HttpFailure::kTimedOut));
  BOOST_TEST(!result->reason.empty());
}

// After a timeout, the next request must use a new connection.
BOOST_AUTO_TEST_CASE(unresponsive_connection_is_replaced) {
  const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  asio::ip::tcp::acceptor acceptor(context, any);
  std::vector<asio::ip::tcp::socket> accepted;
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
  // Each connection sends one response and ignores later requests.
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](const asio::error_code& error, asio::ip::tcp::socket socket) {
      if (!error) {
        accepted.push_back(std::move(socket));
        asio::write(accepted.back(), asio::buffer(ok));
        accept();
      }
    });
  };
  accept();
  net::HttpClient client(context, {{{127, 0, 0, 1}, false}, acceptor.local_endpoint().port()});
  std::vector<net::HttpFailure> results;
  std::function<void()> next = [&] {
    client.get("/", 100ms, [&](const net::HttpResult& received) {
      results.push_back(received.failure);
      results.size() < 3 ? next() : context.stop();
    });
  };
  next();
  context.run();
  BOOST_TEST((results == std::vector{net::HttpFailure::kNone, net::HttpFailure::kTimedOut,
                                     net::HttpFailure::kNone}));
  BOOST_TEST(accepted.size() == 2U);
}

// Guards against reading a response that is refused in the end, and against taking it for a broken
// one.
BOOST_AUTO_TEST_CASE(response_that_announces_too_much_is_refused_at_once) {
  SlowServer server(context, net::kMaxResponseBytes + 1, 0, 1ms);
  get(server.endpoint(), 1000ms);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->failure == net::HttpFailure::kTooLarge));
  BOOST_TEST(result->reason == "the response has more than 8388608 bytes");
}

BOOST_AUTO_TEST_CASE(response_without_length_is_refused_at_the_limit) {
  const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
  asio::ip::tcp::acceptor acceptor(context, any);
  asio::ip::tcp::socket accepted(context);
  const std::string response =
      "HTTP/1.1 200 OK\r\n\r\n" + std::string(net::kMaxResponseBytes + 1, 'x');
  acceptor.async_accept(accepted, [&](const asio::error_code& error) {
    if (!error) {
      asio::async_write(accepted, asio::buffer(response),
                        [](const asio::error_code&, std::size_t) {});
    }
  });
  get({{{127, 0, 0, 1}, false}, acceptor.local_endpoint().port()}, 1000ms);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result->failure == net::HttpFailure::kTooLarge));
  BOOST_TEST(result->body.size() <= net::kMaxResponseBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
