/// @file
/// Application messages between simulated clients and backends.
#pragma once

#include <cstdint>
#include <string>

#include "core/types.h"

namespace cobaltgauge::sim {

enum class WorkKind : std::uint8_t { kOpen, kSubmit, kFetch, kClose };

/// Packet sent by a client.
struct WorkRequest {
  core::PacketSummary packet;
  std::size_t client = 0;       ///< Index of the client.
  std::string session;          ///< Session name in the history.
  std::uint32_t messageId = 0;  ///< Unchanged in retransmissions.
  WorkKind kind = WorkKind::kOpen;
  std::string request;  ///< Request ID.
  std::uint32_t block = 0;
};

enum class WorkResult : std::uint8_t {
  kDone,
  kNotRun,          ///< Refused; not executed.
  kOutcomeUnknown,  ///< Refused; possibly executed.
  kNoSession,       ///< The session is unknown to the backend.
};

/// Response of a backend or daemon.
struct WorkResponse {
  std::uint32_t messageId = 0;
  WorkResult result = WorkResult::kDone;
  std::string request;
  std::uint32_t block = 0;
};

/// Number of blocks of a large response.
inline constexpr std::uint32_t kResponseBlocks = 4;

}  // namespace cobaltgauge::sim
