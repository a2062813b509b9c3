#include "daemon/token_daemon.h"

#include <csignal>
#include <fstream>
#include <iterator>

#include "core/constants.h"
#include "core/hashing.h"
#include "daemon/clock.h"
#include "daemon/log.h"
#include "daemon/token_log.h"
#include "net/address.h"

namespace cobaltgauge::daemon {
namespace {

constexpr auto kTick = std::chrono::milliseconds(200);
/// The router needs this long to notice that a daemon is no longer ready: two probes half a second
/// apart, and some time for the last packets.
constexpr core::Duration kRouterNotices = std::chrono::milliseconds(1600);
/// A leaving daemon without packets for this long has nothing left to forward.
constexpr core::Duration kQuiet = std::chrono::milliseconds(600);
/// Share of the time until the process would be killed that it uses at most. Where packets still
/// come after that, no other daemon takes them, and a quick restart serves them best.
constexpr int kStopShare = 2;
constexpr core::Duration kSettingsCheckInterval = std::chrono::seconds(2);
constexpr int kNotReady = 503;
constexpr int kNotFound = 404;

std::string joined(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

/// @return the seeds with the cluster's port, which is the same on all machines.
std::vector<core::Endpoint> seedsOf(const Settings& settings) {
  std::vector<core::Endpoint> seeds = settings.clusterSeeds;
  for (core::Endpoint& seed : seeds) {
    seed.port = settings.clusterListen.port;
  }
  return seeds;
}

core::TokenSteeringOptions steeringOptions(const Settings& settings) {
  core::TokenSteeringOptions options;
  options.hashSeed = core::hashName(settings.clusterName + settings.clusterKey);
  options.flowEntries = settings.flowTableEntries;
  options.longestFlow = settings.longestFlow;
  return options;
}

}  // namespace

TokenDaemon::TokenDaemon(Settings settings, CommandLine commandLine)
    : settings_(std::move(settings)),
      settingsWatch_(std::move(commandLine)),
      formats_(net::makeEdgeFormats()),
      weights_(settings_.zone),
      steering_(steeringOptions(settings_), weights_, random_),
      updater_(steering_.backends(), steering_.routes(), logViewChange, &changes_),
      reader_(updater_, random_),
      exchange_(settings_.clusterListen, steering_, updater_, reader_, random_, &changes_),
      outliers_(static_cast<std::uint64_t>(core::memberIdOf(settings_.name))),
      relay_(settings_.clusterListen, reader_, updater_, changes_, outliers_, random_),
      peers_(context_,
             net::PeerCodec(settings_.clusterName, settings_.clusterKey,
                            core::memberIdOf(settings_.name)),
             [this](const net::ReceivedFrame& received) { onFrame(received); }),
      packets_(context_, *formats_.packets, steering_),
      prober_(context_, [this](const core::BackendAddress& backend,
                               core::ProbeResult result) { onProbe(backend, result); }),
      readiness_(context_, [this](const std::string& path) { return answerReadiness(path); }),
      admin_(context_, [this](const std::string& path) { return answerAdmin(path); }),
      timer_(context_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

bool TokenDaemon::open() {
  packets_.setBatchListener([this](core::Time now) { onBatch(now); });
  packets_.setDrainedListener([this](core::Time now) { onDrained(now); });
  packets_.setVerdictListener([this](const core::PacketSummary& packet,
                                     const core::Verdict& verdict,
                                     core::Time now) { onVerdict(packet, verdict, now); });
  if (!loadPolicy()) {
    return false;
  }
  if (!packets_.open(settings_.dataListen)) {
    lastReason_ = packets_.lastReason();
    return false;
  }
  if (!readiness_.open(settings_.readinessListen)) {
    lastReason_ = readiness_.lastReason();
    return false;
  }
  if (!peers_.open(settings_.clusterListen)) {
    lastReason_ = peers_.lastReason();
    return false;
  }
  exchange_.setSeeds(seedsOf(settings_));
  relay_.SetSeeds(seedsOf(settings_));
  if (!admin_.open(settings_.adminListen)) {
    // Serving matters more than being watched.
    logEvent(LogLevel::kError, "metrics_unavailable", {{"reason", admin_.lastReason()}});
  }
  steering_.setLatencyObserver(&latencies_);
  steering_.setOutliers(&outliers_);
  waitForSignal();
  logEvent(LogLevel::kInfo, "started",
           {{"zone", settings_.zone},
            {"data", net::formatEndpoint(settings_.dataListen)},
            {"store", net::formatEndpoint(settings_.platform)}});
  lastActive_ = bootTime();
  exchange_.start(lastActive_);
  connectStore();
  scheduleTick();
  return true;
}

void TokenDaemon::connectStore() {
  store_ = std::make_unique<StoreLink>(
      context_, settings_.platform, *formats_.store, reader_,
      [this](const core::StoreRead& read, const core::StoreReply& reply, core::Duration latency) {
        onStoreAnswer(read, reply, latency);
      });
  store_->restart();
}

void TokenDaemon::waitForSignal() {
  signals_.async_wait([this](const asio::error_code& error, int signal) {
    if (!error) {
      onSignal(signal);
      waitForSignal();
    }
  });
}

bool TokenDaemon::loadPolicy() {
  if (settings_.policyFile.empty()) {
    return true;
  }
  std::ifstream file(settings_.policyFile);
  if (!file) {
    lastReason_ = "cannot read policy file " + settings_.policyFile;
    return false;
  }
  const std::string source(std::istreambuf_iterator<char>(file), {});
  if (!weights_.load(source)) {
    lastReason_ = settings_.policyFile + ": " + weights_.lastReason();
    return false;
  }
  return true;
}

void TokenDaemon::run() {
  context_.run();
  flushLog();
}

bool TokenDaemon::isReady() const { return reader_.isComplete() && !leaving_; }

net::HttpResponse TokenDaemon::answerReadiness(const std::string& path) const {
  if (path != "/ready") {
    return {kNotFound, "text/plain", "only /ready is here\n"};
  }
  return isReady() ? net::HttpResponse{200, "text/plain", "ready\n"}
                   : net::HttpResponse{kNotReady, "text/plain", "not ready\n"};
}

net::HttpResponse TokenDaemon::answerAdmin(const std::string& path) const {
  if (path != "/metrics") {
    return {kNotFound, "text/plain", "only /metrics is here\n"};
  }
  const TokenMetricSources sources{steering_, reader_,  exchange_,  relay_,
                                   outliers_, packets_, latencies_, isReady()};
  return {200, "text/plain; version=0.0.4", tokenMetricsText(sources)};
}

void TokenDaemon::scheduleTick() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      onTick();
      scheduleTick();
    }
  });
}

void TokenDaemon::onBatch(core::Time now) {
  noticeSuspension(now);
  noteViewState(now);
}

void TokenDaemon::onVerdict(const core::PacketSummary& packet, const core::Verdict& verdict,
                            core::Time now) {
  const auto* drop = std::get_if<core::Drop>(&verdict);
  if (drop != nullptr && core::wantsBackend(drop->reason)) {
    reader_.onWanted(now);
  }
  logVerdict(packet, verdict, steering_, reader_.revision());
}

void TokenDaemon::onDrained(core::Time now) {
  steering_.onQueueDrained();
  carryOutHealth(now);
}

void TokenDaemon::carryOutHealth(core::Time now) {
  for (const core::BackendAddress& backend : steering_.takeProbes(now)) {
    prober_.probe(backend);
  }
  for (const core::FlowReset& reset : steering_.takeResets()) {
    packets_.refuse(reset.flow, reset.acknowledgement);
    logReset(reset, reader_.revision());
  }
}

void TokenDaemon::onProbe(const core::BackendAddress& backend, core::ProbeResult result) {
  const core::Time now = bootTime();
  logProbe(backend, result);
  steering_.onProbe(backend.id, result, now);
  carryOutHealth(now);
}

void TokenDaemon::onTick() {
  const core::Time now = bootTime();
  noticeSuspension(now);
  steering_.onTick(now);
  exchange_.onTick(now);
  tickRelay(now);
  sendToPeers();
  carryOutHealth(now);
  if (now >= nextSettingsCheck_) {
    nextSettingsCheck_ = now + kSettingsCheckInterval;
    if (settingsWatch_.hasChanged()) {
      reloadSettings("file");
    }
  }
  stopIfDone(now);
  flushLog();
}

void TokenDaemon::noticeSuspension(core::Time now) {
  const core::Duration gap = now - lastActive_;
  lastActive_ = now;
  if (gap < core::kFreezeGap) {
    return;
  }
  logEvent(LogLevel::kWarning, "resumed",
           {{"gap_ms", std::to_string(gap / std::chrono::milliseconds(1))}});
  steering_.onResume();
  relay_.OnResume();
  store_->restart();
}

void TokenDaemon::onStoreAnswer(const core::StoreRead& read, const core::StoreReply& reply,
                                core::Duration latency) {
  const bool newView = !reply.changes.empty() || reader_.isComplete() != steering_.hasWholeView();
  if (newView && reader_.isComplete()) {
    const core::Time now = bootTime();
    noteViewState(now);
    packets_.retryPending(now);
  }
  relay_.OnStoreAnswer(bootTime());
  sendToPeers();
  if (read.kind == core::StoreRead::Kind::kList) {
    latencies_.onStoreAnswer(latency);
  }
  const bool answered = reply.outcome == core::ReadOutcome::kAnswered ||
                        reply.outcome == core::ReadOutcome::kHistoryGone;
  if (answered == storeReachable_) {
    return;
  }
  storeReachable_ = answered;
  logEvent(answered ? LogLevel::kInfo : LogLevel::kWarning,
           answered ? "store_regained" : "store_lost",
           {{"read", read.kind == core::StoreRead::Kind::kList ? "list" : "watch"},
            {"outcome", toString(reply.outcome)},
            {"reason", reply.reason},
            {"revision", std::to_string(reader_.revision())}});
}

void TokenDaemon::onFrame(const net::ReceivedFrame& received) {
  const core::Time now = bootTime();
  if (const auto* request = std::get_if<core::ViewRequest>(&received.frame)) {
    exchange_.onRequest(*request, now);
  } else if (const auto* transfer = std::get_if<core::ViewTransfer>(&received.frame)) {
    onTransfer(*transfer, now);
  } else if (const auto* subscription = std::get_if<core::ViewSubscription>(&received.frame)) {
    exchange_.learnPeers({subscription->replyTo});
    relay_.OnSubscription(*subscription, now);
  } else if (const auto* update = std::get_if<core::ViewUpdate>(&received.frame)) {
    onUpdate(*update, now);
  } else if (const auto* report = std::get_if<core::OutlierReport>(&received.frame)) {
    relay_.OnReport(*report, now);
  }
  sendToPeers();
}

void TokenDaemon::onTransfer(const core::ViewTransfer& transfer, core::Time now) {
  const core::Revision before = reader_.revision();
  if (!exchange_.onTransfer(transfer, now)) {
    return;
  }
  logEvent(LogLevel::kInfo, "view_from_peer",
           {{"revision_before", std::to_string(before)},
            {"revision", std::to_string(transfer.revision)},
            {"version", std::to_string(transfer.version)},
            {"age_ms", std::to_string(transfer.ageMs)},
            {"backends", std::to_string(transfer.backends.size())}});
  relay_.OnStoreAnswer(now);
  noteViewState(now);
  packets_.retryPending(now);
}

void TokenDaemon::onUpdate(const core::ViewUpdate& update, core::Time now) {
  exchange_.learnPeers(update.peers);
  const core::UpdateOutcome outcome = relay_.OnUpdate(update, now);
  logUpstream(now);
  if (outcome == core::UpdateOutcome::kTaken || reader_.isComplete() != steering_.hasWholeView()) {
    noteViewState(now);
    packets_.retryPending(now);
  }
  store_->start();
}

void TokenDaemon::tickRelay(core::Time now) {
  relay_.OnTick(exchange_.peers(), now);
  logUpstream(now);
  for (const core::BackendId backend : relay_.TakeFoundOutliers()) {
    logOutlier(backend, reader_.revision());
  }
  store_->start();
}

void TokenDaemon::logUpstream(core::Time now) {
  if (relay_.GetUpstream() == loggedUpstream_) {
    return;
  }
  loggedUpstream_ = relay_.GetUpstream();
  const core::Duration age = now - reader_.confirmedAt();
  logEvent(LogLevel::kInfo, loggedUpstream_ ? "upstream_found" : "upstream_lost",
           {{"peer", loggedUpstream_ ? net::formatEndpoint(*loggedUpstream_) : "none"},
            {"reads_store", relay_.IsReading() ? "yes" : "no"},
            {"view_age_ms", std::to_string(age / std::chrono::milliseconds(1))},
            {"revision", std::to_string(reader_.revision())},
            {"version", std::to_string(steering_.routes().version())}});
}

void TokenDaemon::noteViewState(core::Time now) {
  steering_.setViewState(reader_.isComplete(), reader_.isCurrent(now));
}

void TokenDaemon::sendToPeers() {
  for (const core::OutgoingView& outgoing : exchange_.takeMessages()) {
    std::visit(
        [this, &outgoing](const auto& message) { peers_.send(outgoing.destination, message); },
        outgoing.message);
  }
  for (const core::OutgoingRelay& outgoing : relay_.TakeMessages()) {
    std::visit(
        [this, &outgoing](const auto& message) { peers_.send(outgoing.Destinations, message); },
        outgoing.Message);
  }
}

void TokenDaemon::onSignal(int signal) {
  if (signal == SIGHUP) {
    reloadSettings("signal");
  } else if (!leaving_) {
    beginStop();
  }
}

void TokenDaemon::beginStop() {
  logEvent(LogLevel::kInfo, "planned_stop_began");
  leaving_ = true;
  leavingSince_ = bootTime();
  relay_.Leave();
  sendToPeers();
}

void TokenDaemon::reloadSettings(const char* cause) {
  const core::Endpoint storeBefore = settings_.platform;
  const std::optional<SettingsChange> change = settingsWatch_.reload(settings_);
  if (!change) {
    logEvent(LogLevel::kError, "reload_refused",
             {{"cause", cause}, {"reason", settingsWatch_.lastReason()}});
    return;
  }
  setLogLevel(settings_.logLevel);
  const bool policyTaken = loadPolicy();
  if (policyTaken) {
    steering_.backends().reweigh();
  }
  exchange_.setSeeds(seedsOf(settings_));
  relay_.SetSeeds(seedsOf(settings_));
  if (settings_.platform != storeBefore) {
    connectStore();
  }
  logEvent(LogLevel::kInfo, "reloaded",
           {{"cause", cause},
            {"taken", joined(change->taken)},
            {"needs_restart", joined(change->needsRestart)},
            {"policy", policyTaken ? "taken" : lastReason_}});
}

void TokenDaemon::stopIfDone(core::Time now) {
  if (!leaving_ || now - leavingSince_ < kRouterNotices) {
    return;
  }
  const bool quiet = now - packets_.lastPacketAt() > kQuiet;
  const core::Duration grace = std::chrono::duration_cast<core::Duration>(settings_.stopGrace);
  if (!quiet && now - leavingSince_ < grace / kStopShare) {
    return;
  }
  logEvent(LogLevel::kInfo, "planned_stop_ended", {{"quiet", quiet ? "yes" : "no"}});
  context_.stop();
}

}  // namespace cobaltgauge::daemon
