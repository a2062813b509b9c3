/// @file
/// Simulated client with one long-lived session at a time. It submits non-idempotent requests,
/// fetches large responses, retransmits, and records the reported outcomes.
#pragma once

#include <functional>
#include <string>

#include "sim/event_queue.h"
#include "sim/history.h"
#include "sim/scenario.h"
#include "sim/seeded_random.h"
#include "sim/work_messages.h"

namespace cobaltgauge::sim {

class SimulatedClient {
 public:
  using Send = std::function<void(const WorkRequest&)>;
  using Record = std::function<void(Event)>;

  SimulatedClient(EventQueue& queue, SeededRandom& random, const ServiceSpec& service,
                  std::size_t index, std::string zone, core::FlowKey firstFlow, Send send,
                  Record record);

  void start(core::Duration delay);
  /// Starts no new request at or after this time.
  void stopAt(core::Time time) { stopAt_ = time; }
  void onResponse(const WorkResponse& response);

  const std::string& zone() const { return zone_; }

 private:
  void startExchange();
  void beginSession();
  void send(WorkKind kind, const std::string& request, std::uint32_t block);
  void transmit(std::uint64_t exchange);
  void abandonRequest();
  void finishExchange();
  void onSubmitResponse(const WorkResponse& response);
  void onFetchResponse(const WorkResponse& response);
  void record(EventKind kind, const std::string& request = {}, const char* detail = "");

  EventQueue& queue_;
  SeededRandom& random_;
  const ServiceSpec& service_;
  std::size_t index_;
  std::string zone_;
  core::FlowKey flow_;
  Send send_;
  Record record_;
  core::Time stopAt_{core::Duration::max()};
  core::Time closeAt_{core::Duration::max()};
  std::string session_;
  std::uint32_t sessionCount_ = 0;
  bool opened_ = false;
  bool ended_ = false;
  bool waiting_ = false;
  WorkRequest pending_;
  int transmissions_ = 0;
  std::uint64_t exchange_ = 0;
  std::uint64_t requests_ = 0;
  std::uint32_t nextMessageId_ = 1;
};

}  // namespace cobaltgauge::sim
