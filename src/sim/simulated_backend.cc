#include "sim/simulated_backend.h"

#include <utility>

namespace cobaltgauge::sim {
namespace {

/// Factor on the service time during warm-up.
constexpr int kWarmUpSlowdown = 4;
constexpr std::size_t kMaxQueuedJobs = 200;

}  // namespace

SimulatedBackend::SimulatedBackend(EventQueue& queue, const ServiceSpec& service, std::string name,
                                   std::string zone, core::BackendAddress address,
                                   SendResponse sendResponse, Record record)
    : queue_(queue),
      service_(service),
      name_(std::move(name)),
      zone_(std::move(zone)),
      address_(address),
      sendResponse_(std::move(sendResponse)),
      record_(std::move(record)),
      startedAt_(queue.now()) {}

void SimulatedBackend::record(EventKind kind, const WorkRequest& request, const char* detail) {
  const std::int64_t timeMs = queue_.now().count() / 1000;
  record_({timeMs, kind, name_, service_.name, request.session, request.request, detail});
}

void SimulatedBackend::onPacket(const core::BackendAddress& destination,
                                const WorkRequest& request) {
  if (destination.id != address_.id) {
    record(EventKind::kMisdelivered, request, "refused by the back end");
    return;
  }
  const auto key = std::make_pair(request.packet.flow, request.messageId);
  const auto cached = responses_.find(key);
  if (cached != responses_.end()) {
    if (request.kind == WorkKind::kSubmit) {
      record(EventKind::kRequestDuplicate, request);
    }
    if (cached->second.finished) {
      sendResponse_(request.client, cached->second.response);
    }
    return;
  }
  responses_[key] = {};
  if (request.kind == WorkKind::kOpen) {
    open(request);
  } else if (request.kind == WorkKind::kClose) {
    sessions_.erase(request.packet.flow);
    reply(request, WorkResult::kDone);
  } else if (!sessions_.contains(request.packet.flow)) {
    record(EventKind::kSessionUnknown, request);
    reply(request, WorkResult::kNoSession);
  } else if (request.kind == WorkKind::kSubmit) {
    submit(request);
  } else {
    reply(request, WorkResult::kDone);
  }
}

void SimulatedBackend::open(const WorkRequest& request) {
  if (!sessions_.contains(request.packet.flow)) {
    if (sessions_.size() >= service_.maxSessions) {
      reply(request, WorkResult::kNotRun);
      return;
    }
    sessions_.insert(request.packet.flow);
    record(EventKind::kSessionAtBackend, request);
  }
  reply(request, WorkResult::kDone);
}

void SimulatedBackend::submit(const WorkRequest& request) {
  if (queuedJobs_.size() >= kMaxQueuedJobs) {
    reply(request, WorkResult::kNotRun);
    return;
  }
  queuedJobs_.push_back({request, queue_.now()});
  startJobs();
}

void SimulatedBackend::startJobs() {
  while (busySlots_ < service_.slots && !queuedJobs_.empty()) {
    Job job = std::move(queuedJobs_.front());
    queuedJobs_.pop_front();
    queueDelays_.push_back(queue_.now() - job.queuedAt);
    ++busySlots_;
    const bool warmingUp = queue_.now() - startedAt_ < service_.warmUpTime;
    const core::Duration time =
        warmingUp ? service_.serviceTime * kWarmUpSlowdown : service_.serviceTime;
    queue_.after(time, [this, job = std::move(job)] { finish(job); });
  }
}

void SimulatedBackend::finish(const Job& job) {
  record(EventKind::kRequestExecuted, job.request);
  reply(job.request, WorkResult::kDone);
  --busySlots_;
  startJobs();
}

void SimulatedBackend::reply(const WorkRequest& request, WorkResult result) {
  const WorkResponse response{request.messageId, result, request.request, request.block};
  responses_[{request.packet.flow, request.messageId}] = {true, response};
  sendResponse_(request.client, response);
}

}  // namespace cobaltgauge::sim
