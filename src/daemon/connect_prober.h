/// @file
/// Learns whether back ends are reached by opening one connection and closing it again, on the
/// daemon's event loop. It proves no death: see backend_prober.h.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "core/configuration.h"
#include "core/proof/death_trial.h"

namespace cobaltgauge::daemon {

class ConnectProber {
 public:
  using Handler = std::function<void(const core::BackendAddress&, core::ProbeResult)>;

  /// @param timeout how long a probe waits for a connection.
  ConnectProber(asio::io_context& context, core::Duration timeout, Handler handler)
      : context_(context), timeout_(timeout), handler_(std::move(handler)) {}

  /// Starts a probe; the handler is called once with its result.
  void probe(const core::BackendAddress& backend);

 private:
  struct Attempt;

  asio::io_context& context_;
  core::Duration timeout_;
  Handler handler_;
};

}  // namespace cobaltgauge::daemon
