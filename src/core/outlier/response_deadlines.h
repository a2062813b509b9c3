/// @file
/// Deadlines of the responses to client data, to detect backends that accept
/// data without responding.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class ResponseDeadlines
 * \brief A bounded queue of expected responses, ordered by deadline.
 *
 * All responses have the same timeout, so appending keeps the order.
 */
class ResponseDeadlines
{
public:
  /// A response that is expected by its deadline.
  struct PendingResponse
  {
    FlowFingerprint Flow{ 0 };
    std::uint32_t DataEnd = 0; ///< Sequence number after the client's data.
    Time Deadline{};
  };

  /// Add an expected response.  Ignored if the queue is full.
  void Add(FlowFingerprint flow, std::uint32_t dataEnd, Time now);

  /// Remove and return the responses whose deadline has passed, including
  /// those that have arrived.
  std::vector<PendingResponse> TakeDue(Time now);

  /// Remove all deadlines after the process was suspended.
  void Clear() { this->Pending.clear(); }

private:
  std::deque<PendingResponse> Pending;
};

} // namespace cobaltgauge::core
