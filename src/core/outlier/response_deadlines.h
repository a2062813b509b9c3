/// @file
/// Remembers when answers to callers' data are due, so that a back end that
/// takes flows and data and says nothing is noticed.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class AnswerDeadlines
 * \brief A bounded queue of expected answers, the earliest first.
 *
 * Every answer is given the same time, so the queue is in order by itself.
 */
class ResponseDeadlines
{
public:
  /// An answer that was expected by now.
  struct PendingResponse
  {
    FlowFingerprint Flow{ 0 };
    std::uint32_t DataEnd = 0; ///< Sequence number after the caller's data.
    Time Deadline{};
  };

  void Add(FlowFingerprint flow, std::uint32_t dataEnd, Time now);

  /// Take what is due, answered or not; the caller knows which.
  std::vector<PendingResponse> TakeDue(Time now);

  /// Forget everything; for a process that was suspended.
  void Clear() { this->Pending.clear(); }

private:
  std::deque<PendingResponse> Pending;
};

} // namespace cobaltgauge::core
