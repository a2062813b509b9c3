/// @file
/// Table of learned flows with a fixed capacity. Allocates only in the constructor.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// One learned flow, 24 bytes.
struct FlowEntry {
  FlowFingerprint fingerprint{0};  ///< Zero marks a free slot.
  BackendId backend = kNoBackend;
  ServiceId service{0};
  std::uint32_t lastSeenSeconds = 0;
};

/// Eight-way set-associative table. A full set evicts its least recently seen entry. A lookup reads
/// one set of 192 bytes (three cache lines).
class FlowTable {
 public:
  /// @param capacity number of entries, rounded up to a power of two, at least eight.
  /// @param idleTimeout entries not seen for this long count as free.
  FlowTable(std::size_t capacity, Duration idleTimeout);

  /// @return the backend of a flow; updates the time it was last seen.
  std::optional<BackendId> touch(FlowFingerprint fingerprint, Time now);

  /// @return the backend of a flow, without updating the time it was last seen.
  std::optional<BackendId> peek(FlowFingerprint fingerprint, Time now) const;

  /// Inserts or replaces a flow.
  void learn(FlowFingerprint fingerprint, ServiceId service, BackendId backend, Time now);

  /// Removes all flows of a backend, for example because its address was reassigned.
  void removeBackend(BackendId backend);

  /// Calls `visit` for each live entry.
  void forEach(Time now, const std::function<void(const FlowEntry&)>& visit) const;

  std::size_t capacity() const { return entries_.size(); }
  std::uint64_t evictions() const { return evictions_; }

 private:
  bool isLive(const FlowEntry& entry, std::uint32_t nowSeconds) const;
  std::size_t setStart(FlowFingerprint fingerprint) const;
  const FlowEntry* find(FlowFingerprint fingerprint, std::uint32_t nowSeconds) const;

  std::vector<FlowEntry> entries_;
  std::uint32_t idleSeconds_;
  std::uint64_t evictions_ = 0;
};

}  // namespace cobaltgauge::core
