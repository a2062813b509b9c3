/// @file
/// Bounded table of learned flows. Fixed memory, no allocation after construction.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/// One learned flow; 24 bytes, so two million flows at half load take 96 MB.
struct FlowEntry {
  FlowFingerprint fingerprint{0};  ///< Zero marks a free slot.
  BackendId backend = kNoBackend;
  ServiceId service{0};
  std::uint32_t lastSeenSeconds = 0;
};

/// Eight-way set-associative table: a full set replaces its entry that was idle the longest.
/// A lookup touches one set of 192 bytes, which is three cache lines on the packet path.
class FlowTable {
 public:
  /// @param capacity number of entries, rounded up to a power of two of at least eight.
  /// @param idleTimeout entries not seen for this long count as free.
  FlowTable(std::size_t capacity, Duration idleTimeout);

  /// Finds a flow and marks it as seen now.
  std::optional<BackendId> touch(FlowFingerprint fingerprint, Time now);

  /// @return the back end of a flow without marking it as seen.
  std::optional<BackendId> peek(FlowFingerprint fingerprint, Time now) const;

  /// Learns or overwrites a flow.
  void learn(FlowFingerprint fingerprint, ServiceId service, BackendId backend, Time now);

  /// Forgets every flow of a back end, for instance because its address was given away.
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
