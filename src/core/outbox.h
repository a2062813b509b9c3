/// @file
/// Queue of outgoing messages. Reliable messages are retransmitted until they are acknowledged or
/// kResendTimeout has passed.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace cobaltgauge::core {

class Outbox {
 public:
  /// Sends a message once; the protocol tolerates its loss.
  void send(MemberId to, const Endpoint& destination, PeerMessage message);

  /// Sends a batch of records until it is acknowledged. Assigns the message id.
  void sendReliably(MemberId to, const Endpoint& destination, RecordsMessage message, Time now);

  void onAck(const RecordsAck& ack);

  /// Retransmits due messages and abandons expired ones.
  void onTick(Time now);

  /// @return all queued messages in order, and empties the queue.
  std::vector<OutgoingMessage> take();

  std::size_t unacknowledged() const { return pending_.size(); }
  std::uint64_t abandonedCount() const { return abandonedCount_; }

 private:
  struct Pending {
    OutgoingMessage message;
    Time nextSend{};
    Time deadline{};
  };

  std::vector<OutgoingMessage> ready_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t nextId_ = 1;
  std::uint64_t abandonedCount_ = 0;
};

}  // namespace cobaltgauge::core
