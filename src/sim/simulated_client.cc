#include "sim/simulated_client.h"

#include <algorithm>
#include <utility>

namespace cobaltgauge::sim {
namespace {

using std::chrono::milliseconds;

/// Retransmission with exponential backoff (RFC 7252, section 4.2).
constexpr core::Duration kFirstTimeout = milliseconds(400);
constexpr core::Duration kMaxTimeout = milliseconds(3000);
constexpr int kMaxTransmissions = 8;
constexpr core::Duration kReopenDelay = milliseconds(1000);

}  // namespace

SimulatedClient::SimulatedClient(EventQueue& queue, SeededRandom& random,
                                 const ServiceSpec& service, std::size_t index, std::string zone,
                                 core::FlowKey firstFlow, Send send, Record record)
    : queue_(queue),
      random_(random),
      service_(service),
      index_(index),
      zone_(std::move(zone)),
      flow_(firstFlow),
      send_(std::move(send)),
      record_(std::move(record)) {}

void SimulatedClient::record(EventKind kind, const std::string& request, const char* detail) {
  const std::int64_t timeMs = queue_.now().count() / 1000;
  record_({timeMs, kind, session_, service_.name, session_, request, detail});
}

void SimulatedClient::start(core::Duration delay) {
  beginSession();
  queue_.after(delay, [this] { startExchange(); });
}

void SimulatedClient::beginSession() {
  session_ = "s" + std::to_string(index_) + "." + std::to_string(++sessionCount_);
  opened_ = false;
  requests_ = 0;
  // Each session uses a new flow.
  ++flow_.source.port;
}

void SimulatedClient::startExchange() {
  if (ended_ || queue_.now() >= stopAt_) {
    return;
  }
  if (!opened_) {
    send(WorkKind::kOpen, {}, 0);
    return;
  }
  if (queue_.now() >= closeAt_) {
    send(WorkKind::kClose, {}, 0);
    return;
  }
  const std::string request = session_ + "-" + std::to_string(++requests_);
  if (random_.below(100) < service_.fetchPercent) {
    send(WorkKind::kFetch, request, 0);
    return;
  }
  record(EventKind::kRequestSent, request);
  send(WorkKind::kSubmit, request, 0);
}

void SimulatedClient::send(WorkKind kind, const std::string& request, std::uint32_t block) {
  core::PacketKind packetKind = core::PacketKind::kUnknown;
  if (flow_.protocol == core::Protocol::kTcp) {
    packetKind =
        kind == WorkKind::kOpen ? core::PacketKind::kOpening : core::PacketKind::kContinuing;
  }
  constexpr std::uint32_t kPacketBytes = 200;
  pending_ = {
      {flow_, packetKind, kPacketBytes}, index_, session_, nextMessageId_++, kind, request, block};
  transmissions_ = 0;
  waiting_ = true;
  transmit(++exchange_);
}

void SimulatedClient::transmit(std::uint64_t exchange) {
  if (exchange != exchange_ || !waiting_) {
    return;
  }
  if (transmissions_ == kMaxTransmissions) {
    abandonRequest();
    return;
  }
  send_(pending_);
  const core::Duration timeout = std::min(kMaxTimeout, kFirstTimeout * (1 << transmissions_));
  ++transmissions_;
  queue_.after(timeout, [this, exchange] { transmit(exchange); });
}

void SimulatedClient::abandonRequest() {
  if (pending_.kind == WorkKind::kSubmit) {
    record(EventKind::kRequestOutcomeUnknown, pending_.request, "no answer");
  }
  finishExchange();
}

void SimulatedClient::finishExchange() {
  waiting_ = false;
  const core::Duration pause =
      opened_ ? random_.between(service_.requestInterval / 2, service_.requestInterval * 3 / 2)
              : kReopenDelay;
  queue_.after(pause, [this] { startExchange(); });
}

void SimulatedClient::onResponse(const WorkResponse& response) {
  if (!waiting_ || response.messageId != pending_.messageId) {
    return;  // Late or duplicate response of an earlier exchange.
  }
  if (response.result == WorkResult::kNoSession) {
    record(EventKind::kSessionBroken);
    ended_ = true;
    waiting_ = false;
    return;
  }
  switch (pending_.kind) {
    case WorkKind::kOpen:
      if (response.result == WorkResult::kDone) {
        opened_ = true;
        record(EventKind::kSessionOpened);
        const core::Duration mean = service_.sessionLifetime;
        closeAt_ = mean == core::Duration::zero()
                       ? core::Duration::max()
                       : queue_.now() + random_.between(mean / 2, mean * 3 / 2);
      }
      finishExchange();
      break;
    case WorkKind::kSubmit:
      onSubmitResponse(response);
      finishExchange();
      break;
    case WorkKind::kFetch:
      onFetchResponse(response);
      break;
    case WorkKind::kClose:
      beginSession();
      finishExchange();
      break;
  }
}

void SimulatedClient::onSubmitResponse(const WorkResponse& response) {
  if (response.result == WorkResult::kNotRun) {
    record(EventKind::kRequestRefused, pending_.request);
  } else if (response.result == WorkResult::kOutcomeUnknown) {
    record(EventKind::kRequestOutcomeUnknown, pending_.request);
  } else if (response.request == pending_.request) {
    record(EventKind::kRequestDone, pending_.request);
  } else {
    record(EventKind::kResponseInvalid, pending_.request, "answer of another request");
  }
}

void SimulatedClient::onFetchResponse(const WorkResponse& response) {
  if (response.result != WorkResult::kDone) {
    finishExchange();
    return;
  }
  if (response.request != pending_.request || response.block != pending_.block) {
    record(EventKind::kResponseInvalid, pending_.request, "another block or answer");
    finishExchange();
  } else if (pending_.block + 1 < kResponseBlocks) {
    const std::string request = pending_.request;
    send(WorkKind::kFetch, request, pending_.block + 1);
  } else {
    record(EventKind::kResponseComplete, pending_.request);
    finishExchange();
  }
}

}  // namespace cobaltgauge::sim
