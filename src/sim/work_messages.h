/// @file
/// What simulated callers and back ends say to each other, inside packets of one flow.
#pragma once

#include <cstdint>
#include <string>

#include "core/types.h"

namespace cobaltgauge::sim {

enum class WorkKind : std::uint8_t { kOpen, kSubmit, kFetch, kClose };

/// A caller's packet.
struct WorkRequest {
  core::PacketSummary packet;
  std::size_t caller = 0;       ///< Index of the session.
  std::string session;          ///< Name of the session in the history.
  std::uint32_t messageId = 0;  ///< Same in every transmission of one message.
  WorkKind kind = WorkKind::kOpen;
  std::string request;  ///< Identity of the submission or of the large answer.
  std::uint32_t block = 0;
};

enum class WorkResult : std::uint8_t {
  kDone,
  kNotRun,          ///< Refused; certainly not executed.
  kOutcomeUnknown,  ///< Refused; may have been executed.
  kNoSession,       ///< The back end does not hold the session.
};

/// A back end's or a daemon's answer.
struct WorkAnswer {
  std::uint32_t messageId = 0;
  WorkResult result = WorkResult::kDone;
  std::string request;
  std::uint32_t block = 0;
};

/// Blocks of a large answer.
inline constexpr std::uint32_t kFetchBlocks = 4;

}  // namespace cobaltgauge::sim
