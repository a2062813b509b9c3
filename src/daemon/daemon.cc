#include "daemon/daemon.h"

#include <csignal>
#include <future>

#include "core/constants.h"
#include "core/hashing.h"
#include "daemon/admin_pages.h"
#include "daemon/clock.h"
#include "daemon/log.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

/// Maximum wait for handover acknowledgements after the linger time.
constexpr core::Duration kHandoverTimeout = std::chrono::seconds(5);
/// Delay before the event loop stops, so that the final messages are sent.
constexpr auto kFinalSendDelay = std::chrono::milliseconds(100);
/// Maximum wait of an admin request for the event loop.
constexpr auto kAdminTimeout = std::chrono::seconds(2);

}  // namespace

Daemon::Daemon(Settings settings)
    : settings_(std::move(settings)),
      peers_(context_,
             net::PeerCodec(settings_.clusterName, settings_.clusterKey,
                            core::memberIdOf(settings_.name)),
             [this](const net::ReceivedFrame& received) { onFrame(received); }),
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT) {}

core::BalancerOptions Daemon::balancerOptions() const {
  core::BalancerOptions options;
  options.self = {core::memberIdOf(settings_.name), settings_.name, settings_.zone,
                  settings_.region, peers_.localEndpoint()};
  options.process = (std::uint64_t{std::random_device{}()} << 32U) | std::random_device{}();
  options.hashSeed = core::hashName(settings_.clusterName + settings_.clusterKey);
  options.flowTableEntries = settings_.flowTableEntries;
  options.flowIdleTimeout = settings_.flowIdleTimeout;
  options.newFlowsPerSecond = settings_.newFlowsPerSecond;
  return options;
}

bool Daemon::open() {
  if (!peers_.open(settings_.clusterListen)) {
    lastReason_ = peers_.lastReason();
    return false;
  }
  balancer_ = std::make_unique<core::Balancer>(balancerOptions(), compiler_, random_);
  data_ = std::make_unique<DataPlane>(context_, settings_, *balancer_, peers_);
  if (!data_->open()) {
    lastReason_ = data_->lastReason();
    return false;
  }
  admin_ = std::make_unique<AdminServer>(
      [this](const AdminRequest& request) { return handleAdminRequest(request); });
  if (!admin_->open(settings_.adminListen)) {
    lastReason_ = admin_->lastReason();
    return false;
  }
  reader_ = std::make_unique<PlatformReader>(
      configuration::PlatformClient(net::formatAddress(settings_.platform.address),
                                    settings_.platform.port, settings_.platformTimeout),
      [this](PlatformReadResult readResult) {
        asio::post(context_, [this, readResult = std::move(readResult)]() mutable {
          onPlatformReadResult(std::move(readResult));
        });
      });
  signals_.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      onSignal();
    }
  });
  logEvent(LogLevel::kInfo, "started",
           {{"zone", settings_.zone},
            {"data", net::formatEndpoint(data_->localEndpoint())},
            {"cluster", net::formatEndpoint(peers_.localEndpoint())},
            {"admin_port", std::to_string(admin_->port())}});
  scheduleTick();
  return true;
}

void Daemon::run() {
  context_.run();
  reader_.reset();
  admin_.reset();
  flushLog();
}

void Daemon::scheduleTick() {
  timer_.expires_after(core::kTickInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      onTick();
      scheduleTick();
    }
  });
}

void Daemon::onTick() {
  const core::Time now = bootTime();
  balancer_->onTick(now);
  readPlatformIfDue(now);
  sendPendingMessages();
  logChanges();
  stopIfDone(now);
  flushLog();
}

void Daemon::sendPendingMessages() {
  for (const core::OutgoingMessage& outgoing : balancer_->takeMessages()) {
    peers_.send(outgoing.destination, net::toFrame(outgoing.message));
  }
}

void Daemon::onFrame(const net::ReceivedFrame& received) {
  const core::Time now = bootTime();
  std::visit(
      [this, &received, now](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<Message, net::ForwardedPacket>) {
          data_->onForwardedPacket(message, now);
        } else if constexpr (std::is_convertible_v<Message, core::PeerMessage>) {
          balancer_->onMessage(received.from, message, now);
        }
      },
      received.frame);
  sendPendingMessages();
}

void Daemon::readPlatformIfDue(core::Time now) {
  if (now >= nextRead_ && balancer_->shouldReadPlatform(now)) {
    nextRead_ = now + std::chrono::duration_cast<core::Duration>(settings_.platformPollInterval);
    reader_->requestRead();
  }
}

void Daemon::onPlatformReadResult(PlatformReadResult readResult) {
  const core::Time now = bootTime();
  if (readResult.configuration) {
    const std::string version = std::to_string(readResult.configuration->version);
    const core::OfferResult result =
        balancer_->offerConfiguration(std::move(*readResult.configuration), now);
    const bool refused =
        result != core::OfferResult::kAccepted && result != core::OfferResult::kUnchanged;
    if (refused) {
      logEvent(LogLevel::kWarning, "configuration_refused",
               {{"version", version},
                {"result", toString(result)},
                {"reason", balancer_->configuration().lastReason()}});
    }
  }
  if (readResult.machines) {
    balancer_->offerMemberSeeds(std::move(readResult.machines->machines), now);
  }
  if (readResult.failure != loggedFailure_) {
    loggedFailure_ = readResult.failure;
    const bool recovered = loggedFailure_.empty();
    logEvent(recovered ? LogLevel::kInfo : LogLevel::kWarning,
             recovered ? "platform_reachable" : "platform_unreachable",
             {{"reason", loggedFailure_}});
  }
  sendPendingMessages();
}

void Daemon::logChanges() {
  const core::ConfigurationVersion version = balancer_->activeVersion();
  if (version != loggedVersion_) {
    loggedVersion_ = version;
    logEvent(LogLevel::kInfo, "configuration_in_force", {{"version", std::to_string(version)}});
  }
  if (balancer_->isFenced() != wasFenced_) {
    wasFenced_ = balancer_->isFenced();
    logEvent(LogLevel::kInfo, wasFenced_ ? "fenced" : "fence_opened");
  }
}

void Daemon::onSignal() {
  logEvent(LogLevel::kInfo, "planned_stop_began");
  leaving_ = true;
  leavingSince_ = bootTime();
  balancer_->beginShutdown(leavingSince_);
  sendPendingMessages();
}

void Daemon::stopIfDone(core::Time now) {
  if (!leaving_ || now - leavingSince_ < settings_.linger) {
    return;
  }
  if (!balancer_->handoverDone() && now - leavingSince_ < settings_.linger + kHandoverTimeout) {
    return;
  }
  leaving_ = false;
  balancer_->finishShutdown(now);
  sendPendingMessages();
  logEvent(LogLevel::kInfo, "planned_stop_ended");
  data_->close();
  auto stopTimer = std::make_shared<asio::steady_timer>(context_, kFinalSendDelay);
  stopTimer->async_wait([this, stopTimer](const asio::error_code&) { context_.stop(); });
}

AdminResponse Daemon::handleAdminRequest(const AdminRequest& request) {
  auto promise = std::make_shared<std::promise<AdminResponse>>();
  std::future<AdminResponse> future = promise->get_future();
  asio::post(context_, [this, promise, request] {
    promise->set_value(renderAdminPage(request, sources(), bootTime()));
  });
  if (future.wait_for(kAdminTimeout) != std::future_status::ready) {
    constexpr int kServiceUnavailable = 503;
    return {kServiceUnavailable, "text/plain",
            "the daemon did not respond in time; it is busy or stopping\n"};
  }
  return future.get();
}

}  // namespace cobaltgauge::daemon
