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
  const bool answered =
      error == asio::error::connection_refused || error == asio::error::connection_reset;
  return answered ? core::ConnectOutcome::kRefused : core::ConnectOutcome::kLocalError;
}

}  // namespace

struct BackendProber::Trial {
  Trial(asio::io_context& context, const core::BackendAddress& suspect,
        std::vector<core::Endpoint> others)
      : backend(suspect),
        witnesses(std::move(others)),
        proof(witnesses.size(), bootTime()),
        timer(context) {}

  core::BackendAddress backend;
  std::vector<core::Endpoint> witnesses;
  core::FailureProbe proof;
  asio::steady_timer timer;
  std::list<asio::ip::tcp::socket> sockets;
  bool finished = false;
};

void BackendProber::probe(const core::BackendAddress& backend,
                          std::vector<core::Endpoint> witnesses) {
  takeStep(std::make_shared<Trial>(context_, backend, std::move(witnesses)));
}

void BackendProber::takeStep(const std::shared_ptr<Trial>& trial) {
  const core::FailureProbe::Step step = trial->proof.Advance(bootTime());
  const std::size_t number = trial->proof.GetStepIndex();
  if (step.ConnectsToSuspect) {
    connect(trial, trial->backend.endpoint, [this, trial](core::ConnectOutcome outcome) {
      trial->proof.OnSuspectResult(outcome);
      finishIfDone(trial);
    });
  }
  for (std::size_t i = 0; i < trial->witnesses.size() && i < step.ConnectsToWitness.size(); ++i) {
    if (step.ConnectsToWitness[i]) {
      connect(trial, trial->witnesses[i], [trial, i, number](core::ConnectOutcome outcome) {
        trial->proof.OnWitnessResult(i, number, outcome);
      });
    }
  }
  finishIfDone(trial);
  if (trial->finished) {
    return;
  }
  trial->timer.expires_after(trial->proof.GetNextStepTime() - bootTime());
  trial->timer.async_wait([this, trial](const asio::error_code& error) {
    if (!error && !trial->finished) {
      takeStep(trial);
    }
  });
}

void BackendProber::connect(const std::shared_ptr<Trial>& trial, const core::Endpoint& endpoint,
                            ConnectHandler handler) {
  asio::ip::tcp::socket& socket = trial->sockets.emplace_back(context_);
  socket.async_connect(net::toTcp(endpoint), [trial, &socket, handler = std::move(handler)](
                                                 const asio::error_code& error) {
    if (trial->finished) {
      return;
    }
    asio::error_code ignored;
    socket.close(ignored);
    handler(outcomeOf(error));
  });
}

void BackendProber::finishIfDone(const std::shared_ptr<Trial>& trial) {
  const std::optional<core::ProbeResult> result = trial->proof.GetResult();
  if (!result || std::exchange(trial->finished, true)) {
    return;
  }
  trial->timer.cancel();
  for (asio::ip::tcp::socket& socket : trial->sockets) {
    asio::error_code ignored;
    socket.close(ignored);
  }
  if (*result == core::ProbeResult::kInconclusive) {
    logUnproven(trial->backend, trial->proof.GetInconclusiveReason());
  }
  handler_(trial->backend, *result);
}

}  // namespace cobaltgauge::daemon
