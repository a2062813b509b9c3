/// @file
/// Probes back ends by opening connections and closing them again, on the daemon's event loop.
#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "core/configuration.h"
#include "core/proof/death_trial.h"

namespace cobaltgauge::daemon {

class BackendProber {
 public:
  using Handler = std::function<void(const core::BackendAddress&, core::ProbeResult)>;

  BackendProber(asio::io_context& context, Handler handler)
      : context_(context), handler_(std::move(handler)) {}

  /// Starts a probe; the handler is called once with its result.
  /// @param witnesses are connected to beside a back end that does not answer at once.
  void probe(const core::BackendAddress& backend, std::vector<core::Endpoint> witnesses);

 private:
  struct ActiveProbe;
  using ConnectHandler = std::function<void(core::ConnectOutcome)>;

  void runStep(const std::shared_ptr<ActiveProbe>& probe);
  void connect(const std::shared_ptr<ActiveProbe>& probe, const core::Endpoint& endpoint,
               ConnectHandler handler);
  /// Tells the result and ends the trial, once there is one.
  void finishIfDone(const std::shared_ptr<ActiveProbe>& probe);

  asio::io_context& context_;
  Handler handler_;
};

}  // namespace cobaltgauge::daemon
