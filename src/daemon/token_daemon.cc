#include "daemon/token_daemon.h"

#include <csignal>
#include <set>
#include <vector>

#include "core/constants.h"
#include "core/hashing.h"
#include "daemon/clock.h"
#include "daemon/load_page.h"
#include "daemon/log.h"
#include "daemon/token_log.h"
#include "daemon/zone_page.h"
#include "decoding/file_reader.h"
#include "net/address.h"
#include "policy/policy_evaluator.h"

namespace cobaltgauge::daemon {
namespace {

/// Interval of periodic work.
constexpr auto kPeriodicWorkInterval = std::chrono::milliseconds(200);
constexpr core::Duration kSettingsCheckInterval = std::chrono::seconds(2);
constexpr int kNotReady = 503;
constexpr int kNotFound = 404;

std::string joinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ",") + name;
  }
  return text;
}

/// @return the zones that have backends of the service for new flows.
std::vector<core::ZoneId> zonesOf(core::BackendRegistry& backends, core::ServiceId service) {
  std::set<core::ZoneId> zones;
  for (const core::PlacementCandidate& candidate : backends.candidates(service)) {
    if (candidate.weight > 0) {
      zones.insert(candidate.zone);
    }
  }
  return {zones.begin(), zones.end()};
}

core::TokenSteeringOptions steeringOptions(const Settings& settings) {
  core::TokenSteeringOptions options;
  options.hashSeed = core::hashName(settings.clusterName + settings.clusterKey);
  options.flowEntries = settings.flowTableEntries;
  options.longestFlow = settings.maxFlowAge;
  options.resetDeadFlows = settings.resetDeadFlows;
  options.daemonId = static_cast<std::uint64_t>(core::memberIdOf(settings.name));
  if (settings.tokenForm == TokenForm::kAddress) {
    options.localAddress = settings.dataListen.address;
  }
  return options;
}

}  // namespace

TokenDaemon::TokenDaemon(Settings settings, CommandLine commandLine)
    : settings_(std::move(settings)),
      settingsWatch_(std::move(commandLine)),
      formats_(net::makePlatformFormats()),
      weights_(settings_.zone),
      admission_(settings_.admission),
      steering_(steeringOptions(settings_), weights_, random_),
      viewLog_(static_cast<std::uint64_t>(core::memberIdOf(settings_.name))),
      updater_(
          steering_.backends(), steering_.routes(),
          [this](const core::ViewChange& change) { onViewChange(change); }, &changes_),
      reader_(updater_, random_),
      peers_(context_, settings_, {steering_, updater_, reader_, changes_}, random_,
             [this](core::Time now, bool changed) { onPeerEvent(now, changed); }),
      packets_(context_, *formats_.packets, steering_),
      probes_(context_, steering_, packets_, peers_, reader_),
      readiness_(context_, [this](const std::string& path) { return readinessResponse(path); }),
      admin_(context_, [this](const std::string& path) { return adminResponse(path); }),
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
  if (!peers_.Open()) {
    lastReason_ = peers_.GetLastReason();
    return false;
  }
  for (net::HttpServer* server : {&readiness_, &admin_}) {
    server->setFailureListener([](const std::string& path, const char* reason) {
      logEvent(LogLevel::kError, "page_failed", {{"path", path}, {"reason", reason}});
    });
  }
  if (!admin_.open(settings_.adminListen)) {
    // Forwarding works without the admin interface.
    logEvent(LogLevel::kError, "metrics_unavailable", {{"reason", admin_.lastReason()}});
  }
  applySettings();
  steering_.setLatencyObserver(&latencies_);
  steering_.setOutliers(&peers_.GetOutliers());
  steering_.setAdmission(&admission_);
  steering_.addOpeningListener(&admission_);
  steering_.setLoadMeter(&peers_.GetLoadMeter());
  admission_.SetCapacityView(&peers_.GetLoad(), [this](core::ServiceId service) {
    return zonesOf(steering_.backends(), service);
  });
  steering_.addOpeningListener(&localCapacity_);
  steering_.spillover().AddSource(peers_.GetLoad());
  steering_.spillover().AddSource(localCapacity_);
  waitForSignal();
  logEvent(LogLevel::kInfo, "started",
           {{"zone", settings_.zone},
            {"data", net::formatEndpoint(settings_.dataListen)},
            {"store", net::formatEndpoint(settings_.platform)}});
  if (settings_.startWithSample) {
    reader_.enableSampling(static_cast<std::uint32_t>(random_.below(core::kFinePartitions)));
  }
  lastActive_ = bootTime();
  peers_.Start(lastActive_);
  connectStore();
  scheduleTick();
  return true;
}

void TokenDaemon::applySettings() {
  admission_.SetOptions(settings_.admission);
  steering_.backends().setRegions(settings_.regionsOfZones);
  steering_.serving().SetRequired(settings_.requireReachableBackend);
  steering_.unreachableGroups().SetEnabled(settings_.detectUnreachableGroups);
  steering_.spillover().SetEnabled(settings_.spillover);
  peers_.SetSeeds(settings_);
  peers_.SetLoadReports(settings_.loadReports);
}

void TokenDaemon::connectStore() {
  store_ = std::make_unique<StoreLink>(
      context_, settings_.platform, *formats_.store, reader_,
      [this](const core::StoreRead& read, const core::StoreReply& reply, core::Duration latency) {
        onStoreReply(read, reply, latency);
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
  decoding::FileReader file(policy::kMaxSourceBytes);
  const std::optional<std::string> source = file.Read(settings_.policyFile);
  if (!source) {
    lastReason_ = file.GetLastReason();
    return false;
  }
  if (!weights_.load(*source)) {
    lastReason_ = settings_.policyFile + ": " + weights_.lastReason();
    return false;
  }
  return true;
}

void TokenDaemon::run() {
  context_.run();
  flushLog();
}

bool TokenDaemon::isReady() const {
  return reader_.isSynchronized() && !stop_.hasBegun() && steering_.serving().IsServing();
}

net::HttpResponse TokenDaemon::readinessResponse(const std::string& path) const {
  if (path != "/ready") {
    return {kNotFound, "text/plain", "only /ready is here\n"};
  }
  return isReady() ? net::HttpResponse{200, "text/plain", "ready\n"}
                   : net::HttpResponse{kNotReady, "text/plain", "not ready\n"};
}

net::HttpResponse TokenDaemon::adminResponse(const std::string& path) const {
  if (path == "/zones") {
    return {200, "application/json",
            zonePage(steering_.backends().evacuations(), reader_.revision(), isReady(),
                     steering_.serving())};
  }
  if (path == "/load") {
    return {200, "application/json", loadPage(peers_.GetLoad(), steering_.backends(), bootTime())};
  }
  if (path != "/metrics") {
    return {kNotFound, "text/plain", "only /metrics, /zones and /load are here\n"};
  }
  const TokenMetricSources sources{
      steering_, reader_,    updater_,   peers_,
      packets_,  latencies_, admission_, admin_.failures() + readiness_.failures(),
      isReady(), bootTime()};
  return {200, "text/plain; version=0.0.4", tokenMetricsText(sources)};
}

void TokenDaemon::scheduleTick() {
  timer_.expires_after(kPeriodicWorkInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      onTick();
      scheduleTick();
    }
  });
}

void TokenDaemon::onBatch(core::Time now) {
  detectSuspension(now);
  updateViewState(now);
}

void TokenDaemon::onVerdict(const core::PacketSummary& packet, const core::Verdict& verdict,
                            core::Time now) {
  const auto* drop = std::get_if<core::Drop>(&verdict);
  if (!reader_.isSynchronized()) {
    reader_.onBackendNeeded(now);
    store_->start();
  } else if (drop != nullptr && core::awaitsBackend(drop->reason)) {
    reader_.onBackendNeeded(now);
  }
  logVerdict(packet, verdict, steering_, reader_.revision());
}

void TokenDaemon::onDrained(core::Time now) {
  steering_.onQueueDrained();
  if (const std::optional<std::uint16_t> port = steering_.takeDiscoveredPort()) {
    logEvent(LogLevel::kInfo, "backend_port_found", {{"port", std::to_string(*port)}});
    packets_.retryPending(now);
  }
  probes_.executePending(now);
}

void TokenDaemon::onTick() {
  const core::Time now = bootTime();
  detectSuspension(now);
  steering_.onTick(now);
  updater_.reportExpiredEvacuations();
  peers_.OnTick(now);
  const std::uint32_t fleetSize = peers_.GetRelay().GetFleetSize(now);
  steering_.setFleetSize(fleetSize);
  viewLog_.setFleetSize(fleetSize);
  viewLog_.onTick(now);
  for (const core::AdmissionState& change : admission_.TakeChanges(now)) {
    logAdmission(change);
  }
  probes_.executePending(now);
  for (const core::SpilloverChange& change : steering_.spillover().TakeChanges()) {
    logSpillover(change, steering_.backends(), reader_.revision());
  }
  if (now >= nextSettingsCheck_) {
    nextSettingsCheck_ = now + kSettingsCheckInterval;
    if (settingsWatch_.hasChanged()) {
      reloadSettings("file");
    }
  }
  stopIfDone(now);
  flushLog();
}

void TokenDaemon::detectSuspension(core::Time now) {
  const core::Duration gap = now - lastActive_;
  lastActive_ = now;
  if (gap < core::kSuspensionGap) {
    return;
  }
  logEvent(LogLevel::kWarning, "resumed",
           {{"gap_ms", std::to_string(gap / std::chrono::milliseconds(1))}});
  steering_.onResume();
  peers_.OnResume();
  store_->restart();
}

void TokenDaemon::onStoreReply(const core::StoreRead& read, const core::StoreReply& reply,
                               core::Duration latency) {
  logStoreRead(read, reply, latency, reader_.revision());
  const bool viewChanged =
      !reply.changes.empty() || reader_.isSynchronized() != steering_.hasCompleteView();
  if (viewChanged && reader_.isSynchronized()) {
    onViewChanged(bootTime());
  }
  peers_.OnStoreReply(bootTime());
  if (read.kind == core::StoreRead::Kind::kList) {
    latencies_.onStoreReply(latency);
  }
  const bool reachable = reply.outcome == core::ReadOutcome::kSucceeded ||
                         reply.outcome == core::ReadOutcome::kHistoryGone ||
                         reply.outcome == core::ReadOutcome::kTooLarge;
  if (reachable == storeReachable_) {
    return;
  }
  storeReachable_ = reachable;
  logEvent(reachable ? LogLevel::kInfo : LogLevel::kWarning,
           reachable ? "store_regained" : "store_lost",
           {{"read", read.kind == core::StoreRead::Kind::kList ? "list" : "watch"},
            {"outcome", toString(reply.outcome)},
            {"reason", reply.reason},
            {"revision", toString(reader_.revision())}});
}

void TokenDaemon::onPeerEvent(core::Time now, bool changed) {
  if (changed || reader_.isSynchronized() != steering_.hasCompleteView()) {
    onViewChanged(now);
  }
  probes_.executeReachabilityAndGroupProbes(now);
  store_->start();
}

void TokenDaemon::onViewChanged(core::Time now) {
  updateViewState(now);
  packets_.retryPending(now);
  steering_.onViewChanged();
  probes_.executePending(now);
}

void TokenDaemon::updateViewState(core::Time now) {
  steering_.setViewState(reader_.isSynchronized(), reader_.isCurrent(now),
                         reader_.hasAllBackends());
}

void TokenDaemon::onViewChange(const core::ViewChange& change) {
  const core::Time now = bootTime();
  viewLog_.add(change, now - reader_.confirmedAt(), now);
}

void TokenDaemon::onSignal(int signal) {
  if (signal == SIGHUP) {
    reloadSettings("signal");
  } else if (!stop_.hasBegun()) {
    beginStop();
  }
}

void TokenDaemon::beginStop() {
  logEvent(LogLevel::kInfo, "planned_stop_began");
  stop_.begin(bootTime());
  peers_.Leave();
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
  applySettings();
  const bool policyApplied = loadPolicy();
  if (policyApplied) {
    steering_.backends().recomputeWeights();
  }
  if (settings_.platform != storeBefore) {
    connectStore();
  }
  logEvent(LogLevel::kInfo, "reloaded",
           {{"cause", cause},
            {"applied", joinNames(change->applied)},
            {"needs_restart", joinNames(change->needsRestart)},
            {"policy", policyApplied ? "applied" : lastReason_}});
}

void TokenDaemon::stopIfDone(core::Time now) {
  const bool isIdle = now - packets_.lastPacketAt() > PlannedStop::kIdleDuration;
  if (stop_.isDone(isIdle, std::chrono::duration_cast<core::Duration>(settings_.stopGrace), now)) {
    logEvent(LogLevel::kInfo, "planned_stop_ended", {{"quiet", isIdle ? "yes" : "no"}});
    context_.stop();
  }
}

}  // namespace cobaltgauge::daemon
