/// @file
/// Tracks which part of the store's history a view has observed.
#pragma once

#include <algorithm>

#include "core/revision.h"

namespace cobaltgauge::core {

/// Unobserved part of the history between a view and the listing that it was
/// compared with, for example after the store discarded its history.
struct HistoryGap
{
  Revision From = 0; ///< The view was complete up to here.
  Revision To = 0;   ///< The listing was complete up to here; zero: no gap.

  bool Contains(const Revision& position) const
  {
    return position > this->From && position < this->To;
  }
};

/** \class ObservedHistory
 * \brief Revision from which on every change was applied, except for the
 * latest gap.
 *
 * Only one gap is stored.  With a second gap, the history begins after the
 * first one.
 */
class ObservedHistory
{
public:
  /// Start from a listing.
  void Begin(const Revision& listed) { this->From = listed; }

  /// Start from `position` if the view was empty.
  void BeginIfUnset(const Revision& position)
  {
    if (this->From == 0) {
      this->From = position;
    }
  }

  /// Record that the view continued from a listing, its own or that of a peer.
  void AddGap(const HistoryGap& gap)
  {
    if (gap.To > this->Gap.To) {
      this->From = this->GetBase();
      this->Gap = gap;
    }
  }

  /// Tell whether all changes that a view complete up to `have` lacks were
  /// applied here.  A view that ends inside the gap may hold changes that were
  /// not observed here, so its missing changes are unknown.
  bool Covers(const Revision& have) const
  {
    return have >= this->From && !this->Gap.Contains(have);
  }

  /// Get the revision from which on every change was applied.
  const Revision& GetBase() const
  {
    return this->Gap.To != 0 ? this->Gap.To : this->From;
  }

  const HistoryGap& GetGap() const { return this->Gap; }

private:
  Revision From = 0;
  HistoryGap Gap;
};

} // namespace cobaltgauge::core
