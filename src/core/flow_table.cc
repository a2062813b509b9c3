#include "core/flow_table.h"

#include <algorithm>
#include <bit>

namespace cobaltgauge::core {
namespace {

/// Entries per set.
constexpr std::size_t kWays = 8;

std::uint32_t toSeconds(Time time) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

}  // namespace

FlowTable::FlowTable(std::size_t capacity, Duration idleTimeout)
    : entries_(std::bit_ceil(std::max(capacity, kWays))),
      idleSeconds_(std::max<std::uint32_t>(1, toSeconds(idleTimeout))) {}

bool FlowTable::isLive(const FlowEntry& entry, std::uint32_t nowSeconds) const {
  return entry.fingerprint != FlowFingerprint{0} &&
         nowSeconds - entry.lastSeenSeconds <= idleSeconds_;
}

std::size_t FlowTable::setStart(FlowFingerprint fingerprint) const {
  const std::size_t setCount = entries_.size() / kWays;
  return (static_cast<std::uint64_t>(fingerprint) >> 1U) % setCount * kWays;
}

const FlowEntry* FlowTable::find(FlowFingerprint fingerprint, std::uint32_t nowSeconds) const {
  const std::size_t start = setStart(fingerprint);
  for (std::size_t way = 0; way < kWays; ++way) {
    const FlowEntry& entry = entries_[start + way];
    if (entry.fingerprint == fingerprint && isLive(entry, nowSeconds)) {
      return &entry;
    }
  }
  return nullptr;
}

std::optional<BackendId> FlowTable::touch(FlowFingerprint fingerprint, Time now) {
  const std::uint32_t nowSeconds = toSeconds(now);
  const FlowEntry* entry = find(fingerprint, nowSeconds);
  if (entry == nullptr) {
    return std::nullopt;
  }
  entries_[static_cast<std::size_t>(entry - entries_.data())].lastSeenSeconds = nowSeconds;
  return entry->backend;
}

std::optional<BackendId> FlowTable::peek(FlowFingerprint fingerprint, Time now) const {
  const FlowEntry* entry = find(fingerprint, toSeconds(now));
  return entry == nullptr ? std::nullopt : std::optional(entry->backend);
}

void FlowTable::learn(FlowFingerprint fingerprint, ServiceId service, BackendId backend, Time now) {
  const std::uint32_t nowSeconds = toSeconds(now);
  const std::size_t start = setStart(fingerprint);
  FlowEntry* victim = nullptr;
  for (std::size_t way = 0; way < kWays; ++way) {
    FlowEntry& entry = entries_[start + way];
    if (entry.fingerprint == fingerprint) {
      victim = &entry;
      break;
    }
    const bool better =
        victim == nullptr ||
        (isLive(*victim, nowSeconds) &&
         (!isLive(entry, nowSeconds) || entry.lastSeenSeconds < victim->lastSeenSeconds));
    if (better) {
      victim = &entry;
    }
  }
  if (victim->fingerprint != fingerprint && isLive(*victim, nowSeconds)) {
    ++evictions_;
  }
  *victim = FlowEntry{fingerprint, backend, service, nowSeconds};
}

void FlowTable::removeBackend(BackendId backend) {
  for (FlowEntry& entry : entries_) {
    if (entry.backend == backend) {
      entry = FlowEntry{};
    }
  }
}

void FlowTable::forEach(Time now, const std::function<void(const FlowEntry&)>& visit) const {
  const std::uint32_t nowSeconds = toSeconds(now);
  for (const FlowEntry& entry : entries_) {
    if (isLive(entry, nowSeconds)) {
      visit(entry);
    }
  }
}

}  // namespace cobaltgauge::core
