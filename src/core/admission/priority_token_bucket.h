/// @file
/// Token bucket with priorities.  See docs/design/008-scarce-room.md.
#pragma once

#include <cstdint>
#include <set>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class PriorityTokenBucket
 * \brief Rate limiter that prefers high priorities.
 *
 * The lower its priority, the more tokens an attempt has to leave in the
 * bucket.  A share of the rate is reserved for all priorities but the highest;
 * its unused tokens return to the common bucket.
 */
class PriorityTokenBucket
{
public:
  /// Starts with a full bucket.
  void Start(Time now);

  /// \param rate tokens per second; one token admits one attempt.
  /// \param reservedShare of the rate for lower priorities, 0 to 1.
  /// \param priorities all priorities in use; lower values come first.
  void SetRate(double rate,
               double reservedShare,
               const std::set<std::uint32_t>& priorities,
               Time now);

  /// Takes a token.  \return false if the attempt has to be refused.
  bool TryConsume(std::uint32_t priority, Time now);

private:
  void Refill(Time now);
  /// Returns the number of tokens from which a priority is admitted.
  double GetThreshold(std::uint32_t priority) const;
  bool IsHighestPriority(std::uint32_t priority) const;

  double Rate = 0;
  double ReservedShare = 0;
  std::set<std::uint32_t> Priorities;
  double Capacity = 0; ///< In tokens.
  double Tokens = 0;
  double ReservedTokens = 0;
  Time RefilledAt{};
};

} // namespace cobaltgauge::core
