#include "core/outbox.h"

#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void Outbox::send(MemberId to, const Endpoint& destination, PeerMessage message) {
  ready_.push_back({to, destination, std::move(message)});
}

void Outbox::sendReliably(MemberId to, const Endpoint& destination, RecordsMessage message,
                          Time now) {
  message.id = nextId_++;
  OutgoingMessage outgoing{to, destination, std::move(message)};
  ready_.push_back(outgoing);
  const std::uint64_t id = std::get<RecordsMessage>(outgoing.message).id;
  pending_.emplace(id, Pending{std::move(outgoing), now + kResendInterval, now + kResendTimeout});
}

void Outbox::onAck(const RecordsAck& ack) { pending_.erase(ack.id); }

void Outbox::onTick(Time now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    Pending& pending = it->second;
    if (now >= pending.deadline) {
      ++abandonedCount_;
      it = pending_.erase(it);
      continue;
    }
    if (now >= pending.nextSend) {
      ready_.push_back(pending.message);
      pending.nextSend = now + kResendInterval;
    }
    ++it;
  }
}

std::vector<OutgoingMessage> Outbox::take() { return std::exchange(ready_, {}); }

}  // namespace cobaltgauge::core
