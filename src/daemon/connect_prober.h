/// @file
/// Learns whether back ends are reached by opening one connection and closing it again, on the
/// daemon's event loop. It proves no death: see backend_prober.h.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "core/configuration.h"
#include "core/probe/failure_probe.h"

namespace cobaltgauge::daemon {

class ConnectProber {
 public:
  using Handler = std::function<void(const core::BackendAddress&, core::ProbeResult)>;

  /// @param patience how long a probe waits for a connection.
  ConnectProber(asio::io_context& context, core::Duration patience, Handler handler)
      : context_(context), patience_(patience), handler_(std::move(handler)) {}

  /// Starts a probe; the handler is called once with its result.
  void probe(const core::BackendAddress& backend);

 private:
  struct Attempt;

  asio::io_context& context_;
  core::Duration patience_;
  Handler handler_;
};

}  // namespace cobaltgauge::daemon
