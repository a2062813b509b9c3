/// @file
/// Client stand-in for end-to-end tests. Its long-lived sessions observe notifications, submit
/// non-idempotent requests, fetch large responses and record the reported outcomes.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "ctl/command_options.h"
#include "net/coap_message.h"
#include "sim/history.h"
#include "standin/geneve_port.h"

namespace cobaltgauge::standin {

/// State shared by all sessions of a client process.
struct ClientContext {
  asio::io_context& context;
  GenevePort& port;
  core::Endpoint fabric;
  sim::HistoryWriter& history;
  std::string name;
  std::string service;
  std::mt19937_64 random;
  std::chrono::milliseconds interval{500};
  std::uint64_t fetchPercent = 30;
  std::uint64_t cancelPercent = 0;
  bool stopping = false;
};

/// Long-lived session with at most one exchange in flight.
class ClientSession {
 public:
  ClientSession(ClientContext& shared, std::string name, core::FlowKey flow);

  void start(std::chrono::milliseconds delay);
  void onMessage(const net::CoapMessage& message);
  bool idle() const { return state_ == State::kIdle || state_ == State::kEnded; }
  std::uint64_t pushes() const { return pushes_; }

 private:
  enum class State : std::uint8_t {
    kIdle,
    kOpening,
    kSubscribing,
    kSubmitting,
    kCancelling,
    kFetching,
    kEnded
  };

  void startExchange();
  void sendRequest(State state, net::CoapMessage request);
  void transmit();
  void onResponse(const net::CoapMessage& response);
  void submitAndCancel(const net::CoapMessage& submission);
  void onCancelResponse(const net::CoapMessage& response);
  void onSubmitResponse(const net::CoapMessage& response);
  void onBlock(const net::CoapMessage& response);
  void fetchBlock(std::uint32_t number);
  void abandonRequest();
  void pause();
  void record(sim::EventKind kind, const std::string& request = {}, const std::string& detail = {});
  net::CoapMessage makeRequest(std::uint8_t code, const char* path);

  ClientContext& shared_;
  std::string name_;
  core::FlowKey flow_;
  asio::steady_timer timer_;
  State state_ = State::kIdle;
  bool opened_ = false;
  bool subscribed_ = false;
  std::uint16_t nextMessageId_ = 1;
  std::uint64_t requestCount_ = 0;
  std::uint64_t pushes_ = 0;
  net::CoapMessage pending_;
  std::string requestId_;
  std::string responseBody_;
  std::uint32_t block_ = 0;
  int transmissions_ = 0;
};

/// Entry point of the caller subcommand.
int runClient(int argc, const char* const* argv);

}  // namespace cobaltgauge::standin
