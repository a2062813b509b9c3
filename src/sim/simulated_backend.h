/// @file
/// Simulated backend with a session limit, execution slots, slow start, load shedding and duplicate
/// detection.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/configuration.h"
#include "sim/event_queue.h"
#include "sim/history.h"
#include "sim/scenario.h"
#include "sim/work_messages.h"

namespace cobaltgauge::sim {

class SimulatedBackend {
 public:
  using SendResponse = std::function<void(std::size_t client, const WorkResponse&)>;
  using Record = std::function<void(Event)>;

  SimulatedBackend(EventQueue& queue, const ServiceSpec& service, std::string name,
                   std::string zone, core::BackendAddress address, SendResponse sendResponse,
                   Record record);

  /// Handles a packet that a daemon addressed to `destination`.
  void onPacket(const core::BackendAddress& destination, const WorkRequest& request);

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const core::BackendAddress& address() const { return address_; }
  std::size_t sessions() const { return sessions_.size(); }
  /// @return the queueing delay of each started request.
  const std::vector<core::Duration>& queueDelays() const { return queueDelays_; }

 private:
  struct Job {
    WorkRequest request;
    core::Time queuedAt{};
  };
  /// Response that is repeated when a message is retransmitted.
  struct CachedResponse {
    bool finished = false;
    WorkResponse response;
  };

  void open(const WorkRequest& request);
  void submit(const WorkRequest& request);
  void startJobs();
  void finish(const Job& job);
  void reply(const WorkRequest& request, WorkResult result);
  void record(EventKind kind, const WorkRequest& request, const char* detail = "");

  EventQueue& queue_;
  ServiceSpec service_;
  std::string name_;
  std::string zone_;
  core::BackendAddress address_;
  SendResponse sendResponse_;
  Record record_;
  core::Time startedAt_;
  std::set<core::FlowKey> sessions_;
  std::map<std::pair<core::FlowKey, std::uint32_t>, CachedResponse> responses_;
  std::deque<Job> queuedJobs_;
  std::size_t busySlots_ = 0;
  std::vector<core::Duration> queueDelays_;
};

}  // namespace cobaltgauge::sim
