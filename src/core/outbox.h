/// @file
/// Collects the messages that the core wants to send. Messages marked reliable are resent until
/// their acknowledgement arrives or the give-up time passes.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "core/messages.h"
#include "core/types.h"

namespace cobaltgauge::core {

class Outbox {
 public:
  /// Sends once; loss is repaired by the protocol above.
  void send(MemberId to, const Endpoint& destination, PeerMessage message);

  /// Sends a batch of records until it is acknowledged. Assigns the message's id.
  void sendReliably(MemberId to, const Endpoint& destination, RecordsMessage message, Time now);

  void onAck(const RecordsAck& ack);

  /// Resends what is due and gives up what is too old.
  void onTick(Time now);

  /// @return all messages to send, in order; the caller transmits them.
  std::vector<OutgoingMessage> take();

  std::size_t unacknowledged() const { return pending_.size(); }
  std::uint64_t abandonedCount() const { return abandonedCount_; }

 private:
  struct Pending {
    OutgoingMessage message;
    Time nextSend{};
    Time giveUpAt{};
  };

  std::vector<OutgoingMessage> ready_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t nextId_ = 1;
  std::uint64_t abandonedCount_ = 0;
};

}  // namespace cobaltgauge::core
