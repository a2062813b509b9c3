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

/// Longest wait for acknowledgements of a handover after the linger has ended.
constexpr core::Duration kHandoverPatience = std::chrono::seconds(5);
/// Time that the last messages need to leave the socket.
constexpr auto kFarewell = std::chrono::milliseconds(100);
constexpr auto kAdminPatience = std::chrono::seconds(2);

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
      [this](const AdminRequest& request) { return answer(request); });
  if (!admin_->open(settings_.adminListen)) {
    lastReason_ = admin_->lastReason();
    return false;
  }
  reader_ = std::make_unique<PlatformReader>(
      configuration::PlatformClient(net::formatAddress(settings_.platform.address),
                                    settings_.platform.port, settings_.platformTimeout),
      [this](PlatformReading reading) {
        asio::post(context_, [this, reading = std::move(reading)]() mutable {
          onReading(std::move(reading));
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
  flush();
  logChanges();
  stopIfDone(now);
  flushLog();
}

void Daemon::flush() {
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
  flush();
}

void Daemon::readPlatformIfDue(core::Time now) {
  if (now >= nextRead_ && balancer_->shouldReadPlatform(now)) {
    nextRead_ = now + std::chrono::duration_cast<core::Duration>(settings_.platformPollInterval);
    reader_->request();
  }
}

void Daemon::onReading(PlatformReading reading) {
  const core::Time now = bootTime();
  if (reading.configuration) {
    const std::string version = std::to_string(reading.configuration->version);
    const core::OfferResult result =
        balancer_->offerConfiguration(std::move(*reading.configuration), now);
    const bool refused =
        result != core::OfferResult::kAccepted && result != core::OfferResult::kUnchanged;
    if (refused) {
      logEvent(LogLevel::kWarning, "configuration_refused",
               {{"version", version},
                {"result", toString(result)},
                {"reason", balancer_->configuration().lastReason()}});
    }
  }
  if (reading.machines) {
    balancer_->offerMemberSeeds(std::move(reading.machines->machines), now);
  }
  if (reading.failure != loggedFailure_) {
    loggedFailure_ = reading.failure;
    const bool recovered = loggedFailure_.empty();
    logEvent(recovered ? LogLevel::kInfo : LogLevel::kWarning,
             recovered ? "platform_reachable" : "platform_unreachable",
             {{"reason", loggedFailure_}});
  }
  flush();
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
  balancer_->beginLeaving(leavingSince_);
  flush();
}

void Daemon::stopIfDone(core::Time now) {
  if (!leaving_ || now - leavingSince_ < settings_.linger) {
    return;
  }
  if (!balancer_->handoverDone() && now - leavingSince_ < settings_.linger + kHandoverPatience) {
    return;
  }
  leaving_ = false;
  balancer_->finishLeaving(now);
  flush();
  logEvent(LogLevel::kInfo, "planned_stop_ended");
  data_->close();
  auto farewell = std::make_shared<asio::steady_timer>(context_, kFarewell);
  farewell->async_wait([this, farewell](const asio::error_code&) { context_.stop(); });
}

AdminResponse Daemon::answer(const AdminRequest& request) {
  auto promise = std::make_shared<std::promise<AdminResponse>>();
  std::future<AdminResponse> future = promise->get_future();
  asio::post(context_, [this, promise, request] {
    promise->set_value(answerAdmin(request, sources(), bootTime()));
  });
  if (future.wait_for(kAdminPatience) != std::future_status::ready) {
    constexpr int kServiceUnavailable = 503;
    return {kServiceUnavailable, "text/plain", "the daemon is busy or stopping\n"};
  }
  return future.get();
}

}  // namespace cobaltgauge::daemon
