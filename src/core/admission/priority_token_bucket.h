/// @file
/// Gives out a rate of newTokens, the highest priority first.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include <cstdint>
#include <set>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class PriorityTokenBucket
 * \brief A token bucket of which each lower priority leaves more untouched.
 *
 * Within a priority who comes first goes first.  A part of the rate is kept
 * for all but the highest priority; what they do not use goes back to the
 * others.
 */
class PriorityTokenBucket
{
public:
  /// Start full.
  void Start(Time now);

  /// Set the newTokens a second from now on.
  /// \param reservedShare of them, for all priorities but the highest.
  /// \param priorities those that ask, the highest first.
  void SetRate(double rate,
               double reservedShare,
               const std::set<std::uint32_t>& priorities,
               Time now);

  /// \return false where the opening has to go without.
  bool TryConsume(std::uint32_t priority, Time now);

private:
  void Refill(Time now);
  /// Get the level from which an opening of the priority is let in.
  double GetThreshold(std::uint32_t priority) const;
  bool IsHighestPriority(std::uint32_t priority) const;

  double Rate = 0;
  double ReservedShare = 0;
  std::set<std::uint32_t> Priorities;
  double Capacity = 0;
  double Tokens = 0;         ///< In newTokens.
  double ReservedTokens = 0; ///< The same, of the part that is kept.
  Time RefilledAt{};
};

} // namespace cobaltgauge::core
