#include "sim/simulated_backend.h"

#include <utility>

namespace cobaltgauge::sim {
namespace {

constexpr int kColdFactor = 4;
constexpr std::size_t kMaxWaiting = 200;

}  // namespace

SimulatedBackend::SimulatedBackend(EventQueue& queue, const ServiceSpec& service, std::string name,
                                   std::string zone, core::BackendAddress address, Answer answer,
                                   Record record)
    : queue_(queue),
      service_(service),
      name_(std::move(name)),
      zone_(std::move(zone)),
      address_(address),
      answer_(std::move(answer)),
      record_(std::move(record)),
      startedAt_(queue.now()) {}

void SimulatedBackend::record(EventKind kind, const WorkRequest& request, const char* detail) {
  const std::int64_t timeMs = queue_.now().count() / 1000;
  record_({timeMs, kind, name_, service_.name, request.session, request.request, detail});
}

void SimulatedBackend::onPacket(const core::BackendAddress& routed, const WorkRequest& request) {
  if (routed.id != address_.id) {
    record(EventKind::kStray, request, "refused by the back end");
    return;
  }
  const auto key = std::make_pair(request.packet.flow, request.messageId);
  const auto known = answered_.find(key);
  if (known != answered_.end()) {
    if (request.kind == WorkKind::kSubmit) {
      record(EventKind::kRequestRepeated, request);
    }
    if (known->second.finished) {
      answer_(request.caller, known->second.answer);
    }
    return;
  }
  answered_[key] = {};
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
  if (waiting_.size() >= kMaxWaiting) {
    reply(request, WorkResult::kNotRun);
    return;
  }
  waiting_.push_back({request, queue_.now()});
  startJobs();
}

void SimulatedBackend::startJobs() {
  while (busy_ < service_.slots && !waiting_.empty()) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    queueing_.push_back(queue_.now() - job.queuedAt);
    ++busy_;
    const bool cold = queue_.now() - startedAt_ < service_.coldTime;
    const core::Duration time = cold ? service_.serviceTime * kColdFactor : service_.serviceTime;
    queue_.after(time, [this, job = std::move(job)] { finish(job); });
  }
}

void SimulatedBackend::finish(const Job& job) {
  record(EventKind::kRequestExecuted, job.request);
  reply(job.request, WorkResult::kDone);
  --busy_;
  startJobs();
}

void SimulatedBackend::reply(const WorkRequest& request, WorkResult result) {
  const WorkAnswer answer{request.messageId, result, request.request, request.block};
  answered_[{request.packet.flow, request.messageId}] = {true, answer};
  answer_(request.caller, answer);
}

}  // namespace cobaltgauge::sim
