/// @file
/// Setup and result summary of the simulation.
#include "sim/simulation.h"

#include <algorithm>
#include <ctime>

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::sim {
namespace {

constexpr std::uint16_t kControlPort = 7000;
constexpr std::uint16_t kBackendPort = 8000;
constexpr std::uint16_t kServicePort = 5683;
constexpr std::uint16_t kClientPort = 20000;
/// Time before the first client starts.
constexpr core::Duration kFleetStartupTime = std::chrono::seconds(6);
/// Clients start at random times within this period.
constexpr core::Duration kOpenWindow = std::chrono::seconds(3);
/// Time for in-flight requests to complete after the end of the scenario.
constexpr core::Duration kCompletionTime = std::chrono::seconds(20);

/// @return 10.`network`.x.y, where x.y is the 16-bit number.
core::IpAddress makeAddress(std::uint8_t network, std::uint32_t number) {
  core::IpAddress address;
  address.bytes = {10, network, static_cast<std::uint8_t>(number >> 8U),
                   static_cast<std::uint8_t>(number & 0xffU)};
  return address;
}

double cpuSeconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  constexpr double kNanosecond = 1e-9;
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * kNanosecond;
}

}  // namespace

Simulation::Simulation(const Scenario& scenario)
    : scenario_(scenario),
      random_(scenario.seed),
      codec_("simulation", "key of the simulation", core::kNoMember),
      platform_(scenario.platformLag) {
  for (const ZoneSpec& zone : scenario_.zones) {
    regions_[zone.name] = zone.region;
  }
  buildServices();
  publish();
  for (const ZoneSpec& zone : scenario_.zones) {
    for (std::size_t i = 0; i < zone.daemons; ++i) {
      startDaemon(zone.name);
    }
  }
  buildClients();
  for (const FaultSpec& fault : scenario_.faults) {
    queue_.at(fault.at, [this, fault] { applyFault(fault); });
  }
}

void Simulation::buildServices() {
  std::uint32_t serviceNumber = 0;
  for (const ServiceSpec& spec : scenario_.services) {
    ListedService service;
    service.spec = spec;
    service.policy = spec.policy;
    service.virtualEndpoint = {makeAddress(90, ++serviceNumber), kServicePort};
    platform_.services().push_back(service);
  }
  for (ListedService& service : platform_.services()) {
    for (std::size_t i = 0; i < service.spec.backends; ++i) {
      const std::string zone = scenario_.zones[i % scenario_.zones.size()].name;
      const std::uint32_t number = nextBackendNumber_++;
      const ListedBackend backend{service.spec.name + "-" + std::to_string(i + 1),
                                  zone,
                                  {makeAddress(91, number), kBackendPort},
                                  1,
                                  false};
      service.backends.push_back(backend);
      startBackend(service, backend);
    }
  }
}

SimulatedBackend& Simulation::startBackend(ListedService& service, const ListedBackend& backend) {
  const core::ServiceId id = core::serviceIdOf(service.spec.name);
  const core::BackendAddress address{core::backendIdOf(id, backend.endpoint, backend.incarnation),
                                     id, backend.endpoint, backend.incarnation};
  const std::string zone = backend.zone;
  backends_.push_back(std::make_unique<SimulatedBackend>(
      queue_, service.spec, backend.name, zone, address,
      [this, zone](std::size_t client, const WorkResponse& response) {
        sendResponse(client, zone, response);
      },
      [this](Event event) { record(std::move(event)); }));
  backendsByEndpoint_[backend.endpoint] = backends_.back().get();
  return *backends_.back();
}

Simulation::DaemonPtr Simulation::startDaemon(const std::string& zone) {
  const std::uint32_t number = nextDaemonNumber_++;
  core::MemberIdentity identity;
  identity.name = zone + "-lb-" + std::to_string(number);
  identity.id = core::memberIdOf(identity.name);
  identity.zone = zone;
  identity.region = regions_[zone];
  identity.control = {makeAddress(92, number), kControlPort};
  auto daemon = std::make_shared<SimulatedDaemon>(queue_, identity, random_.next(), random_.next(),
                                                  scenario_, compiler_);
  daemons_.push_back(daemon);
  daemonsByControl_[identity.control] = daemon;
  const core::Duration phase = random_.between(core::Duration(0), core::kTickInterval);
  queue_.after(phase, [this, daemon] { tickDaemon(daemon); });
  return daemon;
}

void Simulation::buildClients() {
  std::size_t index = 0;
  for (const ListedService& service : platform_.services()) {
    for (std::size_t i = 0; i < service.spec.sessions; ++i, ++index) {
      const std::string zone = scenario_.zones[index % scenario_.zones.size()].name;
      const core::FlowKey flow{service.spec.protocol,
                               {makeAddress(93, static_cast<std::uint32_t>(index)), kClientPort},
                               service.virtualEndpoint};
      clients_.push_back(std::make_unique<SimulatedClient>(
          queue_, random_, service.spec, index, zone, flow,
          [this](const WorkRequest& request) { onClientPacket(request); },
          [this](Event event) { record(std::move(event)); }));
      clients_.back()->stopAt(kFleetStartupTime + scenario_.duration);
      clients_.back()->start(kFleetStartupTime + random_.between(core::Duration(0), kOpenWindow));
    }
  }
}

void Simulation::record(EventKind kind, const std::string& actor, const std::string& detail) {
  record({queue_.now().count() / 1000, kind, actor, "", "", "", detail});
}

void Simulation::beginMeasurement() {
  measurementStart_ = queue_.now();
  cpuSecondsAtStart_ = cpuSeconds();
  for (const DaemonPtr& daemon : daemons_) {
    daemon->traffic = ControlTraffic{};
  }
}

void Simulation::summarizeControl(RunResult& result) const {
  double daemonSeconds = 0;
  std::uint64_t bytes = 0;
  std::uint64_t messages = 0;
  for (const DaemonPtr& daemon : daemons_) {
    const core::Time begin = std::max(daemon->startedAt, measurementStart_);
    const core::Time end = std::min(daemon->endedAt, queue_.now());
    daemonSeconds += std::max(0.0, std::chrono::duration<double>(end - begin).count());
    bytes += daemon->traffic.bytes;
    messages += daemon->traffic.messages;
    for (const auto& [kind, sent] : daemon->traffic.bytesByKind) {
      result.controlBytesByKind[kind] += static_cast<double>(sent);
    }
  }
  for (auto& [kind, sent] : result.controlBytesByKind) {
    sent /= daemonSeconds;
  }
  result.controlBytesPerSecond = static_cast<double>(bytes) / daemonSeconds;
  result.controlMessagesPerSecond = static_cast<double>(messages) / daemonSeconds;
  result.cpuUsage = (cpuSeconds() - cpuSecondsAtStart_) / daemonSeconds;
}

RunResult Simulation::run() {
  queue_.at(scenario_.measurementStart, [this] { beginMeasurement(); });
  queue_.runUntil(kFleetStartupTime + scenario_.duration + kCompletionTime);
  return summarize();
}

RunResult Simulation::summarize() {
  RunResult result;
  for (const ListedService& service : platform_.services()) {
    std::size_t total = 0;
    std::size_t largest = 0;
    std::size_t count = 0;
    for (const ListedBackend& listed : service.backends) {
      if (!listed.draining) {
        const std::size_t sessions = backendsByEndpoint_.at(listed.endpoint)->sessions();
        total += sessions;
        largest = std::max(largest, sessions);
        ++count;
      }
    }
    result.finalImbalance[service.spec.name] =
        total == 0 ? 0 : static_cast<double>(largest * count) / static_cast<double>(total);
  }
  std::vector<core::Duration> queueDelays;
  for (const auto& backend : backends_) {
    queueDelays.insert(queueDelays.end(), backend->queueDelays().begin(),
                       backend->queueDelays().end());
  }
  if (!queueDelays.empty()) {
    const std::size_t rank = queueDelays.size() * 99 / 100;
    std::nth_element(queueDelays.begin(), queueDelays.begin() + static_cast<std::ptrdiff_t>(rank),
                     queueDelays.end());
    result.queueDelayP99Ms = std::chrono::duration<double, std::milli>(queueDelays[rank]).count();
  }
  std::size_t alive = 0;
  for (const DaemonPtr& daemon : daemons_) {
    if (daemon->isAlive()) {
      ++alive;
      result.flowStateBytes += static_cast<double>(daemon->router().flowStateBytes(queue_.now()));
    }
  }
  result.flowStateBytes /= static_cast<double>(std::max<std::size_t>(alive, 1));
  summarizeControl(result);
  result.drops = drops_;
  result.trace = std::move(trace_);
  result.events = queue_.executed();
  result.packetsToPeers = packetsToPeers_;
  result.packetsToBackends = packetsToBackends_;
  result.report = checkHistory(history_, CheckerBounds{});
  result.history = std::move(history_);
  return result;
}

}  // namespace cobaltgauge::sim
