/// @file
/// Probes backends by opening and closing connections, on the event loop of the daemon.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "core/configuration.h"
#include "core/probe/failure_probe.h"

namespace cobaltgauge::daemon {

class BackendProber {
 public:
  using Handler = std::function<void(const core::BackendAddress&, core::ProbeResult)>;

  BackendProber(asio::io_context& context, Handler handler)
      : context_(context), handler_(std::move(handler)) {}

  /// Starts a probe. The handler is called once with the result.
  /// @param witnesses reference backends, which are probed too if the backend does not respond to
  /// the first connection attempt.
  void probe(const core::BackendAddress& backend, std::vector<core::Endpoint> witnesses);

 private:
  struct ActiveProbe;
  using ConnectHandler = std::function<void(core::ConnectOutcome)>;

  void runStep(const std::shared_ptr<ActiveProbe>& probe);
  void connect(const std::shared_ptr<ActiveProbe>& probe, const core::Endpoint& endpoint,
               ConnectHandler handler);
  /// Ends the probe and reports its result as soon as there is one.
  void finishIfDone(const std::shared_ptr<ActiveProbe>& probe);

  asio::io_context& context_;
  Handler handler_;
};

}  // namespace cobaltgauge::daemon
