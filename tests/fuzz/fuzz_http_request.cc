/// @file
/// libFuzzer target: requests to the HTTP server of the readiness and admin ports. The server must
/// close the connection after whatever a client sends.
#include <cstdlib>

#include "fuzz/loopback_exchange.h"
#include "net/address.h"
#include "net/http_server.h"

namespace {

using namespace cobaltgauge;

struct Server {
  asio::io_context context;
  net::HttpServer server{context, [](const std::string& path) {
                           return net::HttpResponse{200, "text/plain", path.substr(0, 100)};
                         }};

  Server() {
    if (!server.open({{{127, 0, 0, 1}, false}, 0})) {
      std::abort();
    }
  }
};

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  static Server instance;
  asio::ip::tcp::socket socket(instance.context);
  socket.connect(net::toTcp({{{127, 0, 0, 1}, false}, instance.server.port()}));
  fuzz::LoopbackEnd client(std::move(socket), data, size);
  client.start();
  if (!fuzz::runUntil(instance.context, [&client] { return client.isClosed(); })) {
    std::abort();
  }
  return 0;
}
