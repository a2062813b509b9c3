/// @file
/// Backend stand-in for end-to-end tests with execution slots, a session limit, slow start,
/// draining, load shedding, cancellation and deadlines. Duplicate requests are recorded.
#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <string>

#include "ctl/command_options.h"
#include "net/coap_message.h"
#include "sim/history.h"
#include "standin/geneve_port.h"

namespace cobaltgauge::standin {

class Backend {
 public:
  Backend(asio::io_context& context, const ctl::CommandOptions& options);

 private:
  /// Long-lived session, identified by its flow.
  struct Session {
    std::string name;
    net::Bytes observeToken;  ///< Empty if the client does not observe.
    std::uint32_t pushes = 0;
  };
  /// Queued or running submission.
  struct Job {
    core::FlowKey flow;
    net::CoapMessage request;
    std::string id;
    std::int64_t deadlineMs = 0;
  };

  void onPacket(const net::UdpPacket& packet, const std::optional<net::RoutingOption>& routing);
  bool isMisdelivered(const std::optional<net::RoutingOption>& routing) const;
  void onRequest(const core::FlowKey& flow, const net::CoapMessage& request);
  void openSession(const core::FlowKey& flow, const net::CoapMessage& request);
  void observe(const core::FlowKey& flow, const net::CoapMessage& request, Session& session);
  void submit(const core::FlowKey& flow, const net::CoapMessage& request);
  void cancel(const core::FlowKey& flow, const net::CoapMessage& request);
  void sendBlock(const core::FlowKey& flow, const net::CoapMessage& request);
  void startJobs();
  void finishJob(const Job& job);
  void refuse(const core::FlowKey& flow, const net::CoapMessage& request, const char* why);
  void respond(const core::FlowKey& flow, const net::CoapMessage& request, std::uint8_t code,
               std::string payload = {});
  void send(const core::FlowKey& flow, const net::CoapMessage& message);
  void push();
  void waitForDrain();
  void record(sim::EventKind kind, const std::string& session, const std::string& request,
              const std::string& detail = {});
  std::chrono::milliseconds serviceTime() const;

  asio::io_context& context_;
  std::string name_;
  std::string service_;
  net::RoutingOption expected_;
  core::Endpoint fabric_;
  std::size_t slots_;
  std::size_t maxSessions_;
  std::size_t maxQueue_;
  std::chrono::milliseconds serviceTime_;
  std::chrono::milliseconds warmUpTime_;
  std::chrono::milliseconds pushInterval_;
  std::int64_t startedMs_;
  bool draining_ = false;
  sim::HistoryWriter history_;
  GenevePort port_;
  asio::steady_timer pushTimer_;
  asio::signal_set drainSignal_;
  std::map<core::FlowKey, Session> sessions_;
  std::deque<Job> queue_;
  std::size_t busySlots_ = 0;
  /// Responses by flow and message ID for deduplication (RFC 7252, section 4.5). An empty message
  /// marks a request in progress.
  std::map<std::pair<core::FlowKey, std::uint16_t>, net::CoapMessage> responses_;
  std::deque<std::pair<core::FlowKey, std::uint16_t>> responseOrder_;
};

/// Entry point of the backend subcommand.
int runBackend(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
