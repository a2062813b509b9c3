#include "sim/simulated_caller.h"

#include <algorithm>
#include <utility>

namespace cobaltgauge::sim {
namespace {

using std::chrono::milliseconds;

/// Retransmission as in RFC 7252, section 4.2.
constexpr core::Duration kFirstTimeout = milliseconds(400);
constexpr core::Duration kMaxTimeout = milliseconds(3000);
constexpr int kMaxTransmissions = 8;
constexpr core::Duration kReopenDelay = milliseconds(1000);

}  // namespace

SimulatedCaller::SimulatedCaller(EventQueue& queue, SeededRandom& random,
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

void SimulatedCaller::record(EventKind kind, const std::string& request, const char* detail) {
  const std::int64_t timeMs = queue_.now().count() / 1000;
  record_({timeMs, kind, session_, service_.name, session_, request, detail});
}

void SimulatedCaller::start(core::Duration delay) {
  beginSession();
  queue_.after(delay, [this] { next(); });
}

void SimulatedCaller::beginSession() {
  session_ = "s" + std::to_string(index_) + "." + std::to_string(++sessionCount_);
  opened_ = false;
  requests_ = 0;
  // Every session of a caller is a flow of its own.
  ++flow_.source.port;
}

void SimulatedCaller::next() {
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

void SimulatedCaller::send(WorkKind kind, const std::string& request, std::uint32_t block) {
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

void SimulatedCaller::transmit(std::uint64_t exchange) {
  if (exchange != exchange_ || !waiting_) {
    return;
  }
  if (transmissions_ == kMaxTransmissions) {
    giveUp();
    return;
  }
  send_(pending_);
  const core::Duration timeout = std::min(kMaxTimeout, kFirstTimeout * (1 << transmissions_));
  ++transmissions_;
  queue_.after(timeout, [this, exchange] { transmit(exchange); });
}

void SimulatedCaller::giveUp() {
  if (pending_.kind == WorkKind::kSubmit) {
    record(EventKind::kRequestUnknown, pending_.request, "no answer");
  }
  finish();
}

void SimulatedCaller::finish() {
  waiting_ = false;
  const core::Duration pause =
      opened_ ? random_.between(service_.requestInterval / 2, service_.requestInterval * 3 / 2)
              : kReopenDelay;
  queue_.after(pause, [this] { next(); });
}

void SimulatedCaller::onAnswer(const WorkAnswer& answer) {
  if (!waiting_ || answer.messageId != pending_.messageId) {
    return;  // A late or repeated answer of an earlier exchange.
  }
  if (answer.result == WorkResult::kNoSession) {
    record(EventKind::kSessionBroken);
    ended_ = true;
    waiting_ = false;
    return;
  }
  switch (pending_.kind) {
    case WorkKind::kOpen:
      if (answer.result == WorkResult::kDone) {
        opened_ = true;
        record(EventKind::kSessionOpened);
        const core::Duration mean = service_.sessionLifetime;
        closeAt_ = mean == core::Duration::zero()
                       ? core::Duration::max()
                       : queue_.now() + random_.between(mean / 2, mean * 3 / 2);
      }
      finish();
      break;
    case WorkKind::kSubmit:
      onSubmitAnswer(answer);
      finish();
      break;
    case WorkKind::kFetch:
      onFetchAnswer(answer);
      break;
    case WorkKind::kClose:
      beginSession();
      finish();
      break;
  }
}

void SimulatedCaller::onSubmitAnswer(const WorkAnswer& answer) {
  if (answer.result == WorkResult::kNotRun) {
    record(EventKind::kRequestRefused, pending_.request);
  } else if (answer.result == WorkResult::kOutcomeUnknown) {
    record(EventKind::kRequestUnknown, pending_.request);
  } else if (answer.request == pending_.request) {
    record(EventKind::kRequestDone, pending_.request);
  } else {
    record(EventKind::kAnswerWrong, pending_.request, "answer of another request");
  }
}

void SimulatedCaller::onFetchAnswer(const WorkAnswer& answer) {
  if (answer.result != WorkResult::kDone) {
    finish();
    return;
  }
  if (answer.request != pending_.request || answer.block != pending_.block) {
    record(EventKind::kAnswerWrong, pending_.request, "another block or answer");
    finish();
  } else if (pending_.block + 1 < kFetchBlocks) {
    const std::string request = pending_.request;
    send(WorkKind::kFetch, request, pending_.block + 1);
  } else {
    record(EventKind::kAnswerWhole, pending_.request);
    finish();
  }
}

}  // namespace cobaltgauge::sim
