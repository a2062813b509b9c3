/// @file
/// What simulated clients and back ends say to each other, inside packets of one flow.
#pragma once

#include <cstdint>
#include <string>

#include "core/types.h"

namespace cobaltgauge::sim {

enum class WorkKind : std::uint8_t { kOpen, kSubmit, kFetch, kClose };

/// A client's packet.
struct WorkRequest {
  core::PacketSummary packet;
  std::size_t client = 0;       ///< Index of the session.
  std::string session;          ///< Name of the session in the history.
  std::uint32_t messageId = 0;  ///< Same in every transmission of one message.
  WorkKind kind = WorkKind::kOpen;
  std::string request;  ///< Identity of the submission or of the large response.
  std::uint32_t block = 0;
};

enum class WorkResult : std::uint8_t {
  kDone,
  kNotRun,          ///< Refused; certainly not executed.
  kOutcomeUnknown,  ///< Refused; may have been executed.
  kNoSession,       ///< The back end does not hold the session.
};

/// A back end's or a daemon's response.
struct WorkResponse {
  std::uint32_t messageId = 0;
  WorkResult result = WorkResult::kDone;
  std::string request;
  std::uint32_t block = 0;
};

/// Blocks of a large response.
inline constexpr std::uint32_t kResponseBlocks = 4;

}  // namespace cobaltgauge::sim
