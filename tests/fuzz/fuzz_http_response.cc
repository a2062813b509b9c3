/// @file
/// libFuzzer target: responses to the HTTP client of the store. The client must report a result
/// whatever a server sends.
#include <cstdlib>
#include <optional>

#include "fuzz/loopback_exchange.h"
#include "net/address.h"
#include "net/http_client.h"

namespace {

using namespace cobaltgauge;

struct Listener {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor{context,
                                   asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
};

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static Listener instance;
  std::optional<fuzz::LoopbackEnd> server;
  instance.acceptor.async_accept([&](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (!error) {
      server.emplace(std::move(socket), data, size).start();
    }
  });
  net::HttpClient client(instance.context,
                         {{{127, 0, 0, 1}, false}, instance.acceptor.local_endpoint().port()});
  bool answered = false;
  client.get("/kv-range", std::chrono::seconds(5), [&answered](const net::HttpResult& result) {
    constexpr std::size_t kMaxBodyBytes = (8U << 20U) + (16U << 10U);
    if (result.body.size() > kMaxBodyBytes || result.reason.size() > 200) {
      std::abort();
    }
    answered = true;
  });
  if (!fuzz::runUntil(instance.context, [&answered] { return answered; })) {
    std::abort();
  }
  client.cancel();
  fuzz::runUntil(instance.context, [&server] { return !server || server->isClosed(); });
  return 0;
}
