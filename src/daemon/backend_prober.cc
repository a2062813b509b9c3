#include "daemon/backend_prober.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <list>
#include <utility>

#include "daemon/clock.h"
#include "daemon/token_log.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

core::ConnectOutcome outcomeOf(const asio::error_code& error) {
  if (!error) {
    return core::ConnectOutcome::kConnected;
  }
  const bool refused =
      error == asio::error::connection_refused || error == asio::error::connection_reset;
  return refused ? core::ConnectOutcome::kRefused : core::ConnectOutcome::kLocalError;
}

}  // namespace

struct BackendProber::ActiveProbe {
  ActiveProbe(asio::io_context& context, const core::BackendAddress& suspect,
              std::vector<core::Endpoint> witnessEndpoints)
      : backend(suspect),
        witnesses(std::move(witnessEndpoints)),
        failureProbe(witnesses.size(), bootTime()),
        timer(context) {}

  core::BackendAddress backend;
  std::vector<core::Endpoint> witnesses;
  core::FailureProbe failureProbe;
  asio::steady_timer timer;
  std::list<asio::ip::tcp::socket> sockets;
  bool finished = false;
};

void BackendProber::probe(const core::BackendAddress& backend,
                          std::vector<core::Endpoint> witnesses) {
  runStep(std::make_shared<ActiveProbe>(context_, backend, std::move(witnesses)));
}

void BackendProber::runStep(const std::shared_ptr<ActiveProbe>& probe) {
  const core::FailureProbe::Step step = probe->failureProbe.Advance(bootTime());
  const std::size_t stepNumber = probe->failureProbe.GetStepIndex();
  if (step.ConnectsToSuspect) {
    connect(probe, probe->backend.endpoint, [this, probe](core::ConnectOutcome outcome) {
      probe->failureProbe.OnSuspectResult(outcome);
      finishIfDone(probe);
    });
  }
  for (std::size_t i = 0; i < probe->witnesses.size() && i < step.ConnectsToWitness.size(); ++i) {
    if (step.ConnectsToWitness[i]) {
      connect(probe, probe->witnesses[i], [probe, i, stepNumber](core::ConnectOutcome outcome) {
        probe->failureProbe.OnWitnessResult(i, stepNumber, outcome);
      });
    }
  }
  finishIfDone(probe);
  if (probe->finished) {
    return;
  }
  probe->timer.expires_after(probe->failureProbe.GetNextStepTime() - bootTime());
  probe->timer.async_wait([this, probe](const asio::error_code& error) {
    if (!error && !probe->finished) {
      runStep(probe);
    }
  });
}

void BackendProber::connect(const std::shared_ptr<ActiveProbe>& probe,
                            const core::Endpoint& endpoint, ConnectHandler handler) {
  asio::ip::tcp::socket& socket = probe->sockets.emplace_back(context_);
  socket.async_connect(net::toTcp(endpoint), [probe, &socket, handler = std::move(handler)](
                                                 const asio::error_code& error) {
    if (probe->finished) {
      return;
    }
    asio::error_code ignored;
    socket.close(ignored);
    handler(outcomeOf(error));
  });
}

void BackendProber::finishIfDone(const std::shared_ptr<ActiveProbe>& probe) {
  const std::optional<core::ProbeResult> result = probe->failureProbe.GetResult();
  if (!result || std::exchange(probe->finished, true)) {
    return;
  }
  probe->timer.cancel();
  for (asio::ip::tcp::socket& socket : probe->sockets) {
    asio::error_code ignored;
    socket.close(ignored);
  }
  if (*result == core::ProbeResult::kInconclusive) {
    logInconclusiveProbe(probe->backend, probe->failureProbe.GetInconclusiveReason());
  }
  handler_(probe->backend, *result);
}

}  // namespace cobaltgauge::daemon
