#include "daemon/connect_prober.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

#include "net/address.h"

namespace cobaltgauge::daemon {

struct ConnectProber::Attempt {
  explicit Attempt(asio::io_context& context) : socket(context), timer(context) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  bool finished = false;
};

void ConnectProber::probe(const core::BackendAddress& backend) {
  const auto attempt = std::make_shared<Attempt>(context_);
  const auto finish = [this, attempt, backend](core::ProbeResult result) {
    if (!std::exchange(attempt->finished, true)) {
      attempt->timer.cancel();
      asio::error_code ignored;
      attempt->socket.close(ignored);
      handler_(backend, result);
    }
  };
  attempt->timer.expires_after(timeout_);
  attempt->timer.async_wait([finish](const asio::error_code& error) {
    if (!error) {
      finish(core::ProbeResult::kTimedOut);
    }
  });
  attempt->socket.async_connect(net::toTcp(backend.endpoint), [finish](
                                                                  const asio::error_code& error) {
    if (!error) {
      finish(core::ProbeResult::kConnected);
    } else if (error == asio::error::connection_refused || error == asio::error::connection_reset) {
      finish(core::ProbeResult::kRefused);
    } else {
      finish(core::ProbeResult::kInconclusive);  // Local error.
    }
  });
}

}  // namespace cobaltgauge::daemon
