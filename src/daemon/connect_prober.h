/// @file
/// Checks whether backends are reachable by opening and closing a single connection, on the event
/// loop of the daemon. This does not prove that a backend has failed; see backend_prober.h.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "core/configuration.h"
#include "core/probe/failure_probe.h"

namespace cobaltgauge::daemon {

class ConnectProber {
 public:
  using Handler = std::function<void(const core::BackendAddress&, core::ProbeResult)>;

  /// @param timeout how long a probe waits for a connection.
  ConnectProber(asio::io_context& context, core::Duration timeout, Handler handler)
      : context_(context), timeout_(timeout), handler_(std::move(handler)) {}

  /// Starts a probe. The handler is called once with the result.
  void probe(const core::BackendAddress& backend);

 private:
  struct Attempt;

  asio::io_context& context_;
  core::Duration timeout_;
  Handler handler_;
};

}  // namespace cobaltgauge::daemon
