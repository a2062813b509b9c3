/// @file
/// Gives out a rate of openings, the highest rank first.  See
/// docs/design/008-scarce-room.md.
#pragma once

#include <cstdint>
#include <set>

#include "core/types.h"

namespace cobaltgauge::core {

/** \class RankedBucket
 * \brief A token bucket of which each lower rank leaves more untouched.
 *
 * Within a rank who comes first goes first.  A part of the rate is kept for
 * all but the highest rank; what they do not use goes back to the others.
 */
class RankedBucket
{
public:
  /// Start full.
  void Open(Time now);

  /// Set the openings a second from now on.
  /// \param leastShare of them, for all ranks but the highest.
  /// \param ranks those that ask, the highest first.
  void SetRate(double perSecond,
               double leastShare,
               const std::set<std::uint32_t>& ranks,
               Time now);

  /// \return false where the opening has to go without.
  bool Take(std::uint32_t rank, Time now);

private:
  void Fill(Time now);
  /// Get the level from which an opening of the rank is let in.
  double GetThreshold(std::uint32_t rank) const;
  bool IsHighest(std::uint32_t rank) const;

  double PerSecond = 0;
  double LeastShare = 0;
  std::set<std::uint32_t> Ranks;
  double Depth = 0;
  double Level = 0; ///< In openings.
  double Least = 0; ///< The same, of the part that is kept.
  Time FilledAt{};
};

} // namespace cobaltgauge::core
