/// @file
/// The flows that pass this daemon, for load figures and repeated openings only: forwarding never
/// needs them, since packets carry their token. Bounded; the flow idle for longest goes first.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// One flow as this daemon has seen it.
struct TokenFlow {
  FlowFingerprint fingerprint{0};
  FlowKey key;
  BackendId backend = kNoBackend;
  Time openedAt{};  ///< When the first opening was placed here; zero where it was not.
  Time lastSeen{};
  Time dataSentAt{};             ///< When the caller's last new data passed.
  bool dataAcknowledged = true;  ///< New bytes were acknowledged since.
  std::uint32_t dataEnd = 0;     ///< Sequence number after the caller's last data.
  std::uint32_t acknowledgement = 0;
  bool closed = false;     ///< Its caller has closed it; kept for the packets that follow.
  bool responded = false;  ///< The caller has shown that the back end responded.
};

class TokenFlows {
 public:
  explicit TokenFlows(std::size_t capacity) : capacity_(capacity) {}

  /// @return the flow, or null.
  TokenFlow* find(FlowFingerprint fingerprint);

  /// Adds or replaces a flow and marks it as seen now.
  TokenFlow& put(const TokenFlow& flow, Time now);

  /// Marks a flow as seen now.
  void touch(TokenFlow& flow, Time now);

  /// Marks a flow as closed: it no longer counts as open.
  void close(TokenFlow& flow);

  /// Forgets flows that were idle for longer than `idle`.
  void expire(Time now, Duration idle);

  /// @return how many flows of the back end passed here and are open.
  std::uint32_t openFlowCount(BackendId backend) const;
  /// @return every back end that has an open flow here.
  std::vector<BackendId> backendsWithFlows() const;
  /// Forgets every flow of a back end. @return the forgotten flows.
  std::vector<TokenFlow> removeFlowsOf(BackendId backend);

  std::size_t size() const { return index_.size(); }
  std::uint64_t evictions() const { return evictions_; }

 private:
  using LruList = std::list<TokenFlow>;

  void erase(FlowFingerprint fingerprint);
  void drop(LruList::iterator flow);
  void decrementOpenCount(BackendId backend);

  std::size_t capacity_;
  LruList lruOrder_;  ///< Idle for longest first.
  std::unordered_map<FlowFingerprint, LruList::iterator> index_;
  std::unordered_map<BackendId, std::uint32_t> openCounts_;
  std::uint64_t evictions_ = 0;
};

}  // namespace cobaltgauge::core
