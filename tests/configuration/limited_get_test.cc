#include "configuration/limited_get.h"

#include <boost/test/unit_test.hpp>
#include <thread>

#include "configuration/configuration_json.h"

namespace cobaltgauge::tests {
namespace {

/// A server whose page has the given size.
class PageServer {
 public:
  explicit PageServer(std::size_t bytes) : port_(server_.bind_to_any_port("127.0.0.1")) {
    server_.Get("/page", [bytes](const httplib::Request&, httplib::Response& response) {
      response.set_content(std::string(bytes, 'x'), "text/plain");
    });
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }
  ~PageServer() {
    server_.stop();
    thread_.join();
  }
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

  std::optional<httplib::Response> get(const std::string& target) {
    httplib::Client client("127.0.0.1", port_);
    return configuration::getLimited(client, target, {}, reason);
  }

  std::string reason;

 private:
  httplib::Server server_;
  int port_;
  std::thread thread_;
};

BOOST_AUTO_TEST_SUITE(LimitedGetTest)

BOOST_AUTO_TEST_CASE(page_up_to_the_limit_is_read) {
  PageServer server(configuration::kMaxConfigurationBytes);
  const auto response = server.get("/page");
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST(response->status == 200);
  BOOST_TEST(response->body.size() == configuration::kMaxConfigurationBytes);
  BOOST_TEST(server.get("/other")->status == 404);
}

// Guards against memory for a response of any size.
BOOST_AUTO_TEST_CASE(larger_page_is_refused) {
  PageServer server(configuration::kMaxConfigurationBytes + 1);
  BOOST_TEST(!server.get("/page").has_value());
  BOOST_TEST(server.reason == "the response is too large");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
