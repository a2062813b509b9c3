/// @file
/// LRU table of the flows that pass this daemon. Used for load statistics and retransmitted
/// connection attempts only; packets of established flows are routed by their token.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// State of a flow as observed by this daemon.
struct TokenFlow {
  FlowFingerprint fingerprint{0};
  FlowKey key;
  BackendId backend = kNoBackend;
  Time openedAt{};  ///< Time of the first opening packet; zero if not placed here.
  Time lastSeen{};
  Time dataSentAt{};             ///< Time of the last new data of the client.
  bool dataAcknowledged = true;  ///< New bytes were acknowledged since then.
  std::uint32_t dataEnd = 0;     ///< Sequence number after the last data of the client.
  std::uint32_t acknowledgement = 0;
  bool closed = false;     ///< Closed by the client; kept for trailing packets.
  bool responded = false;  ///< The client acknowledged a response of the backend.
  /// The client's last packet if it carried no data, else empty.
  std::vector<std::uint8_t> lastAcknowledgement = {};
};

class TokenFlows {
 public:
  explicit TokenFlows(std::size_t capacity) : capacity_(capacity) {}

  /// @return the flow, or null.
  TokenFlow* find(FlowFingerprint fingerprint);

  /// Adds or replaces a flow and sets its last activity to `now`.
  TokenFlow& put(const TokenFlow& flow, Time now);

  /// Sets the last activity of a flow to `now`.
  void touch(TokenFlow& flow, Time now);

  /// Marks a flow as closed, so that it is not counted as open.
  void close(TokenFlow& flow);

  /// Removes flows that were idle for longer than `idle`.
  void expire(Time now, Duration idle);

  /// @return the number of open flows of the backend.
  std::uint32_t openFlowCount(BackendId backend) const;
  /// @return the open flows of a backend whose last packet was an acknowledgement, which is removed
  /// from them.
  std::vector<TokenFlow> takeAcknowledgements(BackendId backend);
  /// Removes all open flows of a backend. @return the removed flows.
  std::vector<TokenFlow> removeFlowsOf(BackendId backend);

  std::size_t size() const { return index_.size(); }
  std::uint64_t evictions() const { return evictions_; }

 private:
  using LruList = std::list<TokenFlow>;

  void erase(FlowFingerprint fingerprint);
  void drop(LruList::iterator flow);
  void decrementOpenCount(BackendId backend);

  std::size_t capacity_;
  LruList lruOrder_;  ///< Least recently active first.
  std::unordered_map<FlowFingerprint, LruList::iterator> index_;
  std::unordered_map<BackendId, std::uint32_t> openCounts_;
  std::uint64_t evictions_ = 0;
};

}  // namespace cobaltgauge::core
