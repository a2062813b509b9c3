/// @file
/// Which part of the store's history a view has followed.
#pragma once

#include <algorithm>

#include "core/revision.h"

namespace cobaltgauge::core {

/// A listing that was compared with a view, as after a lost history: what lies
/// between the two is not known.
struct HistoryGap
{
  Revision From = 0; ///< The view was complete up to here.
  Revision To = 0;   ///< The listing was; zero: there is no gap.

  bool Contains(const Revision& position) const
  {
    return position > this->From && position < this->To;
  }
};

/** \class ObservedHistory
 * \brief From where on every change was taken, but for the latest gap.
 *
 * Of two gaps the earlier one is not remembered: the history begins behind it
 * then.
 */
class ObservedHistory
{
public:
  /// A listing began the view.
  void Begin(const Revision& listed) { this->From = listed; }

  /// Something complete up to `position` was taken into a view that may be
  /// empty.
  void BeginIfUnset(const Revision& position)
  {
    if (this->From == 0) {
      this->From = position;
    }
  }

  /// The view went on with a listing, its own or a peer's.
  void AddGap(const HistoryGap& gap)
  {
    if (gap.To > this->Gap.To) {
      this->From = this->GetBase();
      this->Gap = gap;
    }
  }

  /// Tell whether all that a view complete up to `have` lacks was taken here.
  /// One that is complete up to a position in the gap may hold what nobody
  /// here has seen, so nothing that it lacks can be told.
  bool Covers(const Revision& have) const
  {
    return have >= this->From && !this->Gap.Contains(have);
  }

  /// Get the position from which on every change was taken.
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
