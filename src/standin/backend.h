/// @file
/// Stand-in for a back end of the users' services: two slots, a bounded number of connections,
/// slow start, drain, shedding, cancellation, deadlines; repeats are recorded, not hidden.
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
  /// One standing session, identified by its flow.
  struct Session {
    std::string name;
    net::Bytes observeToken;  ///< Empty while the client does not observe.
    std::uint32_t pushes = 0;
  };
  /// A submission that waits for a slot or runs in one.
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
  /// Answers by flow and message id, so that a repeat gets the same response (RFC 7252, 4.5). An
  /// empty message marks a request that is still being worked on.
  std::map<std::pair<core::FlowKey, std::uint16_t>, net::CoapMessage> responses_;
  std::deque<std::pair<core::FlowKey, std::uint16_t>> responseOrder_;
};

/// Entry point of the subcommand.
int runBackend(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
