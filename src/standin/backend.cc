#include "standin/backend.h"

#include <csignal>
#include <iostream>
#include <sstream>

#include "core/hashing.h"
#include "standin/work_protocol.h"

namespace cobaltgauge::standin {
namespace {

using sim::EventKind;

constexpr std::size_t kMaxCachedResponses = 20'000;
/// Factor on the service time during warm-up.
constexpr int kWarmUpSlowdown = 4;

const std::vector<ctl::OptionSpec>& backendOptions() {
  static const std::vector<ctl::OptionSpec> kOptions{
      {"name", "backend name in the history", ""},
      {"service", "service name", ""},
      {"listen", "Geneve endpoint to listen on", ""},
      {"fabric", "fabric endpoint that responses are sent to", ""},
      {"history", "history output file", ""},
      {"incarnation", "expected incarnation", "0"},
      {"vni", "Geneve virtual network identifier", "1"},
      {"slots", "number of concurrent executions", "2"},
      {"max-sessions", "maximum number of sessions", "2000"},
      {"max-queue", "maximum number of queued submissions", "200"},
      {"service-ms", "execution time", "2"},
      {"cold-ms", "slow-start period after start", "500"},
      {"push-ms", "notification interval of a session", "1000"}};
  return kOptions;
}

}  // namespace

Backend::Backend(asio::io_context& context, const ctl::CommandOptions& options)
    : context_(context),
      name_(options.text("name")),
      service_(options.text("service")),
      expected_{core::serviceIdOf(service_),
                static_cast<std::uint32_t>(options.number("incarnation")), 0},
      fabric_(options.endpoint("fabric")),
      slots_(options.number("slots")),
      maxSessions_(options.number("max-sessions")),
      maxQueue_(options.number("max-queue")),
      serviceTime_(options.number("service-ms")),
      warmUpTime_(options.number("cold-ms")),
      pushInterval_(options.number("push-ms")),
      startedMs_(wallClockMs()),
      port_(context, static_cast<std::uint32_t>(options.number("vni")),
            [this](const net::UdpPacket& packet, const std::optional<net::RoutingOption>& routing) {
              onPacket(packet, routing);
            }),
      pushTimer_(context),
      drainSignal_(context, SIGUSR1) {
  if (!history_.open(options.text("history"))) {
    throw std::runtime_error("cannot open " + options.text("history"));
  }
  port_.open(options.endpoint("listen"));
  push();
  waitForDrain();
}

void Backend::record(EventKind kind, const std::string& session, const std::string& request,
                     const std::string& detail) {
  history_.write({wallClockMs(), kind, name_, service_, session, request, detail});
}

bool Backend::isMisdelivered(const std::optional<net::RoutingOption>& routing) const {
  return !routing || routing->service != expected_.service ||
         routing->incarnation != expected_.incarnation;
}

void Backend::onPacket(const net::UdpPacket& packet,
                       const std::optional<net::RoutingOption>& routing) {
  if (isMisdelivered(routing)) {
    record(EventKind::kMisdelivered, "", "", "refused by the back end");
    return;
  }
  const std::optional<net::CoapMessage> message = net::decodeCoap(packet.payload);
  if (!message || !message->isRequest()) {
    return;  // Only requests are handled.
  }
  const auto key = std::make_pair(packet.flow, message->messageId);
  const auto cached = responses_.find(key);
  if (cached != responses_.end()) {
    if (message->path() == kSubmitPath) {
      record(EventKind::kRequestDuplicate, "", message->payload);
    }
    if (cached->second.code != net::kCoapEmpty) {
      send(packet.flow, cached->second);
    }
    return;
  }
  responses_[key] = net::CoapMessage{};
  responseOrder_.push_back(key);
  if (responseOrder_.size() > kMaxCachedResponses) {
    responses_.erase(responseOrder_.front());
    responseOrder_.pop_front();
  }
  onRequest(packet.flow, *message);
}

void Backend::onRequest(const core::FlowKey& flow, const net::CoapMessage& request) {
  const std::string path = request.path();
  if (path == kSessionPath && request.code == net::kCoapPost) {
    openSession(flow, request);
    return;
  }
  const auto session = sessions_.find(flow);
  if (session == sessions_.end()) {
    record(EventKind::kSessionUnknown, request.payload, "", path);
    respond(flow, request, net::kCoapUnauthorized, "no session");
  } else if (path == kObservePath) {
    observe(flow, request, session->second);
  } else if (path == kSubmitPath && request.code == net::kCoapPost) {
    submit(flow, request);
  } else if (path == kSubmitPath && request.code == net::kCoapDelete) {
    cancel(flow, request);
  } else if (path == kFetchPath) {
    sendBlock(flow, request);
  } else {
    respond(flow, request, net::kCoapNotFound);
  }
}

void Backend::openSession(const core::FlowKey& flow, const net::CoapMessage& request) {
  if (sessions_.contains(flow)) {
    respond(flow, request, net::kCoapCreated);
    return;
  }
  if (sessions_.size() >= maxSessions_ || draining_) {
    refuse(flow, request, "not run");
    return;
  }
  sessions_[flow].name = request.payload;
  record(EventKind::kSessionAtBackend, request.payload, "");
  respond(flow, request, net::kCoapCreated);
}

void Backend::observe(const core::FlowKey& flow, const net::CoapMessage& request,
                      Session& session) {
  session.observeToken = request.token;
  respond(flow, request, net::kCoapContent, "rate 0");
}

void Backend::submit(const core::FlowKey& flow, const net::CoapMessage& request) {
  std::istringstream words(request.payload);
  Job job{flow, request, "", 0};
  words >> job.id >> job.deadlineMs;
  if (queue_.size() >= maxQueue_) {
    refuse(flow, request, "not run");
    return;
  }
  queue_.push_back(std::move(job));
  startJobs();
}

void Backend::cancel(const core::FlowKey& flow, const net::CoapMessage& request) {
  for (auto it = queue_.begin(); it != queue_.end(); ++it) {
    if (it->flow == flow && it->id == request.payload) {
      queue_.erase(it);
      respond(flow, request, net::kCoapDeleted, "not run");
      return;
    }
  }
  respond(flow, request, net::kCoapNotFound, "running or done");
}

std::chrono::milliseconds Backend::serviceTime() const {
  const bool warmingUp = wallClockMs() - startedMs_ < warmUpTime_.count();
  return warmingUp ? serviceTime_ * kWarmUpSlowdown : serviceTime_;
}

void Backend::startJobs() {
  while (busySlots_ < slots_ && !queue_.empty()) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    if (job.deadlineMs != 0 && wallClockMs() > job.deadlineMs) {
      refuse(job.flow, job.request, "not run");
      continue;
    }
    ++busySlots_;
    auto timer = std::make_shared<asio::steady_timer>(context_, serviceTime());
    timer->async_wait(
        [this, timer, job = std::move(job)](const asio::error_code&) { finishJob(job); });
  }
}

void Backend::finishJob(const Job& job) {
  record(EventKind::kRequestExecuted, sessions_[job.flow].name, job.id);
  respond(job.flow, job.request, net::kCoapChanged, job.id);
  --busySlots_;
  startJobs();
}

void Backend::sendBlock(const core::FlowKey& flow, const net::CoapMessage& request) {
  const std::uint32_t number = request.uintOption(net::kCoapBlock2).value_or(0) >> 4U;
  net::CoapMessage reply;
  reply.type = net::CoapType::kAcknowledgement;
  reply.code = net::kCoapContent;
  reply.messageId = request.messageId;
  reply.token = request.token;
  reply.addUint(net::kCoapBlock2, blockOption(number, number + 1 < kResponseBlocks));
  reply.payload = responseBlock(request.payload, number);
  responses_[{flow, request.messageId}] = reply;
  send(flow, reply);
}

void Backend::refuse(const core::FlowKey& flow, const net::CoapMessage& request, const char* why) {
  respond(flow, request, net::kCoapServiceUnavailable, why);
}

void Backend::respond(const core::FlowKey& flow, const net::CoapMessage& request, std::uint8_t code,
                      std::string payload) {
  net::CoapMessage reply;
  reply.type = net::CoapType::kAcknowledgement;
  reply.code = code;
  reply.messageId = request.messageId;
  reply.token = request.token;
  if (code == net::kCoapServiceUnavailable) {
    reply.addUint(net::kCoapMaxAge, 1);
  }
  reply.payload = std::move(payload);
  responses_[{flow, request.messageId}] = reply;
  send(flow, reply);
}

void Backend::send(const core::FlowKey& flow, const net::CoapMessage& message) {
  port_.send(fabric_, net::reversed(flow), net::encodeCoap(message));
}

void Backend::push() {
  for (auto& [flow, session] : sessions_) {
    if (session.observeToken.empty()) {
      continue;
    }
    net::CoapMessage update;
    update.type = net::CoapType::kNonConfirmable;
    update.code = net::kCoapContent;
    update.messageId = static_cast<std::uint16_t>(++session.pushes);
    update.token = session.observeToken;
    update.addUint(net::kCoapObserve, session.pushes);
    update.payload = "rate " + std::to_string(session.pushes);
    send(flow, update);
  }
  pushTimer_.expires_after(pushInterval_);
  pushTimer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      push();
    }
  });
}

void Backend::waitForDrain() {
  drainSignal_.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      draining_ = true;
    }
  });
}

int runBackend(int argc, const char* const* argv) {
  const auto options =
      ctl::CommandOptions::parse("cobaltgauge-standin backend", backendOptions(), argc, argv);
  if (!options) {
    return 2;
  }
  asio::io_context context;
  const Backend backend(context, *options);
  context.run();
  return 0;
}

}  // namespace cobaltgauge::standin
