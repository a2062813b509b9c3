#include "standin/client.h"

#include <iostream>
#include <map>

#include "net/address.h"
#include "standin/work_protocol.h"

namespace cobaltgauge::standin {
namespace {

using sim::EventKind;

/// Retransmission with exponential backoff (RFC 7252, section 4.2). The initial timeout is below
/// the RFC's default because all stand-ins run on one machine.
constexpr auto kFirstTimeout = std::chrono::milliseconds(400);
constexpr int kMaxTransmissions = 7;
constexpr auto kMaxTimeout = std::chrono::milliseconds(2000);
constexpr auto kRetryOpenDelay = std::chrono::milliseconds(500);
/// Deadline of a submission, from when it is sent.
constexpr std::int64_t kDeadlineMs = 5000;
constexpr std::uint16_t kFirstSourcePort = 20000;
constexpr std::uint32_t kSessionsPerAddress = 100;
/// Interval between the starts of sessions.
constexpr auto kStartInterval = std::chrono::milliseconds(4);
/// Interval of the checks at the end of a run whether all sessions are idle.
constexpr auto kCheckInterval = std::chrono::milliseconds(50);

const std::vector<ctl::OptionSpec>& clientOptions() {
  static const std::vector<ctl::OptionSpec> kOptions{
      {"name", "client name in the history; prefix of session names", ""},
      {"service", "service name in the history", ""},
      {"target", "address and port of the service", ""},
      {"fabric", "fabric endpoint that packets are sent to", ""},
      {"listen", "Geneve endpoint to listen on", "127.0.0.1:0"},
      {"network", "first three octets of the sessions' source addresses", "10.80.0"},
      {"history", "history output file", ""},
      {"sessions", "number of long-lived sessions", "100"},
      {"seconds", "time until no new requests are sent", "10"},
      {"interval-ms", "mean interval between requests of a session", "500"},
      {"packet-percent", "share of requests that fetch a large response", "30"},
      {"cancel-percent", "share of submissions that are cancelled immediately", "0"},
      {"vni", "Geneve virtual network identifier", "1"},
      {"seed", "random seed", "1"}};
  return kOptions;
}

}  // namespace

ClientSession::ClientSession(ClientContext& shared, std::string name, core::FlowKey flow)
    : shared_(shared), name_(std::move(name)), flow_(flow), timer_(shared.context) {}

void ClientSession::record(EventKind kind, const std::string& request, const std::string& detail) {
  shared_.history.write(
      {wallClockMs(), kind, shared_.name, shared_.service, name_, request, detail});
}

void ClientSession::start(std::chrono::milliseconds delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      startExchange();
    }
  });
}

net::CoapMessage ClientSession::makeRequest(std::uint8_t code, const char* path) {
  net::CoapMessage request;
  request.code = code;
  request.messageId = nextMessageId_++;
  request.token = {static_cast<std::uint8_t>(request.messageId >> 8U),
                   static_cast<std::uint8_t>(request.messageId & 0xffU)};
  if (path == std::string(kObservePath)) {
    request.addUint(net::kCoapObserve, 0);
  }
  request.addText(net::kCoapUriPath, path);
  return request;
}

void ClientSession::startExchange() {
  if (shared_.stopping) {
    state_ = State::kEnded;
    return;
  }
  if (!opened_) {
    net::CoapMessage request = makeRequest(net::kCoapPost, kSessionPath);
    request.payload = name_;
    sendRequest(State::kOpening, std::move(request));
    return;
  }
  if (!subscribed_) {
    sendRequest(State::kSubscribing, makeRequest(net::kCoapGet, kObservePath));
    return;
  }
  requestId_ = name_ + "-" + std::to_string(++requestCount_);
  if (shared_.random() % 100 < shared_.fetchPercent) {
    responseBody_.clear();
    fetchBlock(0);
    return;
  }
  net::CoapMessage request = makeRequest(net::kCoapPost, kSubmitPath);
  request.payload = requestId_ + " " + std::to_string(wallClockMs() + kDeadlineMs);
  record(EventKind::kRequestSent, requestId_);
  if (shared_.random() % 100 < shared_.cancelPercent) {
    submitAndCancel(request);
  } else {
    sendRequest(State::kSubmitting, std::move(request));
  }
}

void ClientSession::submitAndCancel(const net::CoapMessage& submission) {
  shared_.port.send(shared_.fabric, flow_, net::encodeCoap(submission));
  net::CoapMessage cancellation = makeRequest(net::kCoapDelete, kSubmitPath);
  cancellation.payload = requestId_;
  sendRequest(State::kCancelling, std::move(cancellation));
}

void ClientSession::onCancelResponse(const net::CoapMessage& response) {
  if (response.code == net::kCoapDeleted) {
    record(EventKind::kRequestRefused, requestId_, "cancelled");
  } else {
    record(EventKind::kRequestOutcomeUnknown, requestId_, "cancelled too late");
  }
}

void ClientSession::sendRequest(State state, net::CoapMessage request) {
  state_ = state;
  pending_ = std::move(request);
  transmissions_ = 0;
  transmit();
}

void ClientSession::transmit() {
  if (transmissions_ == kMaxTransmissions) {
    abandonRequest();
    return;
  }
  shared_.port.send(shared_.fabric, flow_, net::encodeCoap(pending_));
  const auto timeout = std::min(kMaxTimeout, kFirstTimeout * (1 << transmissions_));
  ++transmissions_;
  timer_.expires_after(timeout);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      transmit();
    }
  });
}

void ClientSession::abandonRequest() {
  if (state_ == State::kSubmitting || state_ == State::kCancelling) {
    record(EventKind::kRequestOutcomeUnknown, requestId_, "no answer");
  } else if (state_ == State::kFetching) {
    record(EventKind::kResponseInvalid, requestId_, "no answer");
  }
  pause();
}

void ClientSession::pause() {
  state_ = State::kIdle;
  const auto mean = static_cast<std::uint64_t>(shared_.interval.count());
  start(opened_ ? std::chrono::milliseconds(mean / 2 + shared_.random() % (mean + 1))
                : kRetryOpenDelay);
}

void ClientSession::onMessage(const net::CoapMessage& message) {
  const bool isPush = message.type == net::CoapType::kNonConfirmable;
  if (isPush) {
    ++pushes_;
    return;
  }
  const bool expected = state_ != State::kIdle && state_ != State::kEnded &&
                        message.token == pending_.token && message.messageId == pending_.messageId;
  if (expected) {
    timer_.cancel();
    onResponse(message);
  }
}

void ClientSession::onResponse(const net::CoapMessage& response) {
  if (response.code == net::kCoapUnauthorized) {
    record(EventKind::kSessionBroken);
    state_ = State::kEnded;
    return;
  }
  switch (state_) {
    case State::kOpening:
      opened_ = response.code == net::kCoapCreated;
      if (opened_) {
        record(EventKind::kSessionOpened);
      }
      pause();
      break;
    case State::kSubscribing:
      subscribed_ = response.code == net::kCoapContent;
      pause();
      break;
    case State::kSubmitting:
      onSubmitResponse(response);
      pause();
      break;
    case State::kCancelling:
      onCancelResponse(response);
      pause();
      break;
    case State::kFetching:
      onBlock(response);
      break;
    case State::kIdle:
    case State::kEnded:
      break;
  }
}

void ClientSession::onSubmitResponse(const net::CoapMessage& response) {
  if (response.code == net::kCoapChanged && response.payload == requestId_) {
    record(EventKind::kRequestDone, requestId_);
  } else if (response.code == net::kCoapChanged) {
    record(EventKind::kResponseInvalid, requestId_, "answer of " + response.payload);
  } else if (response.payload == "not run") {
    record(EventKind::kRequestRefused, requestId_);
  } else {
    record(EventKind::kRequestOutcomeUnknown, requestId_, response.payload);
  }
}

void ClientSession::fetchBlock(std::uint32_t number) {
  block_ = number;
  net::CoapMessage request = makeRequest(net::kCoapGet, kFetchPath);
  request.addUint(net::kCoapBlock2, blockOption(number, false));
  request.payload = requestId_;
  sendRequest(State::kFetching, std::move(request));
}

void ClientSession::onBlock(const net::CoapMessage& response) {
  if (response.code == net::kCoapServiceUnavailable || response.code == net::kCoapTooManyRequests) {
    pause();
    return;
  }
  const std::uint32_t option = response.uintOption(net::kCoapBlock2).value_or(0);
  const bool more = (option & 8U) != 0;
  const bool right =
      (option >> 4U) == block_ && response.payload == responseBlock(requestId_, block_);
  if (!right || more != (block_ + 1 < kResponseBlocks)) {
    record(EventKind::kResponseInvalid, requestId_, "block " + std::to_string(block_));
    pause();
    return;
  }
  responseBody_ += response.payload;
  if (more) {
    fetchBlock(block_ + 1);
    return;
  }
  const bool complete = responseBody_.size() == std::size_t{kResponseBlocks} * kBlockBytes;
  record(complete ? EventKind::kResponseComplete : EventKind::kResponseInvalid, requestId_);
  pause();
}

int runClient(int argc, const char* const* argv) {
  const auto options =
      ctl::CommandOptions::parse("cobaltgauge-standin caller", clientOptions(), argc, argv);
  if (!options) {
    return 2;
  }
  asio::io_context context;
  sim::HistoryWriter history;
  if (!history.open(options->text("history"))) {
    std::cerr << "cannot open " << options->text("history") << "\n";
    return 1;
  }
  std::map<core::FlowKey, std::unique_ptr<ClientSession>> sessions;
  GenevePort port(context, static_cast<std::uint32_t>(options->number("vni")),
                  [&sessions](const net::UdpPacket& packet, const auto&) {
                    const auto session = sessions.find(net::reversed(packet.flow));
                    const auto message = net::decodeCoap(packet.payload);
                    if (session != sessions.end() && message) {
                      session->second->onMessage(*message);
                    }
                  });
  port.open(options->endpoint("listen"));
  ClientContext shared{context,
                       port,
                       options->endpoint("fabric"),
                       history,
                       options->text("name"),
                       options->text("service"),
                       std::mt19937_64(options->number("seed")),
                       std::chrono::milliseconds(options->number("interval-ms")),
                       options->number("packet-percent"),
                       options->number("cancel-percent"),
                       false};
  const core::Endpoint target = options->endpoint("target");
  const auto count = static_cast<std::uint32_t>(options->number("sessions"));
  for (std::uint32_t i = 0; i < count; ++i) {
    const std::string host = std::to_string(1 + i / kSessionsPerAddress);
    const auto source = net::parseAddress(options->text("network") + "." + host);
    if (!source) {
      std::cerr << "--network: invalid source address for session " << i << "\n";
      return 2;
    }
    const auto sourcePort = static_cast<std::uint16_t>(kFirstSourcePort + i % kSessionsPerAddress);
    const core::FlowKey flow{core::Protocol::kUdp, {*source, sourcePort}, target};
    auto session =
        std::make_unique<ClientSession>(shared, shared.name + "-" + std::to_string(i), flow);
    session->start(kStartInterval * i);
    sessions[flow] = std::move(session);
  }
  asio::steady_timer end(context, std::chrono::seconds(options->number("seconds")));
  std::function<void(const asio::error_code&)> check = [&](const asio::error_code&) {
    shared.stopping = true;
    for (const auto& [flow, session] : sessions) {
      if (!session->idle()) {
        end.expires_after(kCheckInterval);
        end.async_wait(check);
        return;
      }
    }
    context.stop();
  };
  end.async_wait(check);
  context.run();
  std::uint64_t pushes = 0;
  for (const auto& [flow, session] : sessions) {
    pushes += session->pushes();
  }
  std::cout << shared.name << ": pushes received " << pushes << "\n";
  return 0;
}

}  // namespace cobaltgauge::standin
